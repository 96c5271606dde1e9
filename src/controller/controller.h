// One node of the service: its parts, wired to each other.
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

/// A controller. It runs on one thread: its functions are called by the event loop alone.
class Controller {
 public:
  /// Both must outlive the controller.
  Controller(Runtime& runtime, const Settings& settings);
  /// To be called once, before anything else.
  void start();
  /// All periodic work; every constants::kTickMs.
  void tick();

  /// A request to `api_addr`. `reply` is called once, at once or later.
  void request(const std::string& method, const std::string& path, const std::string& body,
               const Reply& reply);
  /// A message from a peer, without the length of its frame.
  void frame(const std::string& bytes);

  /// What /metrics and /status tell of: the settings and the parts of the controller.
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
  PeerDispatcher peers_;
  HttpRouter http_router_;
};

}  // namespace eiderreel
