// One controller process: its components and the connections between them.
#pragma once
#include <string>

#include "api/job_api.h"
#include "controller/http_router.h"
#include "controller/peer_dispatcher.h"
#include "fleet/fleet_manager.h"
#include "leadership/partition_leader.h"
#include "state_store/state_store_client.h"
#include "upgrade/coordinator.h"

namespace eiderreel {

/// A controller. Not thread-safe: all functions are called from the event loop's thread.
class Controller {
 public:
  /// `runtime` and `settings` must outlive the controller.
  Controller(Runtime& runtime, const Settings& settings);
  /// Starts all components. Must be called once, before any other function.
  void start();
  /// Does the periodic work of all components; must be called every constants::kTickMs.
  void tick();

  /// Serves an HTTP request to `api_addr`. `reply` is called exactly once, during this call or
  /// later.
  void serve_request(const std::string& method, const std::string& path, const std::string& body,
                     const Reply& reply);
  /// Handles a message from a peer. `bytes` is the frame's payload, without its length prefix.
  void receive_peer_message(const std::string& bytes);

  /// Settings and components, which /metrics and /status report on.
  const Settings& settings() const { return settings_; }
  const StateStoreClient& state_store() const { return state_store_; }
  const PartitionLeader& partition_leader() const { return partition_leader_; }
  const JobApi& job_api() const { return job_api_; }
  const FleetManager& fleet() const { return fleet_; }

 private:
  void start_leadership();
  void start_fleet();
  void start_state_store();

  const Settings& settings_;
  StateStoreClient state_store_;
  PartitionLeader partition_leader_;
  JobApi job_api_;
  FleetManager fleet_;
  upgrade::Coordinator upgrades_;
  PeerDispatcher peer_dispatcher_;
  HttpRouter http_router_;
};

}  // namespace eiderreel
