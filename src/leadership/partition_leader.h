// The facade of this folder: claims partitions, keeps to their leases, answers heartbeats and
// questions for them. It alone speaks for a partition, and only while it is surely the leader.
#pragma once
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "config/settings.h"
#include "leadership/heartbeat_router.h"
#include "leadership/job_finalizer.h"
#include "leadership/job_persistence.h"
#include "leadership/job_query.h"
#include "leadership/leadership_counters.h"
#include "leadership/leadership_votes.h"
#include "leadership/led_partitions.h"
#include "leadership/machine_transfers.h"
#include "leadership/partition_activation.h"
#include "leadership/partition_claims.h"
#include "leadership/partition_handover.h"
#include "leadership/partition_jobs.h"
#include "leadership/partition_machines.h"
#include "leadership/peer_directory.h"
#include "leadership/vote_granter.h"
#include "leadership/worker_commands.h"
#include "leadership/worker_liveness.h"
#include "peer_rpc/messages.h"
#include "state_store/state_store_client.h"

namespace eiderreel {

/// Owns the modules of this folder, and passes on to them what happens. All times are steady, in
/// milliseconds.
class PartitionLeader {
 public:
  using Counters = LeadershipCounters;
  struct Hooks {
    /// An unknown machine has sent a heartbeat, and we are the cluster leader: assign it.
    HeartbeatRouter::Assign assign;
    /// Sends a message to every peer.
    std::function<void(const peer_rpc::Body&)> broadcast;
  };

  PartitionLeader(Runtime& runtime, const Settings& settings, StateStoreClient& state_store);
  /// Must be called once, before anything else.
  void start(Hooks hooks);
  /// Does the periodic work; called every constants::kTickMs.
  void tick();

  // --- requests and messages ---
  /// Replies 200 with commands, 421 with the leader's name, or 503.
  void heartbeat(const Heartbeat& heartbeat, Reply reply);
  /// See PartitionJobs::query.
  void query_job(const peer_rpc::JobQuery& query, const JobQueryDone& done);
  /// See MachineTransfers::transfer.
  void transfer_machines(const peer_rpc::TransferRequest& request);
  /// See PartitionMachines::cordon.
  void cordon(const peer_rpc::CordonRequest& request);
  /// A peer has sent its status.
  void peer_status(const std::string& node, const peer_rpc::PeerStatus& status);
  /// The cloud has said that these machines are gone.
  void machines_terminated(const std::vector<std::string>& machines);
  /// Our vote on a peer's request that we do not claim its partitions for a while.
  peer_rpc::Vote vote_on(const std::string& node, const peer_rpc::VoteRequest& request);
  /// A peer has answered a request for votes.
  void receive_vote(const std::string& node, const peer_rpc::Vote& vote);
  /// The machine types that the cloud offers.
  void types_known(const std::vector<MachineType>& types);

  // --- changes of the replicated view, see ReplicatedView::Events ---
  void job_opened(const std::string& job);
  /// The last prerequisite of a job is durably done.
  void job_ready(const std::string& job);
  /// The record of a job is gone: it is over.
  void job_closed(const std::string& job);
  /// Jobs that depend on this one ask more, or less, of it.
  void urgency_changed(const std::string& job);
  /// The record of a machine has changed, or is gone.
  void machine_changed(const std::string& machine);
  /// The claim of a partition has changed, or is gone.
  void partition_changed(int partition);
  /// This node's lease in the state store is over.
  void lease_lost();

  // --- what others may know ---
  /// Whether this controller is surely the leader of the partition now.
  bool acting(int partition) const;
  /// The leader of partition 0 leads the cluster.
  bool is_cluster_leader() const { return acting(0); }
  /// Whether the peer has sent a status lately.
  bool peer_alive(const std::string& node) const;
  /// Whether a peer is known to run a build that knows no prerequisites. A peer of which nothing
  /// is known does not count: it may be away for long.
  bool has_old_peer() const;
  /// The newest load of every partition, ours and the peers'.
  std::map<int, PartitionLoad> partition_loads() const;
  /// The schedulers of the partitions led here. The pointers hold until control returns to the
  /// event loop.
  std::map<int, const PartitionScheduler*> partitions() const;
  /// All that was counted since the start.
  const Counters& counters() const { return counters_; }
  /// How far the conversion of stored progress has come in our partitions; nothing where cluster
  /// versions are disabled.
  std::optional<ConversionProgress> conversion() const;
  /// The same of a peer, if it is alive and tells it.
  std::optional<ConversionProgress> peer_conversion(const std::string& node) const;
  /// Partitions of which no leader is heard, here or among the peers.
  std::vector<int> unheard_partitions() const;

 private:
  void tick_partition(LedPartition& led);
  void broadcast_status();

  Runtime& runtime_;
  const Settings& settings_;
  StateStoreClient& state_store_;
  Hooks hooks_;
  Counters counters_;
  Ms status_sent_at_ = 0;

  // Each module refers to those above it only.
  LeadershipVotes votes_;
  LedPartitions led_;
  PeerDirectory peers_;
  WorkerLiveness workers_;
  WorkerCommands commands_;
  JobFinalizer finalizer_;
  JobPersistenceSchedule persistence_;
  PartitionJobs jobs_;
  PartitionMachines machines_;
  MachineTransfers transfers_;
  PartitionActivation activation_;
  PartitionHandover handover_;
  PartitionClaims claims_;
  VoteGranter vote_granter_;
  HeartbeatRouter router_;
};

}  // namespace eiderreel
