// The use of resources by the teams of a partition, and its limits: fair shares and quotas.
#pragma once
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "model/job.h"
#include "model/team.h"
#include "scheduler/resources.h"

namespace eiderreel {

/// CPUs and GPUs of all tasks that may be running, by team. Teams are identified by their index.
class TeamUsage {
 public:
  explicit TeamUsage(std::vector<Team> teams);

  /// The number of teams.
  std::size_t size() const { return teams_.size(); }
  /// The index of the team with this name; none if it does not belong to this partition.
  std::optional<std::size_t> find(const std::string& name) const;
  /// Adds the resources of a task of the team.
  void add_usage(std::size_t team, const Resources& size);
  /// Subtracts the resources of a task of the team that is gone.
  void subtract_usage(std::size_t team, const Resources& size);

  /// CPUs used by tasks of the team.
  double used_cpus(std::size_t team) const { return used_[team].cpus; }
  /// CPUs that the team may still take before it reaches its quota.
  double remaining_quota_cpus(std::size_t team) const;
  /// Whether one more task of the job is within the team's quota, if tasks on unreconciled machines
  /// may use another `unreconciled_cpus` of it.
  bool within_quota(std::size_t team, const JobSpec& spec, double unreconciled_cpus) const;
  /// Whether the team may take `cpus` more CPUs without borrowing.
  bool within_fair_share(std::size_t team, double cpus) const;
  /// Whether the team still has its fair share after it has lost `preempted_cpus` and then `cpus`.
  bool keeps_fair_share(std::size_t team, double preempted_cpus, double cpus) const;

 private:
  std::vector<Team> teams_;
  std::vector<Resources> used_;
};

}  // namespace eiderreel
