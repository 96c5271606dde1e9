// What the teams of a partition take, against their fair shares and quotas.
#pragma once
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "model/job.h"
#include "model/team.h"
#include "scheduler/resources.h"

namespace eiderreel {

/// CPUs and GPUs of the tasks that may run, by team. Teams are named by their index.
class TeamUsage {
 public:
  explicit TeamUsage(std::vector<Team> teams);

  /// How many teams there are.
  std::size_t size() const { return teams_.size(); }
  /// The index of the team of that name; none: it is not of this partition.
  std::optional<std::size_t> find(const std::string& name) const;
  /// A task of the team now holds so much.
  void take(std::size_t team, const Resources& size);
  /// A task of the team holds so much no longer.
  void give_back(std::size_t team, const Resources& size);

  /// CPUs that tasks of the team hold.
  double used_cpus(std::size_t team) const { return used_[team].cpus; }
  /// CPUs that the team may take until it meets its quota.
  double quota_room(std::size_t team) const;
  /// Whether one more task of the job is within the team's quota, when so many CPUs more may be in
  /// use on machines that are not reconciled.
  bool within_quota(std::size_t team, const JobSpec& spec, double unreconciled_cpus) const;
  /// Whether the team may take so many CPUs more without borrowing.
  bool within_fair_share(std::size_t team, double cpus) const;
  /// Whether a team that gives up so many CPUs, after others, still has its fair share.
  bool keeps_fair_share(std::size_t team, double given, double cpus) const;

 private:
  std::vector<Team> teams_;
  std::vector<Resources> used_;
};

}  // namespace eiderreel
