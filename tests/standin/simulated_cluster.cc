#include "standin/simulated_cluster.h"

#include <cstdio>

#include "standin/controller_runtime.h"
#include "standin/machine_model.h"

namespace eiderreel::standin {

std::shared_ptr<TraceSink> trace_sink() {
  static auto sink = [] {
    auto created = std::make_shared<TraceSink>();
    spdlog::set_default_logger(std::make_shared<spdlog::logger>("test", created));
    return created;
  }();
  return sink;
}

SimulatedCluster::SimulatedCluster(Options options)
    : options_(options),
      checker_(options.teams, options.cancel_s),
      version_checker_(
          [this](const std::string& what) { checker_.on_version_violation(now(), what); }),
      random_(options.seed),
      state_store_(
          {[this] { return now_; },
           [this](Ms when, std::function<void()> callback) { schedule(when, std::move(callback)); },
           [this] { return chance(); }},
          {options.state_write_rps, options.enforce_limits, options.retained_changes,
           options.value_kb, options.txn_ops}) {
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
        std::min(options_.state_write_rps, options_.announced_write_rps.value_or(1e9));
    settings.state_value_kb =
        std::min(options_.value_kb, options_.announced_value_kb.value_or(1e9));
    settings.state_txn_ops =
        std::min(options_.txn_ops, options_.announced_txn_ops.value_or(1 << 20));
    process.old_build = options_.old_build_nodes.count(i) > 0;
    if (options_.upgrades && !process.old_build) settings.upgrade = *options_.upgrades;
    controllers_.push_back(std::move(process));
  }
  if (options_.upgrades) observe_versions();
  for (int i = 0; i < options_.initial_machines; ++i) add_worker(i % 2 ? "b" : "a", false, 0);
  for (std::size_t i = 0; i < controllers_.size() && !options_.process_request; ++i)
    schedule(static_cast<Ms>(10 + 10 * i), [this, i] { start_node(i); });
  schedule(kWorkerTickMs, [this] { tick_workers(); });
  schedule(1000, [this] { check_schedulable_jobs(); });
}

SimulatedCluster::~SimulatedCluster() {
  for (auto& process : controllers_)
    if (process.runtime) process.runtime->stop();
  trace_sink()->cluster = nullptr;
}

void SimulatedCluster::append_trace(const std::string& line) {
  char timestamp[32];
  std::snprintf(timestamp, sizeof timestamp, "%8.3f ", now());
  trace_.push_back(timestamp + line);
}

void SimulatedCluster::schedule(Ms when, std::function<void()> callback) {
  events_[{std::max(when, now_), ++event_sequence_}] = std::move(callback);
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

std::size_t SimulatedCluster::count_trace_lines(const std::string& text) const {
  return static_cast<std::size_t>(
      std::count_if(trace_.begin(), trace_.end(),
                    [&](const std::string& line) { return line.find(text) != std::string::npos; }));
}

double SimulatedCluster::chance() { return static_cast<double>(random_() % 100000) / 100000; }

}  // namespace eiderreel::standin
