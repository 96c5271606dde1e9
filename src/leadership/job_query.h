// The answer of a job's leader to a question about it, or why there is none.
#pragma once
#include <functional>
#include <tl/expected.hpp>

#include "runtime/runtime.h"

namespace eiderreel {

/// Why the leader of a job's partition says nothing of it; the state store itself must tell then.
enum class JobQueryError {
  not_leader,        ///< the controller asked is not the acting leader
  unknown_job,       ///< the leader's scheduler does not know the job
  outcome_in_doubt,  ///< the job may have ended: the leader's news may be older than a user's
  unreachable,       ///< no leader is known, or it does not answer in time
  unspecified,       ///< a peer has declined; the message between peers does not tell why
};

/// What the user is to be told, or why that is not known.
using JobQueryResult = tl::expected<HttpReply, JobQueryError>;
using JobQueryDone = std::function<void(JobQueryResult)>;

}  // namespace eiderreel
