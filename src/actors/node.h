// One node of the service: its actors, wired to each other, the HTTP routes and the mesh.
#pragma once
#include <string>

#include "actors/desk.h"
#include "actors/fleet.h"
#include "actors/owner.h"
#include "actors/registrar.h"

namespace eiderreel {

class Node {
 public:
  Node(Runtime& rt, const Settings& s);
  void start();
  void tick();  // every kTickMs

  // A request to api_addr. `reply` is called once, at once or later.
  void request(const std::string& method, const std::string& path, const std::string& body,
               Reply reply);
  // A frame from a peer.
  void frame(const std::string& bytes);

  const Settings& settings() const { return s_; }
  const Registrar& registrar() const { return registrar_; }
  const Owner& owner() const { return owner_; }
  const Desk& desk() const { return desk_; }
  const Fleet& fleet() const { return fleet_; }

 private:
  void send(const std::string& node, const mesh::Body& body);
  void broadcast(const mesh::Body& body);

  Runtime& rt_;
  const Settings& s_;
  Registrar registrar_;
  Owner owner_;
  Desk desk_;
  Fleet fleet_;
};

}  // namespace eiderreel
