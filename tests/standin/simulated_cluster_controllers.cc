// Controllers: how they start, crash, pause and are replaced by other builds, and the faults of the
// state store that they meet.
#include <rapidjson/document.h>

#include "standin/controller_runtime.h"
#include "standin/simulated_cluster.h"

namespace eiderreel::standin {

using rapidjson::Document;

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
  trace_sink()->node = process.name;
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

}  // namespace eiderreel::standin
