// Construction of a controller's components and the callbacks that connect them.
#include "controller/controller.h"

#include <utility>

namespace eiderreel {

Controller::Controller(Runtime& runtime, const Settings& settings)
    : settings_(settings),
      state_store_(runtime, settings),
      partition_leader_(runtime, settings, state_store_),
      job_api_(runtime, settings, state_store_, partition_leader_),
      fleet_(runtime, settings, state_store_, partition_leader_),
      upgrades_(runtime, settings, state_store_, partition_leader_),
      peer_dispatcher_(runtime, settings, partition_leader_, job_api_),
      http_router_(*this, partition_leader_, job_api_, upgrades_) {}

// The state store client starts last because its events go to all other components.
void Controller::start() {
  start_leadership();
  job_api_.start({[this](const std::string& node, const peer_rpc::JobQuery& query) {
    peer_dispatcher_.send(node, query);
  }});
  start_fleet();
  start_state_store();
}

void Controller::start_leadership() {
  partition_leader_.start(
      {[this](const Heartbeat& heartbeat, Reply reply) {
         fleet_.assign(heartbeat, std::move(reply));
       },
       [this](const peer_rpc::Body& body) { peer_dispatcher_.broadcast(body); }});
}

void Controller::start_fleet() {
  FleetManager::Hooks hooks;
  hooks.catalog_updated = [this](const std::vector<MachineType>& types) {
    partition_leader_.types_known(types);
    job_api_.set_machine_types(types);
  };
  hooks.send = [this](const std::string& node, const peer_rpc::Body& body) {
    peer_dispatcher_.send(node, body);
  };
  hooks.machines_terminated = [this](const std::vector<std::string>& machines) {
    partition_leader_.machines_terminated(machines);
    peer_dispatcher_.broadcast(peer_rpc::MachinesTerminated{machines});
  };
  fleet_.start(std::move(hooks));
}

void Controller::start_state_store() {
  ReplicatedView::Events events;
  events.job_opened = [this](const std::string& id) { partition_leader_.job_opened(id); };
  events.job_ready = [this](const std::string& id) { partition_leader_.job_ready(id); };
  events.job_closed = [this](const std::string& id) { partition_leader_.job_closed(id); };
  events.urgency_changed = [this](const std::string& id) { partition_leader_.urgency_changed(id); };
  events.machine_changed = [this](const std::string& id) { partition_leader_.machine_changed(id); };
  events.partition_changed = [this](int partition) {
    partition_leader_.partition_changed(partition);
  };
  state_store_.start(std::move(events), [this] { partition_leader_.lease_lost(); });
}

void Controller::tick() {
  state_store_.tick();
  partition_leader_.tick();
  fleet_.tick();
  upgrades_.tick();
}

void Controller::receive_peer_message(const std::string& bytes) { peer_dispatcher_.receive(bytes); }

void Controller::serve_request(const std::string& method, const std::string& path,
                               const std::string& body, const Reply& reply) {
  http_router_.serve(method, path, body, reply);
}

}  // namespace eiderreel
