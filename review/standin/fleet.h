// Stand-ins of the cloud and of the workers.
#pragma once
#include <algorithm>

#include "world.h"

namespace review {

struct MachineType {
  std::string name;
  double cores = 16, accelerators = 0, mem_gb = 128, ready_s = 15;
};

/// What a worker knows of a job: its description, which users upload.
struct JobInfo {
  std::string id, team;
  double cores = 1, accelerators = 0, mem_gb = 1, snapshot_s = 0, stow_s = 0;
  double run_s = 0;  // 0: runs until it is killed
};

struct Task {
  enum Phase { pulling, running, flushing, exited };
  std::string shard, job;
  std::uint64_t attempt = 0;
  Phase phase = pulling;
  std::string cause;
  bool stored = false;
  double started = 0;
};

class Worker;
/// What happens on the machines, as a case watches it.
struct Watcher {
  std::function<void(Worker&, const Task&)> started = [](Worker&, const Task&) {};
  std::function<void(Worker&, const Task&)> ended = [](Worker&, const Task&) {};
  std::function<void(Worker&)> lease_over = [](Worker&) {};
  std::function<void(Worker&, int status, std::size_t bytes)> answered = [](Worker&, int,
                                                                            std::size_t) {};
};

/// What the workers share: the settings, the jobs' descriptions, the addresses of the controllers.
struct WorkerContext {
  double report_s = 1, lease_s = 10, fetch_s = 0.3;
  std::vector<std::string> node_names;
  std::vector<int> node_ports;
  std::map<std::string, JobInfo> jobs;
  Watcher watcher;
};

class Worker {
 public:
  Worker(World& world, WorkerContext& context, std::string host, MachineType type, std::string zone,
         bool spot)
      : host(std::move(host)),
        type(std::move(type)),
        zone(std::move(zone)),
        spot(spot),
        world_(world),
        context_(context),
        server_(world,
                [this](const Request& request, ResponderPtr reply) { serve(request, reply); }) {
    lease_from_ = world.now();
    node_ = static_cast<std::size_t>(world.uniform(0, 1) *
                                     static_cast<double>(context.node_ports.size())) %
            context.node_ports.size();
    report_at_ = world.now() + world.uniform(0, 0.5);
    world_.every(0.02, [this] {
      tick();
      return !gone_;
    });
  }
  /// The machine stops with all that is on it.
  void die() {
    world_.record("machine " + host + " stops with all that is on it");
    gone_ = true;
    died_at_ = world_.now();
    end_all();
  }
  double died_at() const { return died_at_; }
  /// Nothing gets from the machine or to it; what runs on it goes on.
  void set_cut(bool cut) {
    world_.record("machine " + host + (cut ? " is cut off" : " is reached again"));
    cut_ = cut;
  }
  bool gone() const { return gone_; }
  std::string address() const { return server_.address(); }
  std::size_t node() const { return node_; }
  const std::map<std::pair<std::string, std::uint64_t>, Task>& tasks() const { return tasks_; }
  /// Tasks that have their image and have not ended.
  template <class Action>
  void for_each_present(const Action& action) const {
    for (const auto& [key, task] : tasks_)
      if (task.phase == Task::running || task.phase == Task::flushing) action(task);
  }
  std::string report_body() const {
    std::string body = format(
        "{\"host\":\"%s\",\"endpoint\":\"%s\",\"hull\":\"%s\",\"berth\":\"%s\",\"driftwood\":%s,"
        "\"tenure\":%lu,\"tick\":%lu,\"epoch\":%lu,\"warning_s\":null,\"shards\":[",
        host.c_str(), address().c_str(), type.name.c_str(), zone.c_str(), spot ? "true" : "false",
        tenure_, tick_, epoch_);
    bool first = true;
    for (const auto& [key, task] : tasks_) {
      static const char* const phases[] = {"pulling", "running", "flushing", "exited"};
      if (!first) body += ",";
      first = false;
      body += "{\"shard\":\"" + task.shard + "\",\"try\":" + std::to_string(task.attempt) +
              ",\"phase\":\"" + phases[task.phase] + "\"";
      if (task.phase == Task::exited) body += ",\"cause\":\"" + task.cause + "\"";
      if (task.stored) body += ",\"stored\":true";
      body += "}";
    }
    return body + "]}";
  }

  const std::string host;
  const MachineType type;
  const std::string zone;
  const bool spot;

