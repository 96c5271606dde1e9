// One node of the service: its actors, wired to each other, the HTTP routes and the peer links.
#pragma once
#include <string>

#include "api/job_api.h"
#include "fleet/fleet_manager.h"
#include "leadership/partition_leader.h"
#include "state_store/state_store_client.h"
#include "upgrade/coordinator.h"

namespace eiderreel {

class Controller {
 public:
  Controller(Runtime& runtime, const Settings& settings);
  void start();
  void tick();  // every kTickMs

  // A request to api_addr. `reply` is called once, at once or later.
  void request(const std::string& method, const std::string& path, const std::string& body,
               Reply reply);
  // A frame from a peer.
  void frame(const std::string& bytes);

  const Settings& settings() const { return settings_; }
  const StateStoreClient& state_store() const { return state_store_; }
  const PartitionLeader& partition_leader() const { return partition_leader_; }
  const JobApi& job_api() const { return job_api_; }
  const FleetManager& fleet() const { return fleet_; }

 private:
  void send(const std::string& node, const peer_rpc::Body& body);
  void broadcast(const peer_rpc::Body& body);

  Runtime& runtime_;
  const Settings& settings_;
  StateStoreClient state_store_;
  PartitionLeader partition_leader_;
  JobApi job_api_;
  FleetManager fleet_;
  upgrade::Coordinator upgrades_;
};

}  // namespace eiderreel
