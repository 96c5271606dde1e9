// Lookups of a job in the replicated view: its partition, and the preconditions of its commits.
#include "leadership/job_lookup.h"

namespace eiderreel {

std::optional<int> partition_of_job(const ClusterView& view, const Settings& settings,
                                    const std::string& job) {
  const auto entry = view.jobs.find(job);
  if (entry == view.jobs.end()) return std::nullopt;
  return settings.partition_of_team(entry->second.spec.team);
}

std::vector<codec::Precondition> job_preconditions(const ClusterView& view,
                                                   const LeadershipTerm& term,
                                                   const std::string& job) {
  const auto entry = view.jobs.find(job);
  const std::uint64_t revision = entry == view.jobs.end() ? 0 : entry->second.revision;
  return {{codec::partition_key(term.partition), term.fencing_token},
          {codec::job_key(job), revision}};
}

}  // namespace eiderreel
