#include "standin/simulated_cluster.h"

#include <rapidjson/document.h>
#include <spdlog/sinks/base_sink.h>
#include <spdlog/spdlog.h>

#include <cstdio>

#include "standin/machine_model.h"
#include "standin/old_build.h"
#include "standin/text.h"

namespace eiderreel::standin {
namespace {

using rapidjson::Document;

// Log lines of the nodes become lines of the trace.
class TraceSink : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
 public:
  SimulatedCluster* cluster = nullptr;
  std::string node;

 protected:
  void sink_it_(const spdlog::details::log_msg& message) override {
    if (cluster)
      cluster->note(node + " " + std::string(message.payload.data(), message.payload.size()));
  }
  void flush_() override {}
};

std::shared_ptr<TraceSink> sink() {
  static auto sink = [] {
    auto made = std::make_shared<TraceSink>();
    spdlog::set_default_logger(std::make_shared<spdlog::logger>("test", made));
    return made;
  }();
  return sink;
}

}  // namespace

// One process's view of the simulated cluster; it dies with the process, and what is late finds it
// gone.
class SimulatedCluster::ControllerRuntime : public Runtime {
 public:
  ControllerRuntime(SimulatedCluster& cluster, std::size_t index, std::uint64_t life)
      : cluster_(cluster),
        index_(index),
        life_(life),
        random_(cluster.options_.seed * 1000 + life * 10 + index) {}

  // Each steady clock runs a little fast, each at its own rate.
  Ms now() const override {
    return static_cast<Ms>(static_cast<double>(cluster_.now_) *
                           (1 + 0.0002 * static_cast<double>(index_)));
  }
  Ms wall() const override { return cluster_.now_ + 1000000; }
  double random() override { return std::uniform_real_distribution<double>(0, 1)(random_); }
  std::string boot_id() const override { return "b" + std::to_string(life_); }
  void after(Ms delay, std::function<void()> callback) override {
    cluster_.schedule(cluster_.now_ + std::max<Ms>(delay, 1), guarded(std::move(callback)));
  }
  void http(HttpRequest request, std::function<void(HttpReply)> done) override {
    const bool old = cluster_.controllers_[index_].old;
    if (old) request.body = as_old_build_writes(request.body);
    cluster_.call(name(), std::move(request),
                  [this, old, alive = alive_, done = std::move(done)](HttpReply reply) {
                    if (!*alive) return;
                    if (old) reply.body = as_old_build_reads(reply.body);
                    cluster_.when_awake(index_, [this, alive, done, reply] {
                      if (!*alive) return;
                      sink()->node = name();
                      done(reply);
                    });
                  });
  }
  void send(const std::string& node, const std::string& sent) override {
    SimulatedCluster* cluster = &cluster_;
    const std::string bytes = cluster_.controllers_[index_].old ? as_old_build_sends(sent) : sent;
    cluster_.deliver(
        name(), node,
        [cluster, node, bytes] {
          for (std::size_t i = 0; i < cluster->controllers_.size(); ++i)
            if (cluster->controllers_[i].name == node)
              cluster->when_awake(i, [cluster, i, bytes] {
                ControllerProcess& process = cluster->controllers_[i];
                if (!process.up) return;
                sink()->node = process.name;
                process.node->frame(bytes);
              });
        },
        [] {});
  }
  const std::string& name() const { return cluster_.controllers_[index_].name; }
  std::function<void()> guarded(std::function<void()> callback) {
    return [this, alive = alive_, callback = std::move(callback)] {
      if (!*alive) return;
      cluster_.when_awake(index_, [this, alive, callback] {
        if (!*alive) return;
        sink()->node = name();
        callback();
      });
    };
  }
  void die() { *alive_ = false; }

