// The answer of a partition's leader to a query about a job, or the reason why it gives none.
#pragma once
#include <functional>
#include <tl/expected.hpp>

#include "runtime/runtime.h"

namespace eiderreel {

/// Why the leader of a job's partition gives no answer. The caller must then read the state store.
enum class JobQueryError {
  not_leader,        ///< the queried controller is not the acting leader
  unknown_job,       ///< the job is not open, or not in the leader's scheduler
  outcome_in_doubt,  ///< the job may have ended: users may already have seen a newer state
  unreachable,       ///< no leader is known, or it does not answer in time
  unspecified,       ///< a peer declined to answer; the peer message does not carry the reason
};

/// The HTTP reply for the user, or the reason why there is none.
using JobQueryResult = tl::expected<HttpReply, JobQueryError>;
using JobQueryDone = std::function<void(JobQueryResult)>;

}  // namespace eiderreel
