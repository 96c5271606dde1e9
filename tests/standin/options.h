// Configuration of a simulated cluster.
#pragma once
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "config/settings.h"
#include "config/upgrade_settings.h"
#include "runtime/runtime.h"

namespace eiderreel::standin {

// What happens to messages across a network partition: they are held until the partition heals, or
// the connection is reset immediately.
enum class NetworkPartitionMode { hold, reset };

// The deployment of the controllers, and the behavior of the services around them.
struct Options {
  std::uint64_t seed = 1;
  int nodes = 3;
  double heartbeat_interval_s = 1, lease_s = 10, cancel_s = 40;
  double state_rps = 200, state_write_rps = 100;
  std::vector<Team> teams = {{"red", 16, 48, 0, 0}, {"blue", 16, 48, 0, 0}, {"gold", 16, 48, 0, 0}};
  int initial_machines = 6;  // machines of 8 CPUs that run from the start
  // Further machines that can be rented, for each zone and each of spot and on-demand.
  int rentable_machines = 4;
  double boot_s = 6;
  double max_latency_ms = 4;    // upper bound of the latency of a message
  bool enforce_limits = false;  // whether the state store rejects writes above its rate
  double value_kb = 8;          // largest value that the state store accepts
  int txn_ops = 16;
  // Lower state store limits in the settings of the controllers, announced before the store
  // enforces them.
  std::optional<double> announced_value_kb, announced_write_rps;
  std::optional<int> announced_txn_ops;
  // Controllers that start with the last build without prerequisites.
  std::set<int> old_build_nodes;
  // Length of the change history that the state store keeps for watches.
  std::size_t retained_changes = 10000;
  // Contents of the operators' upgrade file, the same for all controllers. Without it, the
  // controllers take no part in cluster versions.
  std::optional<upgrade::UpgradeSettings> upgrades;
  // Sends a request to a controller that runs as a process of its own. If it is set, no controller
  // is started in the simulated cluster.
  std::function<void(int node, HttpRequest request, std::function<void(HttpReply)> done)>
      process_request;
  // Returns the address at which these processes reach the worker of a machine.
  std::function<std::string(const std::string& machine)> worker_address;
};

}  // namespace eiderreel::standin
