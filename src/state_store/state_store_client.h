// The state store client. Code outside this directory includes only this header.
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

/// Facade for all access to the state store. It owns this node's lease, the replica of the watched
/// keys, and the queue of requests that wait for the rate limiter.
class StateStoreClient {
 public:
  using Counters = RequestQueue::Counters;

  StateStoreClient(Runtime& runtime, const Settings& settings);
  // Not movable: the members hold references to each other.
  StateStoreClient(const StateStoreClient&) = delete;
  StateStoreClient(StateStoreClient&&) = delete;
  StateStoreClient& operator=(const StateStoreClient&) = delete;
  StateStoreClient& operator=(StateStoreClient&&) = delete;
  ~StateStoreClient() = default;

  /// Starts to watch the state store. `lease_lost` is called each time the state store reports that
  /// this node's lease has ended.
  void start(ReplicatedView::Events events, std::function<void()> lease_lost);
  /// Does the periodic work; to be called every constants::kTickMs.
  void tick();

  /// This node's view of the watched keys.
  const ClusterView& view() const { return replica_.view(); }
  /// The replica of the watched keys.
  ReplicatedView& replica() { return replica_; }
  const ReplicatedView& replica() const { return replica_; }
  /// The lease ID of this node; 0 if it has no lease.
  std::uint64_t lease_id() const { return lease_.id(); }
  /// Invariant 6: whether the lease is valid, less clock drift and a safety margin.
  bool lease_alive() const { return lease_.alive(); }
  /// When the last reply arrived that shows that the state store executes this node's requests.
  Ms last_executed_at() const { return requests_.last_executed_at(); }
  /// The cluster version under which this controller acts.
  const upgrade::ActingVersion& acting_version() const { return acting_version_; }
  /// The policy for storing progress under the acting version.
  upgrade::ProgressPolicy progress_policy() const {
    return upgrade::progress_policy(acting_version_.version());
  }
  /// The reason why this controller must not act; empty if it may.
  std::string standby_reason() const { return acting_version_.standby_reason(view().cluster); }
  /// Returns a new nonce, which marks the values written by one transaction.
  std::string nonce() { return nonces_.next(); }

  /// Executes a transaction; see CompareAndSwap.
  void compare_and_swap(CompareAndSwap transaction);
  /// Linearizable read of one key. A row with revision 0 means that the key does not exist.
  void read(const std::string& key, StoreCallback<codec::StateRow> done);
  /// Lists all keys under `prefix`, in key order.
  void list(const std::string& prefix, StoreCallback<std::vector<codec::StateRow>> done);
  /// Reads the final records of these jobs into the view; jobs without one are skipped. On an error
  /// some records may not have been read.
  void read_final_records(std::vector<std::string> ids, StoreCallback<void> done);
  /// Finds which of these jobs were ever accepted, that is, have an open or a final record.
  void find_accepted(std::vector<std::string> ids, StoreCallback<std::set<std::string>> done);
  /// Calls back once the view contains all changes that were committed before this call.
  void catch_up(const StoreCallback<void>& done) { reader_.catch_up(done); }
  /// Calls back once the view contains all changes up to `store_revision`.
  void when_applied(std::uint64_t store_revision, std::function<void()> done);

  /// The request and change rates that this node uses, to be reported to its peers.
  StoreUsage usage() const { return rate_limiter_.usage(); }
  /// Stores the rates that a peer reported.
  void set_peer_usage(const std::string& node, const StoreUsage& usage);
  /// Replies by status, and requests that the queue of this node refused.
  const Counters& counters() const { return requests_.counters(); }
  /// The number of requests that wait for the rate limiter.
  std::size_t pending_requests() const { return requests_.size(); }

 private:
  Runtime& runtime_;
  // Each member may hold references to members declared before it.
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
