// The HTTP router: the paths and methods of a controller's HTTP interface, for users, workers,
// monitoring and operators.
#pragma once
#include <functional>
#include <map>
#include <string>

#include "api/job_api.h"
#include "leadership/partition_leader.h"
#include "runtime/runtime.h"
#include "upgrade/coordinator.h"

namespace eiderreel {

class Controller;

/// Hands each request to the part that answers it.
class HttpRouter {
 public:
  /// `controller` is what /metrics and /status tell of.
  HttpRouter(const Controller& controller, PartitionLeader& partition_leader, JobApi& job_api,
             upgrade::Coordinator& upgrades);

  /// Answers a request, at once or later; `reply` is called once. Here it is answered with 404 for
  /// an unknown path, 405 for a wrong method and 413 for a body over constants::kMaxBodyBytes.
  void serve(const std::string& method, const std::string& path, const std::string& body,
             const Reply& reply);

 private:
  struct Route {
    std::string method;  // the only one that is allowed
    std::function<void(const std::string& body, Reply reply)> serve;
  };

  static void serve_route(const Route& route, const std::string& method, const std::string& body,
                          const Reply& reply);
  void serve_heartbeat(const std::string& body, Reply reply);
  void serve_ready(const Reply& reply) const;
  // `path` is what follows /v1/jobs/.
  Route job_route(const std::string& path);

  PartitionLeader& partition_leader_;
  JobApi& job_api_;
  upgrade::Coordinator& upgrades_;
  std::map<std::string, Route> routes_;  // by path
};

}  // namespace eiderreel