 private:
  SimulatedCluster& cluster_;
  std::size_t index_;
  std::uint64_t life_;
  std::mt19937_64 random_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

SimulatedCluster::SimulatedCluster(Options options)
    : options_(options),
      checker_(options.teams, options.cancel_s),
      version_checker_([this](const std::string& what) { checker_.version_rule(now(), what); }),
      random_(options.seed),
      state_store_(
          {[this] { return now_; },
           [this](Ms when, std::function<void()> callback) { schedule(when, std::move(callback)); },
           [this] { return chance(); }},
          {options.state_write_rps, options.limits, options.changes_kept, options.value_kb,
           options.txn_ops}) {
  sink()->cluster = this;
  for (int i = 0; i < options_.nodes; ++i) {
    ControllerProcess process;
    process.name = "n" + std::to_string(i);
    Settings& settings = process.settings;
    settings.node = process.name;
    settings.zone = i % 2 ? "b" : "a";
    settings.api_addr = process.name;
    for (int k = 0; k < options_.nodes; ++k)
      if (k != i) settings.peers.push_back({"n" + std::to_string(k), "a", "n" + std::to_string(k)});
    settings.cloud_addr = "cloud";
    settings.state_addr = "state";
    settings.partition_count = options_.nodes;
    settings.zones = {"a", "b"};
    settings.teams = options_.teams;
    settings.heartbeat_interval_s = options_.heartbeat_interval_s;
    settings.lease_s = options_.lease_s;
    settings.cancel_s = options_.cancel_s;
    settings.state_rps = options_.state_rps;
    settings.state_write_rps =
        std::min(options_.state_write_rps, options_.next_write_rps.value_or(1e9));
    settings.state_value_kb = std::min(options_.value_kb, options_.next_value_kb.value_or(1e9));
    settings.state_txn_ops = std::min(options_.txn_ops, options_.next_txn_ops.value_or(1 << 20));
    process.old = options_.old_nodes.count(i) > 0;
    if (options_.upgrades && !process.old) settings.upgrade = *options_.upgrades;
    controllers_.push_back(std::move(process));
  }
  if (options_.upgrades) observe_versions();
  for (int i = 0; i < options_.machines; ++i) add_worker(i % 2 ? "b" : "a", false, 0);
  for (std::size_t i = 0; i < controllers_.size() && !options_.processes; ++i)
    schedule(static_cast<Ms>(10 + 10 * i), [this, i] { start_node(i); });
  schedule(kWorkerStep, [this] { tick_workers(); });
  schedule(1000, [this] { look_for_room(); });
}

SimulatedCluster::~SimulatedCluster() {
  for (auto& process : controllers_)
    if (process.runtime) process.runtime->die();
  sink()->cluster = nullptr;
}

void SimulatedCluster::note(const std::string& line) {
  char head[32];
  std::snprintf(head, sizeof head, "%8.3f ", now());
  trace_.push_back(head + line);
}

// --------------------------------------------------------------------- time and network

void SimulatedCluster::schedule(Ms when, std::function<void()> callback) {
  events_[{std::max(when, now_), ++order_}] = std::move(callback);
}

void SimulatedCluster::at(double time_s, std::function<void()> callback) {
  schedule(static_cast<Ms>(time_s * 1000), std::move(callback));
}

void SimulatedCluster::run_until(double time_s) {
  const Ms end = static_cast<Ms>(time_s * 1000);
  while (!events_.empty() && events_.begin()->first.first <= end) {
    auto it = events_.begin();
    now_ = it->first.first;
    auto action = std::move(it->second);
    events_.erase(it);
    action();
  }
  now_ = end;
}

Ms SimulatedCluster::latency() {
  return 1 + static_cast<Ms>(random_() % static_cast<std::uint64_t>(options_.latency_ms));
}

std::size_t SimulatedCluster::lines(const std::string& text) const {
  return static_cast<std::size_t>(
      std::count_if(trace_.begin(), trace_.end(),
                    [&](const std::string& line) { return line.find(text) != std::string::npos; }));
}

const CutMode* SimulatedCluster::cut_between(const std::string& a, const std::string& b) const {
  auto contains = [](const std::set<std::string>& names, const std::string& name) {
    return names.count("*") > 0 || names.count(name) > 0;
  };
  for (const auto& cut : cuts_)
    if ((contains(cut.a, a) && contains(cut.b, b)) || (contains(cut.a, b) && contains(cut.b, a)))
      return &cut.mode;
  return nullptr;
}

void SimulatedCluster::deliver(const std::string& from, const std::string& to,
                               std::function<void()> callback, std::function<void()> reset) {
  if (deaf_.count(to) > 0) return;
  const CutMode* cut = cut_between(from, to);
  if (!cut) return schedule(now_ + latency(), std::move(callback));
  if (*cut == CutMode::hold) return held_.push_back({from, to, std::move(callback)});
  schedule(now_ + 1, std::move(reset));
}

void SimulatedCluster::cut(std::set<std::string> a, std::set<std::string> b, CutMode mode) {
  note("world cut");
  cuts_.push_back({std::move(a), std::move(b), mode});
}

// What was held now arrives, in order, however late.
void SimulatedCluster::heal() {
  note("world healed");
  cuts_.clear();
  auto held = std::move(held_);
  held_.clear();
  for (auto& message : held) schedule(now_ + latency(), std::move(message.deliver));
}

void SimulatedCluster::call(const std::string& from, HttpRequest request, Done done) {
  auto finished = std::make_shared<bool>(false);
  auto finish = [finished, done = std::move(done)](HttpReply reply) {
    if (*finished) return;
    *finished = true;
    done(std::move(reply));
  };
  schedule(now_ + request.timeout, [finish] { finish({}); });
  const std::string to = request.addr;
  if (mute_.count(from) > 0) return;
  auto reset = [finish] { finish({}); };
  deliver(
      from, to,
      [this, from, to, request, finish, reset] {
        Done back = [this, from, to, finish, reset](HttpReply reply) {
          deliver(
              to, from, [finish, reply] { finish(reply); }, reset);
        };
        arrive(from, to, request, std::move(back));
      },
      reset);
}

void SimulatedCluster::arrive(const std::string& from, const std::string& to,
                              const HttpRequest& request, Done back) {
  if (to == "state") return state_store_.serve(from, request, std::move(back));
  if (to == "cloud") return serve_cloud(request, std::move(back));
  for (std::size_t i = 0; i < controllers_.size(); ++i)
    if (controllers_[i].name == to) return arrive_at_node(i, from, request, std::move(back));
  for (auto& [id, worker] : workers_)
    if (worker->addr == to) {
      if (request.path == "/commands" && late_commands_.share > 0 &&
          chance() < late_commands_.share)
        return hold_command(*worker, request);
      return serve_worker(*worker, request, std::move(back));
    }
}

void SimulatedCluster::arrive_at_node(std::size_t i, const std::string& from,
                                      const HttpRequest& request, Done back) {
  if (options_.processes) return options_.processes(static_cast<int>(i), request, std::move(back));
  when_awake(i, [this, i, from, request, back] {
    ControllerProcess& process = controllers_[i];
    if (!process.up) return back({});
    sink()->node = process.name;
    process.node->request(request.method, request.path,
                          process.old ? as_old_build_reads(request.body) : request.body,
                          [this, i, from, request, back](int status, std::string body) {
                            for (auto at = body.find("\"launch\""); at != std::string::npos;
                                 at = body.find("\"launch\"", at + 1))
                              ++launches_[from];
                            if (request.path == "/v1/report" && status == 200) {
                              ++heartbeats_accepted_[static_cast<int>(i)];
                              check_may_act(*controllers_[i].node, request.body);
                            }
                            back({status, body});
                          });
  });
}

// Held up on its way: it is carried out once, late, and nobody hears of it.
void SimulatedCluster::hold_command(Worker& worker, const HttpRequest& request) {
  ++commands_late_;
  schedule(now_ + late_commands_.delay(chance()),
           [this, &worker, request] { serve_worker(worker, request, [](HttpReply) {}); });
}

// Invariant 6: a heartbeat is answered with 200 only by a leader whose lease is alive, or who has
// the votes of all peers.
void SimulatedCluster::check_may_act(const Controller& node, const std::string& heartbeat) {
  Document document;
  document.Parse(heartbeat.c_str());
  const std::string machine = document["host"].GetString();
  for (const auto& [partition, core] : node.partition_leader().partitions())
    if (core->has_machine(machine) && !node.partition_leader().acting(partition))
      checker_.answered_without_lease(now(), node.settings().node + " answers " + machine);
}

// ------------------------------------------------------------------------------- nodes

void SimulatedCluster::observe_versions() {
  auto rows = [this](const std::string& key) { return state_store_.value(key); };
  state_store_.set_observer({[this, rows](const std::string& key, const std::string& value) {
                               version_checker_.written(key, value, rows);
                             },
                             [this, rows] { version_checker_.look(rows); }});
}

void SimulatedCluster::start_node(std::size_t i) {
  ControllerProcess& process = controllers_[i];
  ++process.life;
  process.runtime = std::make_unique<ControllerRuntime>(*this, i, process.life);
  process.node = std::make_unique<Controller>(*process.runtime, process.settings);
  process.up = true;
  sink()->node = process.name;
  note(process.name + " starts");
  process.node->start();
  auto tick = process.tick = std::make_shared<std::function<void()>>();
  *tick = process.runtime->guarded([this, i, weak = std::weak_ptr(tick)] {
    controllers_[i].node->tick();
    if (auto self = weak.lock()) schedule(now_ + constants::kTickMs, [self] { (*self)(); });
  });
  schedule(now_ + constants::kTickMs, [tick] { (*tick)(); });
}

void SimulatedCluster::when_awake(std::size_t i, std::function<void()> callback) {
  if (now_ >= controllers_[i].frozen_until) return callback();
  schedule(controllers_[i].frozen_until, std::move(callback));
}

void SimulatedCluster::freeze(int node, double for_s) {
  ControllerProcess& process = controllers_[static_cast<std::size_t>(node)];
  note(process.name + " stands still");
  process.frozen_until = now_ + static_cast<Ms>(for_s * 1000);
}

void SimulatedCluster::crash(int node, double back_after_s) {
  const auto i = static_cast<std::size_t>(node);
  ControllerProcess& process = controllers_[i];
  if (!process.up) return;
  note(process.name + " crashes");
  process.up = false;
  process.runtime->die();
  process.node.reset();
  process.runtime.reset();
  schedule(now_ + static_cast<Ms>(back_after_s * 1000), [this, i] { start_node(i); });
}

void SimulatedCluster::upgrade(int node, double back_after_s) {
  install(node, upgrade::kNewestVersion, back_after_s);
}

void SimulatedCluster::downgrade(int node, double back_after_s) {
  ControllerProcess& process = controllers_[static_cast<std::size_t>(node)];
  crash(node, back_after_s);
  process.old = true;
  process.settings.upgrade = {};
}

void SimulatedCluster::install(int node, upgrade::ClusterVersion newest, double back_after_s) {
  ControllerProcess& process = controllers_[static_cast<std::size_t>(node)];
  crash(node, back_after_s);
  process.old = false;
  if (!options_.upgrades) return;
  process.settings.upgrade = *options_.upgrades;
  process.settings.upgrade.range.newest = newest;
}

void SimulatedCluster::limit_state(double value_kb, int txn_ops, double write_rps) {
  note("state service has lower limits");
  state_store_.set_limits(value_kb, txn_ops, write_rps);
}

int SimulatedCluster::leader_of(int partition) const {
  const std::string* record = state_store_.value("e/part/" + std::to_string(partition));
  if (!record) return -1;
  Document document;
  document.Parse(record->c_str());
  return std::atoi(document["owner"].GetString() + 1);
}

void SimulatedCluster::state_outage(bool on) {
  note(on ? "state outage" : "state is back");
  state_store_.set_outage(on);
}

void SimulatedCluster::state_refuses(int node, bool on) {
  const std::string name = "n" + std::to_string(node);
  note("state " + std::string(on ? "refuses " : "serves ") + name);
  state_store_.set_refused(name, on);
}

double SimulatedCluster::chance() { return static_cast<double>(random_() % 100000) / 100000; }

}  // namespace eiderreel::standin
