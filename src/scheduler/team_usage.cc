// Checks of fair shares and quotas.
#include "scheduler/team_usage.h"

#include <algorithm>
#include <cstddef>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "model/job.h"
#include "model/team.h"
#include "scheduler/resources.h"

namespace eiderreel {

TeamUsage::TeamUsage(std::vector<Team> teams) : teams_(std::move(teams)), used_(teams_.size()) {}

std::optional<std::size_t> TeamUsage::find(const std::string& name) const {
  for (std::size_t i = 0; i < teams_.size(); ++i)
    if (teams_[i].name == name) return i;
  return std::nullopt;
}

void TeamUsage::add_usage(std::size_t team, const Resources& size) { used_[team] += size; }

void TeamUsage::subtract_usage(std::size_t team, const Resources& size) { used_[team] -= size; }

double TeamUsage::remaining_quota_cpus(std::size_t team) const {
  return std::max(0.0, teams_[team].quota_cpus - used_[team].cpus);
}

bool TeamUsage::within_quota(std::size_t team, const JobSpec& spec,
                             double unreconciled_cpus) const {
  const Team& limits = teams_[team];
  const Resources& used = used_[team];
  if (used.cpus + spec.cpus + unreconciled_cpus > limits.quota_cpus + kRoundingTolerance)
    return false;
  return spec.gpus <= 0 || used.gpus + spec.gpus <= limits.quota_gpus + kRoundingTolerance;
}

bool TeamUsage::within_fair_share(std::size_t team, double cpus) const {
  return used_[team].cpus + cpus <= teams_[team].fair_share_cpus + kRoundingTolerance;
}

bool TeamUsage::keeps_fair_share(std::size_t team, double preempted_cpus, double cpus) const {
  return used_[team].cpus - preempted_cpus - cpus >=
         teams_[team].fair_share_cpus - kRoundingTolerance;
}

}  // namespace eiderreel
