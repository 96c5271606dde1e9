// The platform's settings file and the operators' own, as values.
#pragma once
#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "config/upgrade_settings.h"
#include "model/team.h"

namespace eiderreel {

struct Peer {
  std::string name, zone, peer_addr;
};

struct Settings {
  std::string node, zone, api_addr, peer_addr;
  std::vector<Peer> peers;
  std::string cloud_addr, state_addr;
  int partition_count = 1;
  std::vector<std::string> zones;
  double skew_ms = 0;
  std::vector<Team> teams;
  std::map<std::string, std::vector<CompletionObjective>>
      completion_objectives;  // by class of jobs
  double fair_share_start_s =
      constants::kFairShareStartS;  // work within a fair share starts by then
  std::map<std::string, double>
      start_objectives_s;  // by class: its tasks should start within so long
  double heartbeat_interval_s = 1, lease_s = 10, cancel_s = 40;
  // The lower of the limits as they are and as they will be (`state.next`).
  double state_rps = 50, state_write_rps = 20, state_value_kb = 8;
  int state_txn_ops = 16;
  double cloud_rps = 4, list_lag_s = 5;
  double core_share = 1, memory_mb = 64;
  int max_sockets = 1000;
  upgrade::UpgradeSettings upgrade;  // the operators' own; see load_upgrade_settings

  std::vector<std::string> node_names() const {  // sorted; the same on every node
    std::vector<std::string> n{node};
    for (const auto& p : peers) n.push_back(p.name);
    std::sort(n.begin(), n.end());
    return n;
  }
  // Machines in one transaction. One that has more changes than the state store takes in
  // a second is always refused, and sent again, for ever.
  int batch() const {
    const double most = state_write_rps * constants::kBatchShare;
    return std::clamp(static_cast<int>(most), 1, state_txn_ops);
  }
  // The partition that a team is in: teams are dealt out in the order of the settings.
  int partition_of_team(const std::string& team) const {
    for (std::size_t i = 0; i < teams.size(); ++i)
      if (teams[i].name == team)
        return static_cast<int>(i % static_cast<std::size_t>(partition_count));
    return -1;
  }
  std::vector<Team> teams_of(int partition) const {
    std::vector<Team> out;
    for (const auto& t : teams)
      if (partition_of_team(t.name) == partition) out.push_back(t);
    return out;
  }
  std::string preferred_leader_of(int partition) const {
    auto n = node_names();
    return n[static_cast<std::size_t>(partition) % n.size()];
  }
};

// Reads a settings file; every problem becomes one line "FILE: FIELD: what is wrong".
struct SettingsResult {
  Settings settings;
  std::vector<std::string> problems;
};
SettingsResult load_settings(const std::string& file);

}  // namespace eiderreel
