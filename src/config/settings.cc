// Values derived from the settings: node names, partitions of teams, transaction sizes.
#include "config/settings.h"

#include <algorithm>

namespace eiderreel {

std::vector<std::string> Settings::node_names() const {
  std::vector<std::string> names{node};
  for (const Peer& peer : peers) names.push_back(peer.name);
  std::sort(names.begin(), names.end());
  return names;
}

int Settings::max_transaction_writes() const {
  const double max_changes = state_write_rps * constants::kTransactionChangeShare;
  return std::clamp(static_cast<int>(max_changes), 1, state_txn_ops);
}

int Settings::partition_of_team(const std::string& team) const {
  const auto found = std::find_if(teams.begin(), teams.end(),
                                  [&](const Team& candidate) { return candidate.name == team; });
  if (found == teams.end()) return -1;
  return static_cast<int>((found - teams.begin()) % partition_count);
}

std::vector<Team> Settings::teams_of(int partition) const {
  std::vector<Team> members;
  for (const Team& team : teams)
    if (partition_of_team(team.name) == partition) members.push_back(team);
  return members;
}

std::string Settings::preferred_leader_of(int partition) const {
  const std::vector<std::string> names = node_names();
  return names[static_cast<std::size_t>(partition) % names.size()];
}

}  // namespace eiderreel
