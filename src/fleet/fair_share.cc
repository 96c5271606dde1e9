// Implements the fair share of a partition.
#include "fleet/fair_share.h"

#include <algorithm>

namespace eiderreel {

double fair_share_cpus_of(const Settings& settings, int partition) {
  double cpus = 0;
  for (const auto& team : settings.teams_of(partition)) cpus += team.fair_share_cpus;
  return std::max(cpus, 1.0);
}

}  // namespace eiderreel