 private:
  void tick() {
    if (gone_) return;
    const double now = world_.now();
    if (now - lease_from_ > context_.lease_s) {
      world_.record("machine " + host + ": lease over, all its tasks end, session " +
                    std::to_string(tenure_ + 1));
      end_all();
      tasks_.clear();
      ++tenure_;
      lease_from_ = now;
      change();
      context_.watcher.lease_over(*this);
    }
    if (!in_flight_ && now >= report_at_) report();
  }
  // A change brings the next report forward, to half a second after the last one at the earliest.
  void change() { report_at_ = std::min(report_at_, std::max(world_.now(), sent_at_ + 0.5)); }

  void report() {
    in_flight_ = true;
    const double sent_at = sent_at_ = world_.now();
    const std::uint64_t tenure = tenure_;
    ++tick_;
    report_at_ = sent_at + context_.report_s * world_.uniform(0.75, 1.25);
    const std::string body = report_body();
    if (cut_) {
      world_.after(4, [this] { on_answer({}, 0, 0, 0); });
      return;
    }
    call(world_, context_.node_ports[node_], "POST", "/v1/report", body, 4,
         [this, sent_at, tenure, size = body.size()](const Answer& answer) {
           on_answer(cut_ ? Answer{} : answer, sent_at, tenure, size);
         });
  }

  void on_answer(const Answer& answer, double sent_at, std::uint64_t tenure, std::size_t size) {
    if (gone_) return;
    in_flight_ = false;
    if (answer.status) context_.watcher.answered(*this, answer.status, size);
    if (world_.now() - sent_at > 4 || answer.status != 200) {
      if (answer.status == 421) {
        Json body;
        body.Parse(answer.body.c_str());
        const std::string upstream =
            body.IsObject() && body.HasMember("upstream") && body["upstream"].IsString()
                ? body["upstream"].GetString()
                : "";
        const auto& names = context_.node_names;
        const auto found = std::find(names.begin(), names.end(), upstream);
        if (found != names.end() && static_cast<std::size_t>(found - names.begin()) != node_) {
          node_ = static_cast<std::size_t>(found - names.begin());
          report_at_ = world_.now() + world_.uniform(0, 0.5);
          return;
        }
      }
      node_ = (node_ + 1) % context_.node_ports.size();
      report_at_ = world_.now() + 1;
      return;
    }
    if (tenure != tenure_) return;
    Json body;
    body.Parse(answer.body.c_str());
    if (!body.IsObject() || !body.HasMember("epoch") || body["epoch"].GetUint64() < epoch_) return;
    lease_from_ = sent_at;
    see_epoch(body["epoch"].GetUint64());
    if (body.HasMember("orders") && body["orders"].IsArray()) execute(body["orders"]);
  }

  void see_epoch(std::uint64_t epoch) {
    if (epoch <= epoch_) return;
    epoch_ = epoch;
    change();
  }

  void serve(const Request& request, const ResponderPtr& reply) {
    if (gone_ || cut_) {
      held_.push_back(reply);  // never answered
      return;
    }
    if (request.path == "/inspect") {
      ++tick_;
      return reply->send(200, report_body());
    }
    if (request.path != "/commands") return reply->send(404, "{}");
    Json body;
    body.Parse(request.body.c_str());
    if (!body.IsObject() || !body.HasMember("epoch") || !body.HasMember("tenure"))
      return reply->send(400, "{}");
    ++tick_;
    if (body["epoch"].GetUint64() < epoch_ || body["tenure"].GetUint64() != tenure_)
      return reply->send(409, report_body());
    see_epoch(body["epoch"].GetUint64());
    execute(body["orders"]);
    reply->send(200, report_body());
  }

  void execute(const Value& orders) {
    for (const Value& order : orders.GetArray()) {
      const std::string verb = order["verb"].GetString();
      const std::string shard = order["shard"].GetString();
      const std::uint64_t attempt = order["try"].GetUint64();
      const auto found = tasks_.find({shard, attempt});
      if (verb == "launch" && found == tasks_.end()) {
        launch(shard, attempt);
      } else if (verb == "kill" && found != tasks_.end()) {
        kill(found->second, order["mercy_s"].GetDouble());
      } else if (verb == "clear" && found != tasks_.end() && found->second.phase == Task::exited) {
        tasks_.erase(found);
        change();
      }
    }
  }

