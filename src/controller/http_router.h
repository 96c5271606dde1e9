// The paths and methods of a controller's HTTP interface for users, workers, monitoring and
// operators.
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

/// Dispatches each HTTP request to the component that handles it.
class HttpRouter {
 public:
  /// `controller` is the source of /metrics and /status. All arguments must outlive the router.
  HttpRouter(const Controller& controller, PartitionLeader& partition_leader, JobApi& job_api,
             upgrade::Coordinator& upgrades);

  /// Handles a request; `reply` is called exactly once, during this call or later. The router
  /// itself replies with 404 to an unknown path, 405 to a wrong method and 413 to a body that is
  /// larger than constants::kMaxBodyBytes.
  void serve(const std::string& method, const std::string& path, const std::string& body,
             const Reply& reply);

 private:
  struct Route {
    std::string method;  // the only allowed method
    std::function<void(const std::string& body, Reply reply)> serve;
  };

  static void serve_route(const Route& route, const std::string& method, const std::string& body,
                          const Reply& reply);
  void serve_heartbeat(const std::string& body, Reply reply);
  void serve_ready(const Reply& reply) const;
  // `path` is the part of the request's path after /v1/jobs/.
  Route job_route(const std::string& path);

  PartitionLeader& partition_leader_;
  JobApi& job_api_;
  upgrade::Coordinator& upgrades_;
  std::map<std::string, Route> routes_;  // keyed by path
};

}  // namespace eiderreel
