// What a simulated cluster is made of.
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

// What becomes of messages across a network partition: held until it heals, or the connection is
// reset at once.
enum class CutMode { hold, reset };

// A deployment, and how its surroundings behave.
struct Options {
  std::uint64_t seed = 1;
  int nodes = 3;
  double heartbeat_interval_s = 1, lease_s = 10, cancel_s = 40;
  double state_rps = 200, state_write_rps = 100;
  std::vector<Team> teams = {{"red", 16, 48, 0, 0}, {"blue", 16, 48, 0, 0}, {"gold", 16, 48, 0, 0}};
  int machines = 6;  // of 8 CPUs, up from the start
  int capacity = 4;  // further ones for rent, of each kind in each zone
  double boot_s = 6;
  double latency_ms = 4;  // of a message, at most
  bool limits = false;    // whether the state store refuses above its rates
  double value_kb = 8;    // of the state store
  int txn_ops = 16;
  // Limits of the state store that the controllers are told of, beside the ones in force.
  std::optional<double> next_value_kb, next_write_rps;
  std::optional<int> next_txn_ops;
  std::set<int> old_nodes;           // controllers that start as the build before prerequisites
  std::size_t changes_kept = 10000;  // by the state store, for followers
  // What the operators' upgrade file says, the same for all controllers; without one, they take no
  // partition in cluster versions.
  std::optional<upgrade::UpgradeSettings> upgrades;
  // Controllers that are processes of their own, reached by this; none is started in the simulated
  // cluster.
  std::function<void(int node, HttpRequest request, std::function<void(HttpReply)> done)> processes;
  // The address at which a machine can be reached by such processes.
  std::function<std::string(const std::string& machine)> worker_address;
};

}  // namespace eiderreel::standin
