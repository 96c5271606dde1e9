// Callbacks that run once the replica has reached a store revision.
#pragma once
#include <cstdint>
#include <functional>
#include <map>

#include "state_store/replicated_view.h"

namespace eiderreel {

/// Runs callbacks once the replica has applied all changes up to a revision.
class RevisionWaiters {
 public:
  explicit RevisionWaiters(const ReplicatedView& replica) : replica_(replica) {}

  /// Calls `done` once the replica has applied all changes up to `store_revision`: immediately if
  /// it has already.
  void when_applied(std::uint64_t store_revision, std::function<void()> done);
  /// Calls the waiters whose revision the replica has reached, in the order of their revisions.
  void notify();

 private:
  const ReplicatedView& replica_;
  std::multimap<std::uint64_t, std::function<void()>> waiters_;  // by revision
};

}  // namespace eiderreel
