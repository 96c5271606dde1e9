// Machines and their workers: heartbeats, commands, leases, and the troubles they can have.
#include <rapidjson/document.h>

#include "standin/machine_model.h"
#include "standin/simulated_cluster.h"

namespace eiderreel::standin {

using rapidjson::Document;

// From the moment at which it has its image until it ends, also while it saves.
bool World::on_machine(const Task& t) { return t.phase == "running" || t.phase == "flushing"; }

void World::lose(Worker& w, const char* why) {
  note(w.id + " is " + why);
  for (auto& [key, t] : w.tasks)
    if (on_machine(t)) checker_.task_off(w.id, key.first, key.second);
  w.tasks.clear();
  w.gone = true;
  w.up = false;
}

void World::kill_machine(const std::string& id) {
  Worker& w = *workers_.at(id);
  lose(w, "dead");
  w.gone = false;  // listed for a while
  w.stopped = true;
}

void World::take_machine(const std::string& id, double notice_s) {
  Worker& w = *workers_.at(id);
  w.taken_at = now() + notice_s;
  w.changed = true;
  if (notice_s <= 0) lose(w, "taken");
}

void World::freeze_machine(const std::string& id, bool on) {
  note(id + (on ? " hangs" : " goes on"));
  Worker& w = *workers_.at(id);
  w.frozen = on;
  if (on) return;
  // Beyond its lease it has killed all it had before it reads what came meanwhile.
  if (w.up && now_ - w.lease_from > static_cast<Ms>(o_.lease_s * 1000)) end_lease(w);
  for (auto& read : std::exchange(w.unread, {})) read();
}

void World::mute(const std::string& id, bool on) {
  note(id + (on ? " reaches no controller" : " reaches controllers again"));
  if (on)
    mute_.insert(workers_.at(id)->addr);
  else
    mute_.erase(workers_.at(id)->addr);
}

void World::deafen(const std::string& id, bool on) {
  note(id + (on ? " does not hear" : " hears again"));
  if (on)
    deaf_.insert(workers_.at(id)->addr);
  else
    deaf_.erase(workers_.at(id)->addr);
}

std::size_t World::heartbeats_accepted(int node) const {
  auto it = heartbeats_accepted_.find(node);
  return it == heartbeats_accepted_.end() ? 0 : it->second;
}

std::size_t World::launches_to(const std::string& machine) const {
  auto it = launches_.find(workers_.at(machine)->addr);
  return it == launches_.end() ? 0 : it->second;
}

void World::set_sick(const std::string& id, bool on) { workers_.at(id)->sick = on; }

void World::end_task(Worker& w, const TaskKey& key, Task& t, const std::string& exit_reason) {
  if (on_machine(t)) checker_.task_off(w.id, key.first, key.second);
  t.phase = "exited";
  t.exit_reason = exit_reason;
  w.changed = true;
}

// A running task with checkpoints saves first if it is given the time, unless told again without
// any.
void World::kill_task(Worker& w, const TaskKey& key, Task& t, double grace_s) {
  const JobSpec& s = specs_[key.first];
  if (t.phase == "exited") return;
  const bool enough = s.checkpoint_s > 0 && grace_s > 0 && grace_s >= s.save_s;
  if (enough && t.phase == "flushing") return;
  if (!enough || t.phase != "running") return end_task(w, key, t, "stopped");
  note(w.id + " saves " + key.first + "/" + std::to_string(key.second));
  t.phase = "flushing";
  t.left_s = s.save_s;
  w.changed = true;
}

void World::end_lease(Worker& w) {
  if (!w.tasks.empty()) note(w.id + " lease expired");
  for (auto& [key, t] : w.tasks)
    if (on_machine(t)) checker_.task_off(w.id, key.first, key.second);
  w.tasks.clear();
  ++w.incarnation;
  w.lease_from = now_;
  w.changed = true;
}

void World::troubles_over() { checker_.troubles_over(now()); }

// Which jobs wait though a machine of any partition has room for their next task.
void World::look_for_room() {
  schedule(now_ + 1000, [this] { look_for_room(); });
  std::map<std::string, double> team_cpus;
  std::map<std::string, std::size_t> begun;
  for (const auto& [id, w] : workers_)
    for (const auto& [key, t] : w->tasks) {
      if (t.phase != "exited") team_cpus[specs_[key.first].team] += specs_[key.first].cpus;
      ++begun[key.first];
    }
  for (const auto& [id, s] : specs_) {
    const std::string told = phase(id);
    bool could = false;
    double most = 0;
    for (const auto& team : o_.teams)
      if (team.name == s.team) most = team.quota_cpus;
    if ((told == "queued" || told == "running") && !failing_jobs_.count(id) && begun[id] == 0 &&
        team_cpus[s.team] + s.cpus <= most)
      for (const auto& [name, w] : workers_) {
        if (!w->up || w->frozen || w->sick || w->taken_at >= 0 || (w->spot && !s.spot) ||
            (!s.zone.empty() && s.zone != w->zone))
          continue;
        double used = 0;
        for (const auto& [key, t] : w->tasks)
          if (t.phase != "exited") used += specs_[key.first].cpus;
        could |= used + s.cpus <= kMachineCpus + 1e-9;
      }
    checker_.could_run(now(), id, could);
  }
}

void World::tick_workers() {
  schedule(now_ + kWorkerStep, [this] { tick_workers(); });
  state_service_.end_leases();
  checker_.look(now());
  for (auto& [id, pw] : workers_) {
    Worker& w = *pw;
    if (!w.up && !w.gone && !w.stopped && now() >= w.up_at) {
      w.up = true;
      w.lease_from = now_;
      w.next_heartbeat = now_ + static_cast<Ms>(random_() % 500);
    }
    if (!w.up) continue;
    // A hanging machine may go on within its lease; after it, its tasks are gone.
    if (w.frozen) {
      if (now_ - w.lease_from > static_cast<Ms>(o_.lease_s * 1000) && !w.tasks.empty())
        end_lease(w);
      continue;
    }
    if (w.taken_at >= 0 && now() >= w.taken_at) {
      lose(w, "taken");
      continue;
    }
    if (now_ - w.lease_from > static_cast<Ms>(o_.lease_s * 1000)) end_lease(w);
    for (auto& [key, t] : w.tasks) {
      if (t.phase == "exited") continue;
      t.left_s -= kWorkerStep / 1000.0;
      if (t.left_s > 0) continue;
      const JobSpec& s = specs_[key.first];
      if (t.phase == "pulling") {
        w.images.insert(s.image);
        t.phase = "running";
        t.left_s = w.sick || failing_jobs_.count(key.first) ? 0.3
                   : s.kind == JobKind::service             ? 1e9
                   : runs_.count(key.first)                 ? runs_[key.first].at(key.second)
                                                            : run_s_[key.first];
        note(w.id + " runs " + key.first + "/" + std::to_string(key.second));
        checker_.task_on(now(), {w.id, "box", w.zone, w.spot}, key.first, key.second);
        w.changed = true;
      } else if (t.phase == "flushing") {
        end_task(w, key, t, "stopped");
      } else {
        const bool bad = w.sick || failing_jobs_.count(key.first) > 0;
        if (!bad) checker_.task_done(now(), key.first, key.second);
        end_task(w, key, t, bad ? "error" : "done");
      }
    }
    if (w.in_flight) continue;
    if (now_ >= w.next_heartbeat || (w.changed && now_ - w.last_sent >= 500)) send_heartbeat(w);
  }
}

std::string World::heartbeat_body(Worker& w) {
  ++w.sequence;
  std::string tasks;
  for (const auto& [key, t] : w.tasks) {
    tasks += (tasks.empty() ? "" : ",") +
             ("{\"shard\":\"" + key.first + "/" + std::to_string(key.second) +
              "\",\"try\":" + std::to_string(t.attempt) + ",\"phase\":\"" + t.phase + "\"" +
              (t.exit_reason.empty() ? "" : ",\"cause\":\"" + t.exit_reason + "\"") + "}");
  }
  const std::string notice =
      w.taken_at >= 0 ? std::to_string(std::max(0.0, w.taken_at - now())) : "null";
  return "{\"host\":\"" + w.id + "\",\"endpoint\":\"" + w.addr +
         "\",\"hull\":\"box\",\"berth\":\"" + w.zone +
         "\",\"driftwood\":" + (w.spot ? "true" : "false") +
         ",\"tenure\":" + std::to_string(w.incarnation) +
         ",\"tick\":" + std::to_string(w.sequence) + ",\"epoch\":" + std::to_string(w.epoch) +
         ",\"warning_s\":" + notice + ",\"shards\":[" + tasks + "]}";
}

void World::send_heartbeat(Worker& w) {
  w.in_flight = true;
  w.changed = false;
  w.last_sent = now_;
  const double jitter = 0.75 + 0.5 * static_cast<double>(random_() % 1000) / 1000.0;
  w.next_heartbeat = now_ + static_cast<Ms>(o_.heartbeat_interval_s * 1000 * jitter);
  const std::uint64_t incarnation = w.incarnation, flight = ++w.flight;
  const int node = w.node;
  const Ms sent = now_;
  const std::string id = w.id;
  const std::string body = heartbeat_body(w);
  if (copies_)
    for (const double late_s : {2.0, o_.lease_s * 2.5})
      schedule(now_ + static_cast<Ms>(late_s * 1000), [this, body] {
        ++copies_sent_;
        call("copy", {"n" + std::to_string(pick_node()), "POST", "/v1/report", body, 4000},
             [](HttpReply) {});
      });
  call(w.addr, {"n" + std::to_string(node), "POST", "/v1/report", body, 4000},
       [this, id, sent, incarnation, node, flight](HttpReply r) {
         Worker& worker = *workers_.at(id);
         if (worker.gone || worker.stopped || worker.flight != flight) return;
         worker.in_flight = false;
         take_answer(worker, sent, incarnation, r, node);
       });
}

void World::take_answer(Worker& w, Ms sent, std::uint64_t incarnation, const HttpReply& r,
                        int node) {
  if (w.frozen) return;
  if (r.status == 421 && r.body.find("upstream") != std::string::npos) {
    Document d;
    d.Parse(r.body.c_str());
    const int to = std::atoi(d["upstream"].GetString() + 1);
    if (to != node) {
      w.node = to;
      w.next_heartbeat = now_ + 100;
      return;
    }
  }
  if (r.status != 200) {
    w.node = (node + 1) % o_.nodes;
    w.next_heartbeat = now_ + 1000;
    return;
  }
  Document d;
  d.Parse(r.body.c_str());
  if (incarnation != w.incarnation || d["epoch"].GetUint64() < w.epoch) return;
  w.lease_from = sent;
  raise_token(w, d["epoch"].GetUint64());
  obey(w, r.body);
}

// A higher token is a change to be reported at once, but only once within half a lease.
void World::raise_token(Worker& w, std::uint64_t token) {
  if (token <= w.epoch) return;
  w.epoch = token;
  if (now_ - w.token_change_at < static_cast<Ms>(o_.lease_s * 500)) return;
  w.token_change_at = now_;
  w.changed = true;
}

void World::obey(Worker& w, const std::string& body) {
  Document d;
  d.Parse(body.c_str());
  for (const auto& o : d["orders"].GetArray()) {
    const std::string type = o["verb"].GetString(), name = o["shard"].GetString();
    const auto slash = name.rfind('/');
    const TaskKey key{name.substr(0, slash),
                      static_cast<std::uint32_t>(std::stoul(name.substr(slash + 1)))};
    const std::uint64_t attempt = o["try"].GetUint64();
    auto it = w.tasks.find(key);
    if (type == "launch") {
      if (it != w.tasks.end() && it->second.attempt == attempt) continue;
      w.changed = true;
      const JobSpec& s = specs_[key.first];
      double used = 0;
      for (const auto& [k, t] : w.tasks)
        if (t.phase != "exited") used += specs_[k.first].cpus;
      if (it != w.tasks.end() && it->second.phase != "exited") {
        note(w.id + " refuses " + name + " busy");
        continue;
      }
      const bool room = used + s.cpus <= kMachineCpus + 1e-9;
      if (!room) note(w.id + " refuses " + name + " no_room");
      const bool cached = w.images.count(s.image) > 0;
      w.tasks[key] = room ? Task{attempt, "pulling", "", cached ? 0.0 : s.image_gb / kFetchGbPerS}
                          : Task{attempt, "exited", "no_room", 0};
    } else if (it == w.tasks.end() || it->second.attempt != attempt) {
      continue;
    } else if (type == "kill") {
      kill_task(w, key, it->second, o["mercy_s"].GetDouble());
    } else if (it->second.phase == "exited") {
      w.tasks.erase(it);
      w.changed = true;
    }
  }
}

void World::serve_worker(Worker& w, const HttpRequest& r, Done done) {
  if (w.up && w.frozen) {
    w.unread.push_back([this, &w, r, done] { serve_worker(w, r, done); });
    return;
  }
  if (!w.up) return;
  if (r.path == "/inspect") return done({200, heartbeat_body(w)});
  Document d;
  d.Parse(r.body.c_str());
  if (d["epoch"].GetUint64() < w.epoch || d["tenure"].GetUint64() != w.incarnation)
    return done({409, heartbeat_body(w)});
  raise_token(w, d["epoch"].GetUint64());
  obey(w, r.body);
  done({200, heartbeat_body(w)});
}

std::size_t World::tasks_on(const std::string& job) const {
  std::size_t n = 0;
  for (const auto& [id, w] : workers_)
    for (const auto& [key, t] : w->tasks) n += key.first == job && t.phase == "running";
  return n;
}

std::vector<std::string> World::machines_of(const std::string& job) const {
  std::vector<std::string> out;
  for (const auto& [id, w] : workers_)
    for (const auto& [key, t] : w->tasks)
      if (key.first == job && t.phase == "running") out.push_back(id);
  return out;
}

std::size_t World::machines_up() const {
  std::size_t n = 0;
  for (const auto& [id, w] : workers_) n += w->up && !w->gone;
  return n;
}

}  // namespace eiderreel::standin
