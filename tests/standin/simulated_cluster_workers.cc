// Machines and their workers: heartbeats, commands, leases, and faults of machines.
#include <rapidjson/document.h>

#include "standin/machine_model.h"
#include "standin/simulated_cluster.h"

namespace eiderreel::standin {

using rapidjson::Document;

// A task holds resources from the end of its image download until it exits, also while it saves a
// checkpoint.
bool SimulatedCluster::holds_resources(const Task& task) {
  return task.phase == "running" || task.phase == "flushing";
}

void SimulatedCluster::remove_machine(Worker& worker, const char* why) {
  append_trace(worker.id + " is " + why);
  for (auto& [key, task] : worker.tasks)
    if (holds_resources(task)) checker_.on_task_stopped(worker.id, key.first, key.second);
  worker.tasks.clear();
  worker.removed = true;
  worker.up = false;
}

void SimulatedCluster::kill_machine(const std::string& id) {
  Worker& worker = *workers_.at(id);
  remove_machine(worker, "dead");
  worker.removed = false;  // still in the machine list of the cloud
  worker.stopped = true;
}

void SimulatedCluster::reclaim_machine(const std::string& id, double notice_s) {
  Worker& worker = *workers_.at(id);
  worker.reclaimed_at_s = now() + notice_s;
  worker.report_due = true;
  if (notice_s <= 0) remove_machine(worker, "taken");
}

void SimulatedCluster::freeze_machine(const std::string& id, bool on) {
  append_trace(id + (on ? " hangs" : " goes on"));
  Worker& worker = *workers_.at(id);
  worker.frozen = on;
  if (on) return;
  // If the lease expired meanwhile, the worker kills its tasks before it handles the deferred
  // commands.
  if (worker.up && now_ - worker.lease_start > static_cast<Ms>(options_.lease_s * 1000))
    expire_worker_lease(worker);
  for (auto& read : std::exchange(worker.deferred_commands, {})) read();
}

void SimulatedCluster::block_outbound_requests(const std::string& id, bool on) {
  append_trace(id + (on ? " reaches no controller" : " reaches controllers again"));
  if (on)
    outbound_requests_blocked_.insert(workers_.at(id)->addr);
  else
    outbound_requests_blocked_.erase(workers_.at(id)->addr);
}

void SimulatedCluster::block_inbound(const std::string& id, bool on) {
  append_trace(id + (on ? " does not hear" : " hears again"));
  if (on)
    inbound_blocked_.insert(workers_.at(id)->addr);
  else
    inbound_blocked_.erase(workers_.at(id)->addr);
}

std::size_t SimulatedCluster::heartbeats_accepted(int node) const {
  auto it = heartbeats_accepted_.find(node);
  return it == heartbeats_accepted_.end() ? 0 : it->second;
}

std::size_t SimulatedCluster::launches_to(const std::string& machine) const {
  auto it = launch_commands_.find(workers_.at(machine)->addr);
  return it == launch_commands_.end() ? 0 : it->second;
}

void SimulatedCluster::set_machine_faulty(const std::string& id, bool on) {
  workers_.at(id)->faulty = on;
}

void SimulatedCluster::end_task(Worker& worker, const TaskKey& key, Task& task,
                                const std::string& exit_reason) {
  if (holds_resources(task)) checker_.on_task_stopped(worker.id, key.first, key.second);
  task.phase = "exited";
  task.exit_reason = exit_reason;
  worker.report_due = true;
}

// A running task with checkpoints saves one first if the grace period is long enough. A second kill
// without a grace period ends the task at once.
void SimulatedCluster::kill_task(Worker& worker, const TaskKey& key, Task& task, double grace_s) {
  const JobSpec& spec = specs_[key.first];
  if (task.phase == "exited") return;
  const bool can_save = spec.checkpoint_s > 0 && grace_s > 0 && grace_s >= spec.save_s;
  if (can_save && task.phase == "flushing") return;
  if (!can_save || task.phase != "running") return end_task(worker, key, task, "stopped");
  append_trace(worker.id + " saves " + key.first + "/" + std::to_string(key.second));
  task.phase = "flushing";
  task.remaining_s = spec.save_s;
  worker.report_due = true;
}

void SimulatedCluster::expire_worker_lease(Worker& worker) {
  if (!worker.tasks.empty()) append_trace(worker.id + " lease expired");
  for (auto& [key, task] : worker.tasks)
    if (holds_resources(task)) checker_.on_task_stopped(worker.id, key.first, key.second);
  worker.tasks.clear();
  ++worker.incarnation;
  worker.lease_start = now_;
  worker.report_due = true;
}

void SimulatedCluster::mark_faults_ended() { checker_.on_faults_ended(now()); }

// Reports to the rule checker which jobs wait although a machine of any partition has room for a
// task.
void SimulatedCluster::check_schedulable_jobs() {
  schedule(now_ + 1000, [this] { check_schedulable_jobs(); });
  std::map<std::string, double> team_cpus;
  std::map<std::string, std::size_t> started_tasks;
  for (const auto& [id, worker] : workers_)
    for (const auto& [key, task] : worker->tasks) {
      if (task.phase != "exited") team_cpus[specs_[key.first].team] += specs_[key.first].cpus;
      ++started_tasks[key.first];
    }
  for (const auto& [id, spec] : specs_) {
    const std::string reported_phase = phase(id);
    bool has_room = false;
    double quota_cpus = 0;
    for (const auto& team : options_.teams)
      if (team.name == spec.team) quota_cpus = team.quota_cpus;
    if ((reported_phase == "queued" || reported_phase == "running") && !failing_jobs_.count(id) &&
        started_tasks[id] == 0 && team_cpus[spec.team] + spec.cpus <= quota_cpus)
      for (const auto& [name, worker] : workers_) {
        if (!worker->up || worker->frozen || worker->faulty || worker->reclaimed_at_s >= 0 ||
            (worker->spot && !spec.spot) || (!spec.zone.empty() && spec.zone != worker->zone))
          continue;
        double used = 0;
        for (const auto& [key, task] : worker->tasks)
          if (task.phase != "exited") used += specs_[key.first].cpus;
        has_room |= used + spec.cpus <= kMachineCpus + 1e-9;
      }
    checker_.on_schedulable(now(), id, has_room);
  }
}

void SimulatedCluster::tick_workers() {
  schedule(now_ + kWorkerTickMs, [this] { tick_workers(); });
  state_store_.expire_leases();
  checker_.check_timeouts(now());
  for (auto& [id, worker_ptr] : workers_) {
    Worker& worker = *worker_ptr;
    if (!worker.up && !worker.removed && !worker.stopped && now() >= worker.boot_done_at_s) {
      worker.up = true;
      worker.lease_start = now_;
      worker.next_heartbeat = now_ + static_cast<Ms>(random_() % 500);
    }
    if (!worker.up) continue;
    // A frozen worker keeps its tasks until its lease expires.
    if (worker.frozen) {
      if (now_ - worker.lease_start > static_cast<Ms>(options_.lease_s * 1000) &&
          !worker.tasks.empty())
        expire_worker_lease(worker);
      continue;
    }
    if (worker.reclaimed_at_s >= 0 && now() >= worker.reclaimed_at_s) {
      remove_machine(worker, "taken");
      continue;
    }
    if (now_ - worker.lease_start > static_cast<Ms>(options_.lease_s * 1000))
      expire_worker_lease(worker);
    for (auto& [key, task] : worker.tasks) {
      if (task.phase == "exited") continue;
      task.remaining_s -= kWorkerTickMs / 1000.0;
      if (task.remaining_s > 0) continue;
      const JobSpec& spec = specs_[key.first];
      if (task.phase == "pulling") {
        worker.images.insert(spec.image);
        task.phase = "running";
        task.remaining_s = worker.faulty || failing_jobs_.count(key.first) ? 0.3
                           : spec.kind == JobKind::service                 ? 1e9
                           : task_run_s_.count(key.first) ? task_run_s_[key.first].at(key.second)
                                                          : run_s_[key.first];
        append_trace(worker.id + " runs " + key.first + "/" + std::to_string(key.second));
        checker_.on_task_started(now(), {worker.id, "box", worker.zone, worker.spot}, key.first,
                                 key.second);
        worker.report_due = true;
      } else if (task.phase == "flushing") {
        end_task(worker, key, task, "stopped");
      } else {
        const bool fails = worker.faulty || failing_jobs_.count(key.first) > 0;
        if (!fails) checker_.on_task_done(now(), key.first, key.second);
        end_task(worker, key, task, fails ? "error" : "done");
      }
    }
    if (worker.heartbeat_in_flight) continue;
    if (now_ >= worker.next_heartbeat || (worker.report_due && now_ - worker.last_heartbeat >= 500))
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
  const std::string notice = worker.reclaimed_at_s >= 0
                                 ? std::to_string(std::max(0.0, worker.reclaimed_at_s - now()))
                                 : "null";
  return "{\"host\":\"" + worker.id + "\",\"endpoint\":\"" + worker.addr +
         "\",\"hull\":\"box\",\"berth\":\"" + worker.zone +
         "\",\"driftwood\":" + (worker.spot ? "true" : "false") +
         ",\"tenure\":" + std::to_string(worker.incarnation) +
         ",\"tick\":" + std::to_string(worker.sequence) +
         ",\"epoch\":" + std::to_string(worker.fencing_token) + ",\"warning_s\":" + notice +
         ",\"shards\":[" + tasks + "]}";
}

void SimulatedCluster::send_heartbeat(Worker& worker) {
  worker.heartbeat_in_flight = true;
  worker.report_due = false;
  worker.last_heartbeat = now_;
  const double jitter = 0.75 + 0.5 * static_cast<double>(random_() % 1000) / 1000.0;
  worker.next_heartbeat = now_ + static_cast<Ms>(options_.heartbeat_interval_s * 1000 * jitter);
  const std::uint64_t incarnation = worker.incarnation, heartbeat_id = ++worker.heartbeat_id;
  const int node = worker.node;
  const Ms sent = now_;
  const std::string id = worker.id;
  const std::string body = heartbeat_body(worker);
  if (duplicate_heartbeats_)
    for (const double delay_s : {2.0, options_.lease_s * 2.5})
      schedule(now_ + static_cast<Ms>(delay_s * 1000), [this, body] {
        ++duplicate_heartbeats_sent_;
        call("copy", {"n" + std::to_string(pick_node()), "POST", "/v1/report", body, 4000},
             [](HttpReply) {});
      });
  call(worker.addr, {"n" + std::to_string(node), "POST", "/v1/report", body, 4000},
       [this, id, sent, incarnation, node, heartbeat_id](HttpReply reply) {
         Worker& sender = *workers_.at(id);
         if (sender.removed || sender.stopped || sender.heartbeat_id != heartbeat_id) return;
         sender.heartbeat_in_flight = false;
         handle_heartbeat_reply(sender, sent, incarnation, reply, node);
       });
}

void SimulatedCluster::handle_heartbeat_reply(Worker& worker, Ms sent, std::uint64_t incarnation,
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
  if (incarnation != worker.incarnation || document["epoch"].GetUint64() < worker.fencing_token)
    return;
  worker.lease_start = sent;
  raise_fencing_token(worker, document["epoch"].GetUint64());
  apply_commands(worker, reply.body);
}

// A higher fencing token triggers an immediate heartbeat, at most once per half a lease.
void SimulatedCluster::raise_fencing_token(Worker& worker, std::uint64_t token) {
  if (token <= worker.fencing_token) return;
  worker.fencing_token = token;
  if (now_ - worker.token_report_at < static_cast<Ms>(options_.lease_s * 500)) return;
  worker.token_report_at = now_;
  worker.report_due = true;
}

void SimulatedCluster::apply_commands(Worker& worker, const std::string& body) {
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
      worker.report_due = true;
      const JobSpec& spec = specs_[key.first];
      double used = 0;
      for (const auto& [other, task] : worker.tasks)
        if (task.phase != "exited") used += specs_[other.first].cpus;
      if (it != worker.tasks.end() && it->second.phase != "exited") {
        append_trace(worker.id + " refuses " + name + " busy");
        continue;
      }
      const bool room = used + spec.cpus <= kMachineCpus + 1e-9;
      if (!room) append_trace(worker.id + " refuses " + name + " no_room");
      const bool cached = worker.images.count(spec.image) > 0;
      worker.tasks[key] =
          room ? Task{attempt, "pulling", "", cached ? 0.0 : spec.image_gb / kImageFetchGbPerS}
               : Task{attempt, "exited", "no_room", 0};
    } else if (it == worker.tasks.end() || it->second.attempt != attempt) {
      continue;
    } else if (type == "kill") {
      kill_task(worker, key, it->second, command["mercy_s"].GetDouble());
    } else if (it->second.phase == "exited") {
      worker.tasks.erase(it);
      worker.report_due = true;
    }
  }
}

void SimulatedCluster::serve_worker(Worker& worker, const HttpRequest& request, Done done) {
  if (worker.up && worker.frozen) {
    worker.deferred_commands.push_back(
        [this, &worker, request, done] { serve_worker(worker, request, done); });
    return;
  }
  if (!worker.up) return;
  if (request.path == "/inspect") return done({200, heartbeat_body(worker)});
  Document document;
  document.Parse(request.body.c_str());
  if (document["epoch"].GetUint64() < worker.fencing_token ||
      document["tenure"].GetUint64() != worker.incarnation)
    return done({409, heartbeat_body(worker)});
  raise_fencing_token(worker, document["epoch"].GetUint64());
  apply_commands(worker, request.body);
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
  for (const auto& [id, worker] : workers_) n += worker->up && !worker->removed;
  return n;
}

}  // namespace eiderreel::standin
