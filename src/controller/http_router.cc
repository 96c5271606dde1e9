// Routes HTTP requests by path, then checks the method.
#include "controller/http_router.h"

#include <string_view>
#include <utility>

#include "codec/job_json.h"
#include "codec/worker_json.h"
#include "controller/metrics.h"
#include "controller/status_report.h"
#include "runtime/http_status.h"
#include "upgrade/http_routes.h"

namespace eiderreel {
namespace {

namespace k = constants;

constexpr std::string_view kJobsPrefix = "/v1/jobs/";
constexpr std::string_view kCancelSuffix = "/cancel";

}  // namespace

HttpRouter::HttpRouter(const Controller& controller, PartitionLeader& partition_leader,
                       JobApi& job_api, upgrade::Coordinator& upgrades)
    : partition_leader_(partition_leader), job_api_(job_api), upgrades_(upgrades) {
  routes_["/v1/report"] = {"POST", [this](const std::string& body, Reply reply) {
                             serve_heartbeat(body, std::move(reply));
                           }};
  routes_["/v1/jobs"] = {"POST", [this](const std::string& body, Reply reply) {
                           job_api_.submit(body, std::move(reply));
                         }};
  routes_["/ready"] = {
      "GET", [this](const std::string& /*body*/, const Reply& reply) { serve_ready(reply); }};
  routes_["/metrics"] = {"GET", [&controller](const std::string& /*body*/, const Reply& reply) {
                           reply(http_status::kOk, metrics_text(controller));
                         }};
  routes_["/status"] = {"GET", [&controller](const std::string& /*body*/, const Reply& reply) {
                          reply(http_status::kOk, status_json(controller));
                        }};
}

void HttpRouter::serve(const std::string& method, const std::string& path, const std::string& body,
                       const Reply& reply) {
  if (body.size() > k::kMaxBodyBytes)
    return reply(http_status::kContentTooLarge, codec::error_body("the body is over 64 KiB"));
  if (upgrade::is_upgrade_path(path)) return upgrade::serve(upgrades_, method, path, body, reply);
  const auto found = routes_.find(path);
  const bool is_job_path = path.starts_with(kJobsPrefix);
  if (found == routes_.end() && !is_job_path)
    return reply(http_status::kNotFound, codec::error_body("no such path"));
  if (is_job_path)
    return serve_route(job_route(path.substr(kJobsPrefix.size())), method, body, reply);
  serve_route(found->second, method, body, reply);
}

void HttpRouter::serve_route(const Route& route, const std::string& method, const std::string& body,
                             const Reply& reply) {
  if (method != route.method)
    return reply(http_status::kMethodNotAllowed, codec::error_body("use " + route.method));
  route.serve(body, reply);
}

void HttpRouter::serve_heartbeat(const std::string& body, Reply reply) {
  const auto heartbeat = codec::parse_heartbeat(body);
  if (!heartbeat) return reply(http_status::kBadRequest, codec::error_body("malformed report"));
  partition_leader_.heartbeat(*heartbeat, std::move(reply));
}

void HttpRouter::serve_ready(const Reply& reply) const {
  if (job_api_.ready()) return reply(http_status::kOk, "{}");
  reply(http_status::kServiceUnavailable, codec::error_body("not ready yet"));
}

HttpRouter::Route HttpRouter::job_route(const std::string& path) {
  if (path.size() > kCancelSuffix.size() && path.ends_with(kCancelSuffix)) {
    const std::string id = path.substr(0, path.size() - kCancelSuffix.size());
    return {"POST", [this, id](const std::string& /*body*/, Reply reply) {
              job_api_.cancel(id, std::move(reply));
            }};
  }
  return {"GET", [this, id = path](const std::string& /*body*/, Reply reply) {
            job_api_.poll(id, std::move(reply));
          }};
}

}  // namespace eiderreel
