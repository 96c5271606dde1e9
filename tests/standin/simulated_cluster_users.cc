// Users: they submit, ask, repeat and call off.
#include <rapidjson/document.h>

#include "standin/simulated_cluster.h"
#include "standin/text.h"

namespace eiderreel::standin {

using rapidjson::Document;

JobSpec SimulatedCluster::job(const std::string& id, const std::string& team, std::uint32_t tasks,
                              double cpus, double run_s) {
  JobSpec spec;
  spec.id = id;
  spec.jobclass = "test";
  spec.team = team;
  spec.tasks = tasks;
  spec.cpus = cpus;
  spec.memory_gb = 1;
  spec.image = "img";
  spec.image_gb = 0.5;
  spec.spot = true;
  spec.estimate_s = run_s;
  spec.deadline_s = run_s + 60;
  run_s_[id] = run_s;
  return spec;
}

JobSpec SimulatedCluster::service(const std::string& id, const std::string& team,
                                  std::uint32_t tasks, double cpus) {
  JobSpec spec = job(id, team, tasks, cpus);
  spec.kind = JobKind::service;
  spec.priority = Priority::production;
  spec.spot = false;
  return spec;
}

int SimulatedCluster::pick_node() {
  next_node_ = (next_node_ + 1) % options_.nodes;
  return next_node_;
}

void SimulatedCluster::raw(int node, const std::string& method, const std::string& path,
                           const std::string& body, std::function<void(int, std::string)> done) {
  call("user", {"n" + std::to_string(node), method, path, body, 5000},
       [done = std::move(done)](HttpReply reply) { done(reply.status, reply.body); });
}

void SimulatedCluster::submit(const JobSpec& spec) {
  specs_[spec.id] = spec;
  checker_.submitted(spec);
  try_submit(spec, now() + 60);
}

void SimulatedCluster::submit_chained(const JobSpec& spec) {
  const bool accepted = std::all_of(spec.prerequisites.begin(), spec.prerequisites.end(),
                                    [&](const std::string& id) { return !phase(id).empty(); });
  if (accepted) return submit(spec);
  at(now() + 0.05, [this, spec] { submit_chained(spec); });
}

void SimulatedCluster::repeat(int node, const JobSpec& spec) {
  raw(node, "POST", "/v1/jobs", submission_text(spec),
      [this, id = spec.id](int status, const std::string& body) {
        checker_.submit_answer(now(), id, status);
        if (status != 200 && status != 201) return;
        Document document;
        document.Parse(body.c_str());
        checker_.phase_answered(now(), id, document["phase"].GetString());
      });
}

void SimulatedCluster::submit_invalid(int node, const std::string& body) {
  raw(node, "POST", "/v1/jobs", body, [this, body](int status, const std::string&) {
    ++invalid_answers_[status];
    checker_.invalid_answer(now(), body, status);
  });
}

void SimulatedCluster::try_submit(const JobSpec& spec, double until) {
  raw(pick_node(), "POST", "/v1/jobs", submission_text(spec),
      [this, spec, until, began = now()](int status, const std::string&) {
        checker_.submit_answer(now(), spec.id, status);
        if (status == 200 || status == 201) {
          note("user " + spec.id + " accepted");
          slowest_acceptance_ = std::max(slowest_acceptance_, now() - began);
          last_phases_[spec.id] = "queued";
          return poll_loop(spec.id);
        }
        if (status == 400 || status == 422) return note("user " + spec.id + " refused");
        if (now() < until) at(now() + 1, [this, spec, until] { try_submit(spec, until); });
      });
}

void SimulatedCluster::poll_once(int node, const std::string& id,
                                 std::function<void(int, std::string)> done) {
  ++asking_[id];
  raw(node, "GET", "/v1/jobs/" + id, "", [this, id, done](int status, const std::string& body) {
    --asking_[id];
    std::string phase;
    if (status == 200) {
      Document document;
      document.Parse(body.c_str());
      phase = document["phase"].GetString();
    }
    checker_.asked(now(), id, status == 200 || status == 404);
    if (status == 200 || status == 404) checker_.phase_answered(now(), id, phase);
    if (status == 200 && last_phases_[id] != phase) {
      note("user " + id + " " + phase);
      last_phases_[id] = phase;
    }
    done(status, phase);
  });
}

// Between processes an answer may be overtaken by one to a later question. Users who have one
// question of a job on its way at a time can tell which is newer; in simulated time they need not.
bool SimulatedCluster::must_wait(const std::string& id) const {
  const auto asking = asking_.find(id);
  return options_.processes && asking != asking_.end() && asking->second > 0;
}

void SimulatedCluster::poll_loop(const std::string& id) {
  at(now() + 2, [this, id] {
    if (must_wait(id)) return poll_loop(id);
    poll_once(pick_node(), id, [this, id](int, const std::string& phase) {
      if (phase != "done" && phase != "cancelled") poll_loop(id);
    });
  });
}

void SimulatedCluster::cancel(const std::string& id) {
  checker_.cancel_asked(id);
  try_cancel(id, 60);
}

SimulatedCluster::Confirmed SimulatedCluster::confirmed(const std::string& id) const {
  auto it = confirmed_.find(id);
  return it == confirmed_.end() ? Confirmed{} : it->second;
}

void SimulatedCluster::cancel_at(int node, const std::string& id) {
  checker_.cancel_asked(id);
  try_cancel_at(node, id, 60);
}

void SimulatedCluster::try_cancel(const std::string& id, int n) {
  try_cancel_at(pick_node(), id, n);
}

void SimulatedCluster::try_cancel_at(int node, const std::string& id, int n) {
  if (must_wait(id)) return at(now() + 0.05, [this, node, id, n] { try_cancel_at(node, id, n); });
  ++asking_[id];
  raw(node, "POST", "/v1/jobs/" + id + "/cancel", "",
      [this, id, n, node](int status, const std::string& body) {
        --asking_[id];
        if (status == 200) {
          Document document;
          document.Parse(body.c_str());
          checker_.phase_answered(now(), id, document["phase"].GetString());
          note("user " + id + " cancel says " + document["phase"].GetString());
          confirmed_.try_emplace(id, Confirmed{node, now()});
          last_phases_[id] = document["phase"].GetString();
        } else if (n > 0) {
          at(now() + 1, [this, id, n] { try_cancel(id, n - 1); });
        }
      });
}

std::string SimulatedCluster::phase(const std::string& id) const {
  auto it = last_phases_.find(id);
  return it == last_phases_.end() ? "" : it->second;
}

}  // namespace eiderreel::standin
