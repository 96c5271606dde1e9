// Callbacks that run once the replica has reached a store revision.
#include "state_store/revision_waiters.h"

#include <utility>

namespace eiderreel {

void RevisionWaiters::when_applied(std::uint64_t store_revision, std::function<void()> done) {
  if (replica_.view().store_revision >= store_revision)
    done();
  else
    waiters_.emplace(store_revision, std::move(done));
}

void RevisionWaiters::notify() {
  // A callback may add waiters, so each waiter is removed before it is called.
  while (!waiters_.empty() && waiters_.begin()->first <= replica_.view().store_revision) {
    auto done = std::move(waiters_.begin()->second);
    waiters_.erase(waiters_.begin());
    done();
  }
}

}  // namespace eiderreel
