// Keeps the replica up to date: lists the watched keys, then watches their changes.
#pragma once
#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "codec/state_json.h"
#include "config/settings.h"
#include "constants.h"
#include "runtime/runtime.h"
#include "state_store/rate_limiter.h"
#include "state_store/replicated_view.h"
#include "state_store/request_queue.h"
#include "state_store/revision_waiters.h"
#include "state_store/store_reader.h"

namespace eiderreel {

/// Lists all watched keys into the replica and then applies their changes. If changes were missed,
/// it lists the keys again.
class StoreWatcher {
 public:
  /// References to the collaborators, which must outlive this object.
  struct Dependencies {
    Runtime& runtime;
    const Settings& settings;
    const RateLimiter& rate_limiter;
    RequestQueue& requests;
    StoreReader& reader;
    ReplicatedView& replica;
    RevisionWaiters& waiters;
  };
  explicit StoreWatcher(const Dependencies& dependencies);

  /// Starts to list the keys; the watch follows.
  void start();

 private:
  void load_page(std::size_t prefix_index, const std::string& after);
  void on_page(std::size_t prefix_index, const codec::StateList& page);
  void watch(Ms wait);
  void on_watch_reply(const HttpReply& reply);
  void apply_changes(const codec::StateList& changes);
  Ms watch_interval() const;

  Dependencies dependencies_;
  std::vector<std::string> prefixes_;  // listed in this order
  std::uint64_t revision_ = 0;         // changes up to this revision are applied
  std::set<std::string> listed_keys_;  // keys found by the current listing
};

}  // namespace eiderreel