  void launch(const std::string& shard, std::uint64_t attempt) {
    Task& task = tasks_[{shard, attempt}];
    task.shard = shard;
    task.job = shard.substr(0, shard.rfind('/'));
    task.attempt = attempt;
    change();
    const auto job = context_.jobs.find(task.job);
    if (job == context_.jobs.end()) return refuse(task, "no_such");
    double cores = job->second.cores, accelerators = job->second.accelerators,
           mem_gb = job->second.mem_gb;
    for (const auto& [key, other] : tasks_) {
      if (&other == &task || other.phase == Task::exited) continue;
      if (other.shard == shard) return refuse(task, "busy");
      const JobInfo& info = context_.jobs.at(other.job);
      cores += info.cores;
      accelerators += info.accelerators;
      mem_gb += info.mem_gb;
    }
    if (cores > type.cores + 1e-6 || accelerators > type.accelerators + 1e-6 ||
        mem_gb > type.mem_gb + 1e-6)
      return refuse(task, "no_room");
    later(context_.fetch_s, task, Task::pulling, [this](Task& fetched) {
      fetched.phase = Task::running;
      fetched.started = world_.now();
      change();
      context_.watcher.started(*this, fetched);
      const double run_s = context_.jobs.at(fetched.job).run_s;
      if (run_s > 0)
        later(run_s, fetched, Task::running, [this](Task& done) { exit(done, "done", false); });
    });
  }
  void refuse(Task& task, const char* cause) {
    task.phase = Task::exited;
    task.cause = cause;
  }
  void kill(Task& task, double mercy_s) {
    if (task.phase == Task::exited) return;
    const JobInfo& info = context_.jobs.at(task.job);
    if (task.phase == Task::running && info.snapshot_s > 0 && mercy_s >= info.stow_s) {
      task.phase = Task::flushing;
      change();
      later(info.stow_s, task, Task::flushing,
            [this](Task& saved) { exit(saved, "stopped", true); });
    } else if (task.phase != Task::flushing || mercy_s == 0) {
      exit(task, "stopped", false);
    }
  }
  void exit(Task& task, const char* cause, bool stored) {
    const bool present = task.phase == Task::running || task.phase == Task::flushing;
    task.phase = Task::exited;
    task.cause = cause;
    task.stored = stored;
    change();
    if (present) context_.watcher.ended(*this, task);
  }
  // Calls `action` after some time if the task is then still in that phase and session.
  void later(double seconds, const Task& task, Task::Phase phase,
             std::function<void(Task&)> action) {
    world_.after(seconds, [this, tenure = tenure_, phase, action = std::move(action),
                           key = std::pair(task.shard, task.attempt)] {
      if (gone_ || tenure != tenure_) return;
      const auto found = tasks_.find(key);
      if (found != tasks_.end() && found->second.phase == phase) action(found->second);
    });
  }
  void end_all() {
    for (auto& [key, task] : tasks_) {
      const bool present = task.phase == Task::running || task.phase == Task::flushing;
      if (task.phase == Task::exited) continue;
      task.phase = Task::exited;
      task.cause = "lost";
      if (present) context_.watcher.ended(*this, task);
    }
  }

  World& world_;
  WorkerContext& context_;
  Server server_;
  std::map<std::pair<std::string, std::uint64_t>, Task> tasks_;  // by shard and attempt
  std::vector<ResponderPtr> held_;
  std::uint64_t tenure_ = 1, tick_ = 0, epoch_ = 0;
  double lease_from_ = 0, report_at_ = 0, sent_at_ = -1;
  std::size_t node_ = 0;
  double died_at_ = -1;
  bool in_flight_ = false, cut_ = false, gone_ = false;
};

/// The cloud: lists machines, rents as many as are left of each type, takes machines back.
class Cloud {
 public:
  using Rent = std::function<Worker*(const std::string& host, const MachineType& type,
                                     const std::string& zone, bool spot)>;
  Cloud(World& world, std::vector<MachineType> types, std::vector<std::string> zones, double lag_s,
        Rent rent)
      : world_(world),
        types_(std::move(types)),
        zones_(std::move(zones)),
        lag_s_(lag_s),
        rent_(std::move(rent)),
        server_(world,
                [this](const Request& request, ResponderPtr reply) { serve(request, reply); }) {}
  std::string address() const { return server_.address(); }
  void add(Worker* worker) {
    machines_[worker->host] = {worker, worker->type, worker->zone, worker->spot, -100, -1};
  }
  /// How many further machines the cloud gives, of any type and zone.
  int left = 0;
  int asked = 0;  // requests for machines so far

