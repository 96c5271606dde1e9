// Users: they submit, poll, resubmit and cancel jobs.
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

void SimulatedCluster::send_request(int node, const std::string& method, const std::string& path,
                                    const std::string& body,
                                    std::function<void(int, std::string)> done) {
  call("user", {"n" + std::to_string(node), method, path, body, 5000},
       [done = std::move(done)](HttpReply reply) { done(reply.status, reply.body); });
}

void SimulatedCluster::submit(const JobSpec& spec) {
  specs_[spec.id] = spec;
  checker_.on_submission(spec);
  try_submit(spec, now() + 60);
}

void SimulatedCluster::submit_after_prerequisites(const JobSpec& spec) {
  const bool accepted = std::all_of(spec.prerequisites.begin(), spec.prerequisites.end(),
                                    [&](const std::string& id) { return !phase(id).empty(); });
  if (accepted) return submit(spec);
  at(now() + 0.05, [this, spec] { submit_after_prerequisites(spec); });
}

void SimulatedCluster::resubmit(int node, const JobSpec& spec) {
  send_request(node, "POST", "/v1/jobs", submission_text(spec),
               [this, id = spec.id](int status, const std::string& body) {
                 checker_.on_submit_reply(now(), id, status);
                 if (status != 200 && status != 201) return;
                 Document document;
                 document.Parse(body.c_str());
                 checker_.on_phase_reply(now(), id, document["phase"].GetString());
               });
}

void SimulatedCluster::submit_invalid(int node, const std::string& body) {
  send_request(node, "POST", "/v1/jobs", body, [this, body](int status, const std::string&) {
    ++invalid_submission_replies_[status];
    checker_.on_invalid_submission_reply(now(), body, status);
  });
}

void SimulatedCluster::try_submit(const JobSpec& spec, double retry_until_s) {
  send_request(pick_node(), "POST", "/v1/jobs", submission_text(spec),
               [this, spec, retry_until_s, submitted_at_s = now()](int status, const std::string&) {
                 checker_.on_submit_reply(now(), spec.id, status);
                 if (status == 200 || status == 201) {
                   append_trace("user " + spec.id + " accepted");
                   max_acceptance_s_ = std::max(max_acceptance_s_, now() - submitted_at_s);
                   reported_phases_[spec.id] = "queued";
                   return poll_loop(spec.id);
                 }
                 if (status == 400 || status == 422)
                   return append_trace("user " + spec.id + " refused");
                 if (now() < retry_until_s)
                   at(now() + 1, [this, spec, retry_until_s] { try_submit(spec, retry_until_s); });
               });
}

void SimulatedCluster::poll_once(int node, const std::string& id,
                                 std::function<void(int, std::string)> done) {
  ++requests_in_flight_[id];
  send_request(node, "GET", "/v1/jobs/" + id, "",
               [this, id, done](int status, const std::string& body) {
                 --requests_in_flight_[id];
                 std::string phase;
                 if (status == 200) {
                   Document document;
                   document.Parse(body.c_str());
                   phase = document["phase"].GetString();
                 }
                 checker_.on_poll(now(), id, status == 200 || status == 404);
                 if (status == 200 || status == 404) checker_.on_phase_reply(now(), id, phase);
                 if (status == 200 && reported_phases_[id] != phase) {
                   append_trace("user " + id + " " + phase);
                   reported_phases_[id] = phase;
                 }
                 done(status, phase);
               });
}

// Between real processes, replies may arrive out of order. To know which reply is newer, users have
// only one request per job in flight. In simulated time this is not needed.
bool SimulatedCluster::must_delay_request(const std::string& id) const {
  const auto in_flight = requests_in_flight_.find(id);
  return options_.process_request && in_flight != requests_in_flight_.end() &&
         in_flight->second > 0;
}

void SimulatedCluster::poll_loop(const std::string& id) {
  at(now() + 2, [this, id] {
    if (must_delay_request(id)) return poll_loop(id);
    poll_once(pick_node(), id, [this, id](int, const std::string& phase) {
      if (phase != "done" && phase != "cancelled") poll_loop(id);
    });
  });
}

void SimulatedCluster::cancel(const std::string& id) {
  checker_.on_cancel_request(id);
  try_cancel(id, 60);
}

SimulatedCluster::CancelConfirmation SimulatedCluster::cancel_confirmation(
    const std::string& id) const {
  auto it = cancel_confirmations_.find(id);
  return it == cancel_confirmations_.end() ? CancelConfirmation{} : it->second;
}

void SimulatedCluster::cancel_at(int node, const std::string& id) {
  checker_.on_cancel_request(id);
  try_cancel_at(node, id, 60);
}

void SimulatedCluster::try_cancel(const std::string& id, int n) {
  try_cancel_at(pick_node(), id, n);
}

void SimulatedCluster::try_cancel_at(int node, const std::string& id, int n) {
  if (must_delay_request(id))
    return at(now() + 0.05, [this, node, id, n] { try_cancel_at(node, id, n); });
  ++requests_in_flight_[id];
  send_request(node, "POST", "/v1/jobs/" + id + "/cancel", "",
               [this, id, n, node](int status, const std::string& body) {
                 --requests_in_flight_[id];
                 if (status == 200) {
                   Document document;
                   document.Parse(body.c_str());
                   checker_.on_phase_reply(now(), id, document["phase"].GetString());
                   append_trace("user " + id + " cancel says " + document["phase"].GetString());
                   cancel_confirmations_.try_emplace(id, CancelConfirmation{node, now()});
                   reported_phases_[id] = document["phase"].GetString();
                 } else if (n > 0) {
                   at(now() + 1, [this, id, n] { try_cancel(id, n - 1); });
                 }
               });
}

std::string SimulatedCluster::phase(const std::string& id) const {
  auto it = reported_phases_.find(id);
  return it == reported_phases_.end() ? "" : it->second;
}

}  // namespace eiderreel::standin
