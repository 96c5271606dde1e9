#include "standin/simulated_cluster.h"

#include <cstdio>

#include "standin/controller_runtime.h"
#include "standin/machine_model.h"

namespace eiderreel::standin {

std::shared_ptr<TraceSink> trace_sink() {
  static auto sink = [] {
    auto made = std::make_shared<TraceSink>();
    spdlog::set_default_logger(std::make_shared<spdlog::logger>("test", made));
    return made;
  }();
  return sink;
}

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
  trace_sink()->cluster = this;
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
  trace_sink()->cluster = nullptr;
}

void SimulatedCluster::note(const std::string& line) {
  char head[32];
  std::snprintf(head, sizeof head, "%8.3f ", now());
  trace_.push_back(head + line);
}

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

std::size_t SimulatedCluster::lines(const std::string& text) const {
  return static_cast<std::size_t>(
      std::count_if(trace_.begin(), trace_.end(),
                    [&](const std::string& line) { return line.find(text) != std::string::npos; }));
}

double SimulatedCluster::chance() { return static_cast<double>(random_() % 100000) / 100000; }

}  // namespace eiderreel::standin
