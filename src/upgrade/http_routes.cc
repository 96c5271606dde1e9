// Routes of the upgrade API and their HTTP replies.
#include "upgrade/http_routes.h"

#include <algorithm>
#include <array>
#include <optional>
#include <string_view>
#include <vector>

#include "codec/job_json.h"
#include "runtime/http_status.h"
#include "upgrade/upgrade_json.h"

namespace eiderreel::upgrade {
namespace {

constexpr std::string_view kPrefix = "/upgrade/";

int http_status_of(StepOutcome outcome) {
  switch (outcome) {
    case StepOutcome::taken:
      return http_status::kOk;
    case StepOutcome::refused:
    case StepOutcome::changed:
      return http_status::kConflict;
    case StepOutcome::failed:
      return http_status::kServiceUnavailable;
    case StepOutcome::unknown:
      break;
  }
  return http_status::kGatewayTimeout;
}

// Arguments of a handler. The references are valid only during the call.
struct Request {
  Coordinator& coordinator;
  const std::string& body;
  const Reply& reply;
};

void serve_status(const Request& request) {
  request.reply(http_status::kOk, codec::encode(request.coordinator.status()));
}

void serve_history(const Request& request) {
  request.coordinator.history(
      [reply = request.reply](const std::optional<std::vector<StepRecord>>& records) {
        if (!records)
          return reply(http_status::kServiceUnavailable,
                       codec::error_body("the state service does not answer"));
        reply(http_status::kOk, codec::encode(*records));
      });
}

// Parses the order in the body. If it is invalid, replies with the error and returns std::nullopt.
std::optional<StepOrder> parse_order_or_reply(const Request& request) {
  auto parsed = codec::parse_step_order(request.body);
  if (!parsed.order) request.reply(http_status::kBadRequest, codec::error_body(parsed.error));
  return std::move(parsed.order);
}

void serve_plan(const Request& request) {
  const auto order = parse_order_or_reply(request);
  if (!order) return;
  request.coordinator.plan(order->step, [reply = request.reply](const StepPlan& plan) {
    reply(http_status::kOk, codec::encode(plan));
  });
}

void serve_step(const Request& request) {
  const auto order = parse_order_or_reply(request);
  if (!order) return;
  request.coordinator.step(*order, [reply = request.reply](const StepAnswer& answer) {
    reply(http_status_of(answer.outcome), codec::encode(answer));
  });
}

struct Route {
  std::string_view name;  // path after kPrefix
  const char* method;
  void (*handle)(const Request&);
};

constexpr std::array kRoutes = {
    Route{"status", "GET", serve_status}, Route{"history", "GET", serve_history},
    Route{"plan", "POST", serve_plan}, Route{"step", "POST", serve_step}};

}  // namespace

bool is_upgrade_path(const std::string& path) { return path.starts_with(kPrefix); }

void serve(Coordinator& coordinator, const std::string& method, const std::string& path,
           const std::string& body, const Reply& reply) {
  if (!coordinator.enabled())
    return reply(http_status::kNotFound,
                 codec::error_body("this controller runs without an upgrade file"));
  const std::string_view name = std::string_view(path).substr(kPrefix.size());
  const auto* const route =
      std::find_if(kRoutes.begin(), kRoutes.end(),
                   [&](const Route& candidate) { return candidate.name == name; });
  if (route == kRoutes.end())
    return reply(http_status::kNotFound, codec::error_body("no such path"));
  if (method != route->method)
    return reply(http_status::kMethodNotAllowed,
                 codec::error_body(std::string("use ") + route->method));
  route->handle({coordinator, body, reply});
}

}  // namespace eiderreel::upgrade
