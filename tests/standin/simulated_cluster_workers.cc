// Machines and their workers: heartbeats, commands, leases, and the faults they can have.
#include <rapidjson/document.h>

#include "standin/machine_model.h"
#include "standin/simulated_cluster.h"

namespace eiderreel::standin {

using rapidjson::Document;

// From the moment at which it has its image until it ends, also while it saves.
bool SimulatedCluster::on_machine(const Task& task) {
  return task.phase == "running" || task.phase == "flushing";
}

void SimulatedCluster::lose(Worker& worker, const char* why) {
  note(worker.id + " is " + why);
  for (auto& [key, task] : worker.tasks)
    if (on_machine(task)) checker_.task_off(worker.id, key.first, key.second);
  worker.tasks.clear();
  worker.gone = true;
  worker.up = false;
}

void SimulatedCluster::kill_machine(const std::string& id) {
  Worker& worker = *workers_.at(id);
  lose(worker, "dead");
  worker.gone = false;  // listed for a while
  worker.stopped = true;
}

void SimulatedCluster::take_machine(const std::string& id, double notice_s) {
  Worker& worker = *workers_.at(id);
  worker.taken_at = now() + notice_s;
  worker.changed = true;
  if (notice_s <= 0) lose(worker, "taken");
}

void SimulatedCluster::freeze_machine(const std::string& id, bool on) {
  note(id + (on ? " hangs" : " goes on"));
  Worker& worker = *workers_.at(id);
  worker.frozen = on;
  if (on) return;
  // Beyond its lease it has killed all it had before it reads what came meanwhile.
  if (worker.up && now_ - worker.lease_from > static_cast<Ms>(options_.lease_s * 1000))
    end_lease(worker);
  for (auto& read : std::exchange(worker.unread, {})) read();
}

void SimulatedCluster::mute(const std::string& id, bool on) {
  note(id + (on ? " reaches no controller" : " reaches controllers again"));
  if (on)
    mute_.insert(workers_.at(id)->addr);
  else
    mute_.erase(workers_.at(id)->addr);
}

void SimulatedCluster::deafen(const std::string& id, bool on) {
  note(id + (on ? " does not hear" : " hears again"));
  if (on)
    deaf_.insert(workers_.at(id)->addr);
  else
    deaf_.erase(workers_.at(id)->addr);
}

std::size_t SimulatedCluster::heartbeats_accepted(int node) const {
  auto it = heartbeats_accepted_.find(node);
  return it == heartbeats_accepted_.end() ? 0 : it->second;
}

std::size_t SimulatedCluster::launches_to(const std::string& machine) const {
  auto it = launches_.find(workers_.at(machine)->addr);
  return it == launches_.end() ? 0 : it->second;
}

void SimulatedCluster::set_sick(const std::string& id, bool on) { workers_.at(id)->sick = on; }

void SimulatedCluster::end_task(Worker& worker, const TaskKey& key, Task& task,
                                const std::string& exit_reason) {
  if (on_machine(task)) checker_.task_off(worker.id, key.first, key.second);
  task.phase = "exited";
  task.exit_reason = exit_reason;
  worker.changed = true;
}

// A running task with checkpoints saves first if it is given the time, unless told again without
// any.
void SimulatedCluster::kill_task(Worker& worker, const TaskKey& key, Task& task, double grace_s) {
  const JobSpec& spec = specs_[key.first];
  if (task.phase == "exited") return;
  const bool enough = spec.checkpoint_s > 0 && grace_s > 0 && grace_s >= spec.save_s;
  if (enough && task.phase == "flushing") return;
  if (!enough || task.phase != "running") return end_task(worker, key, task, "stopped");
  note(worker.id + " saves " + key.first + "/" + std::to_string(key.second));
  task.phase = "flushing";
  task.left_s = spec.save_s;
  worker.changed = true;
}

void SimulatedCluster::end_lease(Worker& worker) {
  if (!worker.tasks.empty()) note(worker.id + " lease expired");
  for (auto& [key, task] : worker.tasks)
    if (on_machine(task)) checker_.task_off(worker.id, key.first, key.second);
  worker.tasks.clear();
  ++worker.incarnation;
  worker.lease_from = now_;
  worker.changed = true;
}

void SimulatedCluster::faults_over() { checker_.faults_over(now()); }

// Which jobs wait though a machine of any partition has room for their next task.
void SimulatedCluster::look_for_room() {
  schedule(now_ + 1000, [this] { look_for_room(); });
  std::map<std::string, double> team_cpus;
  std::map<std::string, std::size_t> begun;
  for (const auto& [id, worker] : workers_)
    for (const auto& [key, task] : worker->tasks) {
      if (task.phase != "exited") team_cpus[specs_[key.first].team] += specs_[key.first].cpus;
      ++begun[key.first];
    }
  for (const auto& [id, spec] : specs_) {
    const std::string told = phase(id);
    bool could = false;
    double most = 0;
    for (const auto& team : options_.teams)
      if (team.name == spec.team) most = team.quota_cpus;
    if ((told == "queued" || told == "running") && !failing_jobs_.count(id) && begun[id] == 0 &&
        team_cpus[spec.team] + spec.cpus <= most)
      for (const auto& [name, worker] : workers_) {
        if (!worker->up || worker->frozen || worker->sick || worker->taken_at >= 0 ||
            (worker->spot && !spec.spot) || (!spec.zone.empty() && spec.zone != worker->zone))
          continue;
        double used = 0;
        for (const auto& [key, task] : worker->tasks)
          if (task.phase != "exited") used += specs_[key.first].cpus;
        could |= used + spec.cpus <= kMachineCpus + 1e-9;
      }
    checker_.could_run(now(), id, could);
  }
}

void SimulatedCluster::tick_workers() {
  schedule(now_ + kWorkerStep, [this] { tick_workers(); });
  state_store_.end_leases();
  checker_.look(now());
  for (auto& [id, pw] : workers_) {
    Worker& worker = *pw;
    if (!worker.up && !worker.gone && !worker.stopped && now() >= worker.up_at) {
      worker.up = true;
      worker.lease_from = now_;
      worker.next_heartbeat = now_ + static_cast<Ms>(random_() % 500);
    }
    if (!worker.up) continue;
    // A hanging machine may go on within its lease; after it, its tasks are gone.
    if (worker.frozen) {
      if (now_ - worker.lease_from > static_cast<Ms>(options_.lease_s * 1000) &&
          !worker.tasks.empty())
        end_lease(worker);
      continue;
    }
    if (worker.taken_at >= 0 && now() >= worker.taken_at) {
      lose(worker, "taken");
      continue;
    }
    if (now_ - worker.lease_from > static_cast<Ms>(options_.lease_s * 1000)) end_lease(worker);
    for (auto& [key, task] : worker.tasks) {
      if (task.phase == "exited") continue;
      task.left_s -= kWorkerStep / 1000.0;
      if (task.left_s > 0) continue;
      const JobSpec& spec = specs_[key.first];
      if (task.phase == "pulling") {
        worker.images.insert(spec.image);
        task.phase = "running";
        task.left_s = worker.sick || failing_jobs_.count(key.first) ? 0.3
                      : spec.kind == JobKind::service               ? 1e9
                      : runs_.count(key.first) ? runs_[key.first].at(key.second)
                                               : run_s_[key.first];
        note(worker.id + " runs " + key.first + "/" + std::to_string(key.second));
        checker_.task_on(now(), {worker.id, "box", worker.zone, worker.spot}, key.first,
                         key.second);
        worker.changed = true;
      } else if (task.phase == "flushing") {
        end_task(worker, key, task, "stopped");
      } else {
        const bool bad = worker.sick || failing_jobs_.count(key.first) > 0;
        if (!bad) checker_.task_done(now(), key.first, key.second);
        end_task(worker, key, task, bad ? "error" : "done");
      }
    }
    if (worker.in_flight) continue;
    if (now_ >= worker.next_heartbeat || (worker.changed && now_ - worker.last_sent >= 500))
      send_heartbeat(worker);
  }
}

std::string SimulatedCluster::heartbeat_body(Worker& worker) {
  ++worker.sequence;
  std::string tasks;
  for (const auto& [key, task] : worker.tasks) {
    tasks += (tasks.empty() ? "" : ",") +
             ("{\"shard\":\"" + key.first + "/" + std::to_string(key.second) +
              "\",\"try\":" + std::to_string(task.attempt) + ",\"phase\":\"" + task.phase + "\"" +
              (task.exit_reason.empty() ? "" : ",\"cause\":\"" + task.exit_reason + "\"") + "}");
  }
  const std::string notice =
      worker.taken_at >= 0 ? std::to_string(std::max(0.0, worker.taken_at - now())) : "null";
  return "{\"host\":\"" + worker.id + "\",\"endpoint\":\"" + worker.addr +
         "\",\"hull\":\"box\",\"berth\":\"" + worker.zone +
         "\",\"driftwood\":" + (worker.spot ? "true" : "false") +
         ",\"tenure\":" + std::to_string(worker.incarnation) +
         ",\"tick\":" + std::to_string(worker.sequence) +
         ",\"epoch\":" + std::to_string(worker.epoch) + ",\"warning_s\":" + notice +
         ",\"shards\":[" + tasks + "]}";
}

void SimulatedCluster::send_heartbeat(Worker& worker) {
  worker.in_flight = true;
  worker.changed = false;
  worker.last_sent = now_;
  const double jitter = 0.75 + 0.5 * static_cast<double>(random_() % 1000) / 1000.0;
  worker.next_heartbeat = now_ + static_cast<Ms>(options_.heartbeat_interval_s * 1000 * jitter);
  const std::uint64_t incarnation = worker.incarnation, flight = ++worker.flight;
  const int node = worker.node;
  const Ms sent = now_;
  const std::string id = worker.id;
  const std::string body = heartbeat_body(worker);
  if (copies_)
    for (const double late_s : {2.0, options_.lease_s * 2.5})
      schedule(now_ + static_cast<Ms>(late_s * 1000), [this, body] {
        ++copies_sent_;
        call("copy", {"n" + std::to_string(pick_node()), "POST", "/v1/report", body, 4000},
             [](HttpReply) {});
      });
  call(worker.addr, {"n" + std::to_string(node), "POST", "/v1/report", body, 4000},
       [this, id, sent, incarnation, node, flight](HttpReply reply) {
         Worker& sender = *workers_.at(id);
         if (sender.gone || sender.stopped || sender.flight != flight) return;
         sender.in_flight = false;
         take_answer(sender, sent, incarnation, reply, node);
       });
}

void SimulatedCluster::take_answer(Worker& worker, Ms sent, std::uint64_t incarnation,
                                   const HttpReply& reply, int node) {
  if (worker.frozen) return;
  if (reply.status == 421 && reply.body.find("upstream") != std::string::npos) {
    Document document;
    document.Parse(reply.body.c_str());
    const int to = std::atoi(document["upstream"].GetString() + 1);
    if (to != node) {
      worker.node = to;
      worker.next_heartbeat = now_ + 100;
      return;
    }
  }
  if (reply.status != 200) {
    worker.node = (node + 1) % options_.nodes;
    worker.next_heartbeat = now_ + 1000;
    return;
  }
  Document document;
  document.Parse(reply.body.c_str());
  if (incarnation != worker.incarnation || document["epoch"].GetUint64() < worker.epoch) return;
  worker.lease_from = sent;
  raise_token(worker, document["epoch"].GetUint64());
  obey(worker, reply.body);
}

// A higher token is a change to be reported at once, but only once within half a lease.
void SimulatedCluster::raise_token(Worker& worker, std::uint64_t token) {
  if (token <= worker.epoch) return;
  worker.epoch = token;
  if (now_ - worker.token_change_at < static_cast<Ms>(options_.lease_s * 500)) return;
  worker.token_change_at = now_;
  worker.changed = true;
}

void SimulatedCluster::obey(Worker& worker, const std::string& body) {
  Document document;
  document.Parse(body.c_str());
  for (const auto& command : document["orders"].GetArray()) {
    const std::string type = command["verb"].GetString(), name = command["shard"].GetString();
    const auto slash = name.rfind('/');
    const TaskKey key{name.substr(0, slash),
                      static_cast<std::uint32_t>(std::stoul(name.substr(slash + 1)))};
    const std::uint64_t attempt = command["try"].GetUint64();
    auto it = worker.tasks.find(key);
    if (type == "launch") {
      if (it != worker.tasks.end() && it->second.attempt == attempt) continue;
      worker.changed = true;
      const JobSpec& spec = specs_[key.first];
      double used = 0;
      for (const auto& [other, task] : worker.tasks)
        if (task.phase != "exited") used += specs_[other.first].cpus;
      if (it != worker.tasks.end() && it->second.phase != "exited") {
        note(worker.id + " refuses " + name + " busy");
        continue;
      }
      const bool room = used + spec.cpus <= kMachineCpus + 1e-9;
      if (!room) note(worker.id + " refuses " + name + " no_room");
      const bool cached = worker.images.count(spec.image) > 0;
      worker.tasks[key] =
          room ? Task{attempt, "pulling", "", cached ? 0.0 : spec.image_gb / kFetchGbPerS}
               : Task{attempt, "exited", "no_room", 0};
    } else if (it == worker.tasks.end() || it->second.attempt != attempt) {
      continue;
    } else if (type == "kill") {
      kill_task(worker, key, it->second, command["mercy_s"].GetDouble());
    } else if (it->second.phase == "exited") {
      worker.tasks.erase(it);
      worker.changed = true;
    }
  }
}

void SimulatedCluster::serve_worker(Worker& worker, const HttpRequest& request, Done done) {
  if (worker.up && worker.frozen) {
    worker.unread.push_back(
        [this, &worker, request, done] { serve_worker(worker, request, done); });
    return;
  }
  if (!worker.up) return;
  if (request.path == "/inspect") return done({200, heartbeat_body(worker)});
  Document document;
  document.Parse(request.body.c_str());
  if (document["epoch"].GetUint64() < worker.epoch ||
      document["tenure"].GetUint64() != worker.incarnation)
    return done({409, heartbeat_body(worker)});
  raise_token(worker, document["epoch"].GetUint64());
  obey(worker, request.body);
  done({200, heartbeat_body(worker)});
}

std::size_t SimulatedCluster::tasks_on(const std::string& job) const {
  std::size_t n = 0;
  for (const auto& [id, worker] : workers_)
    for (const auto& [key, task] : worker->tasks) n += key.first == job && task.phase == "running";
  return n;
}

std::vector<std::string> SimulatedCluster::machines_of(const std::string& job) const {
  std::vector<std::string> out;
  for (const auto& [id, worker] : workers_)
    for (const auto& [key, task] : worker->tasks)
      if (key.first == job && task.phase == "running") out.push_back(id);
  return out;
}

std::size_t SimulatedCluster::machines_up() const {
  std::size_t n = 0;
  for (const auto& [id, worker] : workers_) n += worker->up && !worker->gone;
  return n;
}

}  // namespace eiderreel::standin
