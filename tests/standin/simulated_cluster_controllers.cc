// Controllers: start, crash, pause and replacement by other builds; and faults of the state store.
#include <rapidjson/document.h>

#include "standin/controller_runtime.h"
#include "standin/simulated_cluster.h"

namespace eiderreel::standin {

using rapidjson::Document;

void SimulatedCluster::observe_versions() {
  auto lookup = [this](const std::string& key) { return state_store_.value(key); };
  state_store_.set_observer({[this, lookup](const std::string& key, const std::string& value) {
                               version_checker_.on_write(key, value, lookup);
                             },
                             [this, lookup] { version_checker_.check_versions(lookup); }});
}

void SimulatedCluster::start_node(std::size_t i) {
  ControllerProcess& process = controllers_[i];
  ++process.boot_number;
  process.runtime = std::make_unique<ControllerRuntime>(*this, i, process.boot_number);
  process.node = std::make_unique<Controller>(*process.runtime, process.settings);
  process.up = true;
  trace_sink()->node = process.name;
  append_trace(process.name + " starts");
  process.node->start();
  auto tick = process.tick = std::make_shared<std::function<void()>>();
  *tick = process.runtime->while_alive([this, i, weak = std::weak_ptr(tick)] {
    controllers_[i].node->tick();
    if (auto self = weak.lock()) schedule(now_ + constants::kTickMs, [self] { (*self)(); });
  });
  schedule(now_ + constants::kTickMs, [tick] { (*tick)(); });
}

void SimulatedCluster::run_when_unfrozen(std::size_t i, std::function<void()> callback) {
  if (now_ >= controllers_[i].frozen_until) return callback();
  schedule(controllers_[i].frozen_until, std::move(callback));
}

void SimulatedCluster::freeze(int node, double duration_s) {
  ControllerProcess& process = controllers_[static_cast<std::size_t>(node)];
  append_trace(process.name + " stands still");
  process.frozen_until = now_ + static_cast<Ms>(duration_s * 1000);
}

void SimulatedCluster::crash(int node, double restart_after_s) {
  const auto i = static_cast<std::size_t>(node);
  ControllerProcess& process = controllers_[i];
  if (!process.up) return;
  append_trace(process.name + " crashes");
  process.up = false;
  process.runtime->stop();
  process.node.reset();
  process.runtime.reset();
  schedule(now_ + static_cast<Ms>(restart_after_s * 1000), [this, i] { start_node(i); });
}

void SimulatedCluster::upgrade(int node, double restart_after_s) {
  install_build(node, upgrade::kNewestVersion, restart_after_s);
}

void SimulatedCluster::downgrade(int node, double restart_after_s) {
  ControllerProcess& process = controllers_[static_cast<std::size_t>(node)];
  crash(node, restart_after_s);
  process.old_build = true;
  process.settings.upgrade = {};
}

void SimulatedCluster::install_build(int node, upgrade::ClusterVersion newest,
                                     double restart_after_s) {
  ControllerProcess& process = controllers_[static_cast<std::size_t>(node)];
  crash(node, restart_after_s);
  process.old_build = false;
  if (!options_.upgrades) return;
  process.settings.upgrade = *options_.upgrades;
  process.settings.upgrade.range.newest = newest;
}

void SimulatedCluster::set_store_limits(double value_kb, int txn_ops, double write_rps) {
  append_trace("state service has lower limits");
  state_store_.set_limits(value_kb, txn_ops, write_rps);
}

int SimulatedCluster::leader_of(int partition) const {
  const std::string* record = state_store_.value("e/part/" + std::to_string(partition));
  if (!record) return -1;
  Document document;
  document.Parse(record->c_str());
  return std::atoi(document["owner"].GetString() + 1);
}

void SimulatedCluster::set_store_outage(bool on) {
  append_trace(on ? "state outage" : "state is back");
  state_store_.set_outage(on);
}

void SimulatedCluster::set_store_unavailable_to(int node, bool on) {
  const std::string name = "n" + std::to_string(node);
  append_trace("state " + std::string(on ? "refuses " : "serves ") + name);
  state_store_.set_unavailable_to(name, on);
}

}  // namespace eiderreel::standin
