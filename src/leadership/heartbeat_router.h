// Where a heartbeat goes: to a partition led here, or to the node that leads its partition.
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

/// Takes in heartbeats of workers. During a failover it holds those that no controller can answer.
class HeartbeatRouter {
 public:
  /// Assigns a machine that the state store does not know; called on the cluster leader only.
  using Assign = std::function<void(const Heartbeat&, Reply)>;

  HeartbeatRouter(Runtime& runtime, const Settings& settings, const StateStoreClient& state_store,
                  LedPartitions& led, const PeerDirectory& peers, const PartitionClaims& claims,
                  WorkerCommands& commands, LeadershipCounters& counters)
      : runtime_(runtime),
        settings_(settings),
        state_store_(state_store),
        led_(led),
        peers_(peers),
        claims_(claims),
        commands_(commands),
        counters_(counters) {}
  /// Sets who assigns unknown machines; to be called once.
  void start(Assign assign) { assign_ = std::move(assign); }

  /// Takes a heartbeat in; `reply` is called once, at once or later.
  void receive(const Heartbeat& heartbeat, Reply reply);
  /// Sends on the held heartbeats for which it is now known where they belong.
  void release_held();

 private:
  struct HeldHeartbeat {
    Heartbeat heartbeat;
    int partition = 0;
    Reply reply;
    Ms until = 0;
  };

  void dispatch(const Heartbeat& heartbeat, Reply reply);
  void take_in(LedPartition& led, const Heartbeat& heartbeat, Reply reply);
  void redirect(const Heartbeat& heartbeat, int partition, Reply reply);
  void redirect_to_leader(int partition, const Reply& reply) const;
  bool leader_silent(int partition) const;

  Runtime& runtime_;
  const Settings& settings_;
  const StateStoreClient& state_store_;
  LedPartitions& led_;
  const PeerDirectory& peers_;
  const PartitionClaims& claims_;
  WorkerCommands& commands_;
  LeadershipCounters& counters_;
  Assign assign_;
  std::map<std::string, HeldHeartbeat> held_;  // by machine
};

}  // namespace eiderreel
