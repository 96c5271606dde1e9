// One node of the service: its actors, wired to each other, the HTTP routes and the mesh.
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
  Controller(Runtime& rt, const Settings& s);
  void start();
  void tick();  // every kTickMs

  // A request to api_addr. `reply` is called once, at once or later.
  void request(const std::string& method, const std::string& path, const std::string& body,
               Reply reply);
  // A frame from a peer.
  void frame(const std::string& bytes);

  const Settings& settings() const { return s_; }
  const StateStoreClient& state_store() const { return state_store_; }
  const Owner& owner() const { return owner_; }
  const JobApi& job_api() const { return job_api_; }
  const Fleet& fleet() const { return fleet_; }

 private:
  void send(const std::string& node, const mesh::Body& body);
  void broadcast(const mesh::Body& body);

  Runtime& rt_;
  const Settings& s_;
  StateStoreClient state_store_;
  Owner owner_;
  JobApi job_api_;
  Fleet fleet_;
  upgrade::Coordinator upgrades_;
};

}  // namespace eiderreel
