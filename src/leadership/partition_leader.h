// The facade of the leadership modules: claims partitions, enforces the leases, and answers
// heartbeats and job queries. Only the leader answers for a partition, and only while it is certain
// to be the leader.
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

/// Owns the leadership modules and forwards events to them. All times are steady, in milliseconds.
class PartitionLeader {
 public:
  using Counters = LeadershipCounters;
  struct Hooks {
    /// Assigns an unknown machine that has sent a heartbeat. Called on the cluster leader only.
    HeartbeatRouter::AssignMachine assign_machine;
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
  /// Handles the status message of a peer.
  void peer_status(const std::string& node, const peer_rpc::PeerStatus& status);
  /// Handles the report of the cloud that these machines are terminated.
  void machines_terminated(const std::vector<std::string>& machines);
  /// Returns the vote on a peer's request not to claim its partitions for a limited time.
  peer_rpc::Vote vote_on(const std::string& node, const peer_rpc::VoteRequest& request);
  /// Handles the answer of a peer to a vote request.
  void receive_vote(const std::string& node, const peer_rpc::Vote& vote);
  /// Sets the machine types that the cloud offers.
  void types_known(const std::vector<MachineType>& types);

  // --- changes of the replicated view, see ReplicatedView::Events ---
  void job_opened(const std::string& job);
  /// The last prerequisite of a job is durably done.
  void job_ready(const std::string& job);
  /// The record of a job was deleted: the job is final.
  void job_closed(const std::string& job);
  /// The urgency that a job inherits from its dependents has changed.
  void urgency_changed(const std::string& job);
  /// The record of a machine has changed or was deleted.
  void machine_changed(const std::string& machine);
  /// The claim of a partition has changed or was deleted.
  void partition_changed(int partition);
  /// This node's lease in the state store has ended.
  void lease_lost();

  // --- state for other modules ---
  /// Invariant 6: whether this controller is certain to be the leader of the partition now.
  bool is_acting_leader(int partition) const;
  /// The leader of partition 0 leads the cluster.
  bool is_cluster_leader() const { return is_acting_leader(0); }
  /// Whether the peer's last status is newer than constants::kPeerStatusTtlMs.
  bool peer_alive(const std::string& node) const;
  /// Whether a peer is known to run a build without support for prerequisites. A peer without a
  /// record or a recent status does not count, since it may be down for a long time.
  bool has_peer_without_prerequisites() const;
  /// The latest load of each partition, as led by this controller or reported by peers.
  std::map<int, PartitionLoad> partition_loads() const;
  /// The schedulers of the partitions that this controller leads. The pointers are valid until
  /// control returns to the event loop.
  std::map<int, const PartitionScheduler*> partitions() const;
  /// The counters since the start of the process.
  const Counters& counters() const { return counters_; }
  /// The state of the conversion of stored progress in this controller's partitions, or
  /// std::nullopt if cluster versions are disabled.
  std::optional<ConversionProgress> conversion() const;
  /// The same for a peer, if it is alive and reports it.
  std::optional<ConversionProgress> peer_conversion(const std::string& node) const;
  /// Partitions whose load is reported neither by this controller nor by a live peer.
  std::vector<int> unreported_partitions() const;

 private:
  void tick_partition(LedPartition& led);
  void broadcast_status();

  Runtime& runtime_;
  const Settings& settings_;
  StateStoreClient& state_store_;
  Hooks hooks_;
  Counters counters_;
  Ms status_sent_at_ = 0;

  // Each module refers only to modules declared above it.
  LeadershipVotes votes_;
  LedPartitions led_partitions_;
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
