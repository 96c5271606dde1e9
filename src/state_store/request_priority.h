// The order in which requests to the state store go when its budget is short.
#pragma once

namespace eiderreel {

/// What goes first when the budget of the state store is short. Users and what they are told come
/// before machines, and machines before progress, which is written as often as the rest allows.
enum class RequestPriority {
  urgent,    // leases, partitions and the watch: never held back by the rate limiter
  user,      // requests that a user waits for
  fleet,     // changes of machines
  progress,  // finished tasks, and cleaning up
};

}  // namespace eiderreel
