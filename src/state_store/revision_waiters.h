// Callbacks that wait until the replica has caught up with a revision.
#pragma once
#include <cstdint>
#include <functional>
#include <map>

#include "state_store/replicated_view.h"

namespace eiderreel {

/// Calls back once the replica has all changes up to a revision.
class RevisionWaiters {
 public:
  explicit RevisionWaiters(const ReplicatedView& replica) : replica_(replica) {}

  /// Calls `done` once the replica has all changes up to `store_revision`; at once if it has.
  void when_applied(std::uint64_t store_revision, std::function<void()> done);
  /// Calls those whose revision the replica has reached, in the order of the revisions.
  void notify();

 private:
  const ReplicatedView& replica_;
  std::multimap<std::uint64_t, std::function<void()>> waiters_;  // by revision
};

}  // namespace eiderreel