 private:
  struct Entry {
    Worker* worker;  // null while it boots
    MachineType type;
    std::string zone;
    bool spot;
    double rented, gone;
  };
  void serve(const Request& request, const ResponderPtr& reply) {
    if (request.path == "/catalog") return reply->send(200, catalog());
    if (request.path == "/machines" && request.method == "GET") return list(request, reply);
    if (request.path == "/machines/return") return take_back(request, reply);
    if (request.path == "/machines") return rent(request, reply);
    reply->send(404, "{}");
  }
  std::string catalog() const {
    std::string body;
    for (const MachineType& type : types_) {
      std::string zones;
      for (const auto& zone : zones_) zones += (zones.empty() ? "\"" : ",\"") + zone + "\"";
      body += (body.empty() ? "" : ",") +
              format(
                  "{\"name\":\"%s\",\"cores\":%g,\"accelerators\":%g,\"mem_gb\":%g,"
                  "\"cache_gb\":200,\"fetch_gb_per_s\":5.0,\"price\":%g,\"market_price\":%g,"
                  "\"ready_s\":%g,\"berths\":[%s]}",
                  type.name.c_str(), type.cores, type.accelerators, type.mem_gb, type.cores / 14,
                  type.cores / 45, type.ready_s, zones.c_str());
    }
    return "{\"hulls\":[" + body + "]}";
  }
  void list(const Request& request, const ResponderPtr& reply) {
    const auto since = request.query.find("since");
    const double now = world_.now();
    std::string rows;
    for (const auto& [name, entry] : machines_) {
      if (since != request.query.end() && name <= since->second) continue;
      if (entry.gone >= 0 && now - entry.gone > lag_s_) continue;
      if (now - entry.rented < lag_s_) continue;
      // A machine that stopped by itself stays listed as running for about 30 s.
      const char* phase = "running";
      if (!entry.worker)
        phase = "starting";
      else if (entry.worker->gone() && now - entry.worker->died_at() > 30)
        phase = "failed";
      rows += (rows.empty() ? "" : ",") +
              format(
                  "{\"name_id\":\"%s\",\"endpoint\":\"%s\",\"hull\":\"%s\",\"berth\":\"%s\","
                  "\"driftwood\":%s,\"phase\":\"%s\",\"held_s\":%.1f}",
                  name.c_str(), entry.worker ? entry.worker->address().c_str() : "127.0.0.1:1",
                  entry.type.name.c_str(), entry.zone.c_str(), entry.spot ? "true" : "false", phase,
                  now - entry.rented);
    }
    reply->send(200, "{\"hosts\":[" + rows + "],\"more\":false}");
  }
  void rent(const Request& request, const ResponderPtr& reply) {
    Json body;
    body.Parse(request.body.c_str());
    const std::string charter = body["charter"].GetString();
    world_.record("POST /machines " + request.body);
    ++asked;
    if (const auto known = charters_.find(charter); known != charters_.end())
      return reply->send(200, known->second);
    const auto type = std::find_if(types_.begin(), types_.end(), [&](const MachineType& candidate) {
      return candidate.name == body["hull"].GetString();
    });
    const int count = std::min(left, body["how_many"].GetInt());
    if (type == types_.end() || count <= 0) return reply->send(503, "{\"error\":\"no capacity\"}");
    left -= count;
    std::string hosts;
    for (int i = 0; i < count; ++i) {
      const std::string host = format("m-%06d", ++last_rented_);
      hosts += (hosts.empty() ? "\"" : ",\"") + host + "\"";
      machines_[host] = {
          nullptr, *type, body["berth"].GetString(), body["driftwood"].GetBool(), world_.now(), -1};
      world_.after(type->ready_s * world_.uniform(0.6, 1.5), [this, host] {
        Entry& entry = machines_[host];
        if (entry.gone < 0) entry.worker = rent_(host, entry.type, entry.zone, entry.spot);
      });
    }
    reply->send(200, charters_[charter] = "{\"hosts\":[" + hosts + "]}");
  }
  void take_back(const Request& request, const ResponderPtr& reply) {
    Json body;
    body.Parse(request.body.c_str());
    for (const Value& host : body["hosts"].GetArray()) {
      const auto found = machines_.find(host.GetString());
      if (found == machines_.end() || found->second.gone >= 0) continue;
      world_.record("the cloud takes back " + found->first);
      found->second.gone = world_.now();
      if (found->second.worker && !found->second.worker->gone()) found->second.worker->die();
    }
    reply->send(200, "{}");
  }

  World& world_;
  std::vector<MachineType> types_;
  std::vector<std::string> zones_;
  double lag_s_;
  Rent rent_;
  std::map<std::string, Entry> machines_;
  std::map<std::string, std::string> charters_;
  int last_rented_ = 1000;
  Server server_;
};

}  // namespace review
