// Routes heartbeats: to a partition that this controller leads, or by redirect to the leader of the
// machine's partition.
#pragma once
#include <functional>
#include <map>
#include <string>

#include "config/settings.h"
#include "leadership/leadership_counters.h"
#include "leadership/led_partitions.h"
#include "leadership/partition_claims.h"
#include "leadership/peer_directory.h"
#include "leadership/worker_commands.h"
#include "state_store/state_store_client.h"

namespace eiderreel {

/// Receives the heartbeats of workers. During a failover it holds the heartbeats that no controller
/// can answer yet.
class HeartbeatRouter {
 public:
  /// Assigns a machine without a record in the state store to a partition. Called on the cluster
  /// leader only.
  using AssignMachine = std::function<void(const Heartbeat&, Reply)>;

  HeartbeatRouter(Runtime& runtime, const Settings& settings, const StateStoreClient& state_store,
                  LedPartitions& led, const PeerDirectory& peers, const PartitionClaims& claims,
                  WorkerCommands& commands, LeadershipCounters& counters)
      : runtime_(runtime),
        settings_(settings),
        state_store_(state_store),
        led_partitions_(led),
        peers_(peers),
        claims_(claims),
        commands_(commands),
        counters_(counters) {}
  /// Sets the callback for unknown machines. Must be called once, before the first heartbeat.
  void start(AssignMachine assign_machine) { assign_machine_ = std::move(assign_machine); }

  /// Processes a heartbeat. `reply` is called exactly once, immediately or later.
  void receive(const Heartbeat& heartbeat, Reply reply);
  /// Dispatches the held heartbeats whose partition's leader is no longer silent, and redirects
  /// those whose hold time is over.
  void release_held();

 private:
  struct HeldHeartbeat {
    Heartbeat heartbeat;
    int partition = 0;
    Reply reply;
    Ms hold_until = 0;
  };

  void dispatch(const Heartbeat& heartbeat, Reply reply);
  void process(LedPartition& led, const Heartbeat& heartbeat, Reply reply);
  void redirect(const Heartbeat& heartbeat, int partition, Reply reply);
  void redirect_to_leader(int partition, const Reply& reply) const;
  bool leader_silent(int partition) const;

  Runtime& runtime_;
  const Settings& settings_;
  const StateStoreClient& state_store_;
  LedPartitions& led_partitions_;
  const PeerDirectory& peers_;
  const PartitionClaims& claims_;
  WorkerCommands& commands_;
  LeadershipCounters& counters_;
  AssignMachine assign_machine_;
  std::map<std::string, HeldHeartbeat> held_;  // by machine
};

}  // namespace eiderreel
