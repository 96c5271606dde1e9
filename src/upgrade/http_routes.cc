#include "upgrade/http_routes.h"

#include <utility>

#include "codec/job_json.h"
#include "upgrade/upgrade_json.h"

namespace eiderreel::upgrade {
namespace {

const std::string kPrefix = "/upgrade/";

int http_status(StepOutcome outcome) {
  switch (outcome) {
    case StepOutcome::taken:
      return 200;
    case StepOutcome::refused:
    case StepOutcome::changed:
      return 409;
    case StepOutcome::failed:
      return 503;
    case StepOutcome::unknown:
      break;
  }
  return 504;
}

void serve_history(Coordinator& coordinator, const Reply& reply) {
  coordinator.history([reply](std::optional<std::vector<StepRecord>> records) {
    if (!records) return reply(503, codec::error_body("the state service does not answer"));
    reply(200, codec::encode(*records));
  });
}

void serve_plan(Coordinator& coordinator, const StepOrder& order, const Reply& reply) {
  coordinator.plan(order.step, [reply](const StepPlan& plan) { reply(200, codec::encode(plan)); });
}

void serve_step(Coordinator& coordinator, const StepOrder& order, const Reply& reply) {
  coordinator.step(order, [reply](const StepAnswer& answer) {
    reply(http_status(answer.outcome), codec::encode(answer));
  });
}

}  // namespace

bool is_upgrade_path(const std::string& path) {
  return path.compare(0, kPrefix.size(), kPrefix) == 0;
}

void serve(Coordinator& coordinator, const std::string& method, const std::string& path,
           const std::string& body, Reply reply) {
  if (!coordinator.enabled())
    return reply(404, codec::error_body("this controller runs without an upgrade file"));
  const std::string name = path.substr(kPrefix.size());
  const bool reads = name == "status" || name == "history";
  if (!reads && name != "plan" && name != "step")
    return reply(404, codec::error_body("no such path"));
  if (method != (reads ? "GET" : "POST"))
    return reply(405, codec::error_body(reads ? "use GET" : "use POST"));
  if (name == "status") return reply(200, codec::encode(coordinator.status()));
  if (name == "history") return serve_history(coordinator, reply);
  const auto parsed = codec::parse_step_order(body);
  if (!parsed.order) return reply(400, codec::error_body(parsed.error));
  if (name == "plan") return serve_plan(coordinator, *parsed.order, reply);
  serve_step(coordinator, *parsed.order, reply);
}

}  // namespace eiderreel::upgrade
