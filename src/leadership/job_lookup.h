// What the view tells of a job: its partition, and the guards of a commit about it.
#pragma once
#include <optional>
#include <string>
#include <vector>

#include "config/settings.h"
#include "leadership/led_partition.h"
#include "state_store/replicated_view.h"

namespace eiderreel {

/// The partition of an open job; nothing: the job is not open.
std::optional<int> partition_of_job(const ClusterView& view, const Settings& settings,
                                    const std::string& job);

/// The guards of a commit about a job: the leader's claim and the job's record.
std::vector<codec::Precondition> job_preconditions(const ClusterView& view,
                                                   const LeadershipTerm& term,
                                                   const std::string& job);

}  // namespace eiderreel
