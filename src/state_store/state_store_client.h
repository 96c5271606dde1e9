// The state store client: all dealings with the state store. The other folders include this header
// alone; the parts behind it have one job each.
#pragma once
#include <cstddef>
#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <vector>

#include "codec/state_json.h"
#include "config/settings.h"
#include "constants.h"
#include "runtime/runtime.h"
#include "state_store/cluster_view.h"
#include "state_store/compare_and_swap.h"
#include "state_store/compare_and_swapper.h"
#include "state_store/controller_lease.h"
#include "state_store/node_record_writer.h"
#include "state_store/nonce_source.h"
#include "state_store/prerequisite_resolver.h"
#include "state_store/rate_limiter.h"
#include "state_store/replicated_view.h"
#include "state_store/request_queue.h"
#include "state_store/revision_waiters.h"
#include "state_store/standby_monitor.h"
#include "state_store/store_error.h"
#include "state_store/store_reader.h"
#include "state_store/store_watcher.h"
#include "versioning/acting_version.h"

namespace eiderreel {

/// The facade of this folder. It owns this node's lease, the replica of every followed key, and the
/// requests that wait for the rate limiter.
class StateStoreClient {
 public:
  using Counters = RequestQueue::Counters;

  StateStoreClient(Runtime& runtime, const Settings& settings);
  // The parts refer to each other, so they stay where they are.
  StateStoreClient(const StateStoreClient&) = delete;
  StateStoreClient(StateStoreClient&&) = delete;
  StateStoreClient& operator=(const StateStoreClient&) = delete;
  StateStoreClient& operator=(StateStoreClient&&) = delete;
  ~StateStoreClient() = default;

  /// Begins to follow the state store. `lease_lost` is called each time this node's lease has
  /// ended.
  void start(ReplicatedView::Events events, std::function<void()> lease_lost);
  /// All periodic work, every constants::kTickMs.
  void tick();

  /// What this node knows of the followed keys.
  const ClusterView& view() const { return replica_.view(); }
  /// The replica of the watched keys.
  ReplicatedView& replica() { return replica_; }
  const ReplicatedView& replica() const { return replica_; }
  /// The lease of this node; 0: there is none.
  std::uint64_t lease_id() const { return lease_.id(); }
  /// Invariant 6: whether the lease is surely alive.
  bool lease_alive() const { return lease_.alive(); }
  /// When the state store last executed a request of this node.
  Ms last_good() const { return requests_.last_good(); }
  /// The cluster version that this controller acts under.
  const upgrade::ActingVersion& acting_version() const { return acting_version_; }
  /// How progress is stored under that version.
  upgrade::ProgressPolicy progress_policy() const {
    return upgrade::progress_policy(acting_version_.version());
  }
  /// Why this controller must not act at all; empty: it may.
  std::string standby_reason() const { return acting_version_.standby_reason(view().cluster); }
  /// Marks a value as written by this process.
  std::string nonce() { return nonces_.next(); }

  /// Carries out a transaction, see CompareAndSwap.
  void compare_and_swap(CompareAndSwap transaction);
  /// Linearizable read of one key. A row of revision 0: the key does not exist.
  void read(const std::string& key, StoreCallback<codec::StateRow> done);
  /// Every key under `prefix`, in the order of the keys.
  void list(const std::string& prefix, StoreCallback<std::vector<codec::StateRow>> done);
  /// Reads the final records of these jobs into the view, as far as there are any. With an error
  /// some of them could not be read.
  void read_ends(std::vector<std::string> ids, StoreCallback<void> done);
  /// Which of these jobs were ever accepted.
  void find_accepted(std::vector<std::string> ids, StoreCallback<std::set<std::string>> done);
  /// Calls back once the view has all changes that were made before this call.
  void catch_up(const StoreCallback<void>& done) { reader_.catch_up(done); }
  /// Calls back once the view has all changes up to `store_revision`.
  void when_applied(std::uint64_t store_revision, std::function<void()> done);

  /// What this node takes of the rate limits, for its peers.
  StoreUsage use() const { return rate_limiter_.use(); }
  /// What a peer has said that it takes.
  void peer_use(const std::string& node, const StoreUsage& use);
  /// Requests by status, and those that were refused here.
  const Counters& counters() const { return requests_.counters(); }
  /// How many requests wait for the rate limiter.
  std::size_t pending() const { return requests_.size(); }

 private:
  Runtime& runtime_;
  // Each part refers to some of those above it.
  ReplicatedView replica_;
  upgrade::ActingVersion acting_version_;
  NonceSource nonces_;
  RateLimiter rate_limiter_;
  RequestQueue requests_;
  RevisionWaiters waiters_;
  ControllerLease lease_;
  StoreReader reader_;
  StoreWatcher watcher_;
  PrerequisiteResolver prerequisite_resolver_;
  StandbyMonitor standby_;
  CompareAndSwapper swapper_;
  NodeRecordWriter node_record_writer_;
};

}  // namespace eiderreel
