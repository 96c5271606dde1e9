// Lookups of a job in the replicated view: its partition, and the preconditions of its commits.
#pragma once
#include <optional>
#include <string>
#include <vector>

#include "config/settings.h"
#include "leadership/led_partition.h"
#include "state_store/replicated_view.h"

namespace eiderreel {

/// Returns the partition of an open job, or std::nullopt if the job is not open.
std::optional<int> partition_of_job(const ClusterView& view, const Settings& settings,
                                    const std::string& job);

/// The preconditions of a commit about a job: the revisions of the leader's claim (the fencing
/// token) and of the job's record, 0 if the job is not open.
std::vector<codec::Precondition> job_preconditions(const ClusterView& view,
                                                   const LeadershipTerm& term,
                                                   const std::string& job);

}  // namespace eiderreel
