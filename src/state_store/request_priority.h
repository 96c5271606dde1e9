// Priorities of requests to the state store.
#pragma once

namespace eiderreel {

/// The order in which requests are sent when the request budget of the state store is exhausted,
/// most urgent first. Progress is written as often as the other requests allow.
enum class RequestPriority {
  urgent,    // leases, partition claims and the watch: never delayed by the rate limiter
  user,      // requests for which a user waits, and records that users poll
  fleet,     // changes of machine records
  progress,  // records of finished tasks, and garbage collection
};

}  // namespace eiderreel
