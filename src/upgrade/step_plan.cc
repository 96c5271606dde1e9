// Target versions of the three actions, and obstacles by controller.
#include "upgrade/step_plan.h"

#include <algorithm>

namespace eiderreel::upgrade {
namespace {

constexpr std::size_t kMaxListedKeys = 5;  // unreadable keys listed in an obstacle

// The version that an action leads to, or the reason why there is none.
struct Target {
  std::optional<ClusterVersion> version;
  std::string no_target_reason;
};

Target target_of_advance(ClusterVersion from) {
  const auto to_info = version_info(next(from));
  if (!to_info) return {std::nullopt, "version " + to_string(from) + " is the newest"};
  if (!to_info->reversible)
    return {std::nullopt, "the next step is final; it is taken by `upgrade finalize`"};
  return {next(from), ""};
}

Target target_of_finalize(ClusterVersion from) {
  const auto to_info = version_info(next(from));
  if (!to_info) return {std::nullopt, "version " + to_string(from) + " is the newest"};
  if (to_info->reversible)
    return {std::nullopt, "the next step is not final; it is taken by `upgrade advance`"};
  return {next(from), ""};
}

Target target_of_abort(ClusterVersion from) {
  if (from == kFirstVersion) return {std::nullopt, "the cluster is at its first version"};
  const auto from_info = version_info(from);
  if (from_info && !from_info->reversible)
    return {std::nullopt, "version " + to_string(from) +
                              " is final: what earlier versions read is no longer kept"};
  return {previous(from), ""};
}

Target target_of(Action action, ClusterVersion from) {
  switch (action) {
    case Action::advance:
      return target_of_advance(from);
    case Action::finalize:
      return target_of_finalize(from);
    case Action::abort:
      break;
  }
  return target_of_abort(from);
}

// The obstacle for a controller without a record; empty if the step need not wait for it.
std::string obstacle_of_absent(const StepRequest& request, const ControllerState& controller) {
  // A step back leads to a version that earlier builds support, so no absent controller blocks it.
  if (request.action == Action::abort || !controller.configured) return "";
  if (request.without.contains(controller.name)) return "";
  return "has no record: it is away, or its build does not know the cluster version";
}

std::string obstacle_of_present(const StepRequest& request, const ControllerState& controller,
                                ClusterVersion from, ClusterVersion to) {
  if (request.without.contains(controller.name)) return "is running and cannot be left out";
  const bool is_abort = request.action == Action::abort;
  // A build from before cluster versions behaves like the first version. A step back only brings
  // the cluster closer to that version, so it is not blocked.
  if (!controller.versions)
    return is_abort ? "" : "runs a build from before cluster versions, or without its upgrade file";
  const BuildVersions& versions = *controller.versions;
  if (!versions.range.contains(to)) return "knows versions " + to_string(versions.range) + " only";
  if (versions.acting == from || (is_abort && versions.acting == to)) return "";
  return "still acts under version " + to_string(versions.acting);
}

void add_controller_obstacles(const StepRequest& request,
                              const std::vector<ControllerState>& controllers, StepPlan& plan) {
  for (const ControllerState& controller : controllers) {
    std::string what = controller.present()
                           ? obstacle_of_present(request, controller, plan.from, *plan.to)
                           : obstacle_of_absent(request, controller);
    if (!what.empty()) plan.obstacles.push_back({controller.name, std::move(what)});
  }
}

void add_unknown_controller_obstacles(const StepRequest& request,
                                      const std::vector<ControllerState>& controllers,
                                      StepPlan& plan) {
  for (const std::string& name : request.without) {
    const bool is_known =
        std::any_of(controllers.begin(), controllers.end(),
                    [&](const ControllerState& controller) { return controller.name == name; });
    if (!is_known) plan.obstacles.push_back({name, "is no controller of this cluster"});
  }
}

}  // namespace

StepPlan plan_step(const StepRequest& request, const ClusterState& cluster,
                   const std::vector<ControllerState>& controllers) {
  StepPlan plan;
  plan.action = request.action;
  if (!cluster.version) {
    plan.obstacles.push_back({"", "the cluster version cannot be read"});
    return plan;
  }
  plan.from = *cluster.version;
  Target target = target_of(request.action, plan.from);
  if (!target.version) {
    plan.obstacles.push_back({"", std::move(target.no_target_reason)});
    return plan;
  }
  plan.to = target.version;
  const auto target_info = version_info(*plan.to);
  plan.effect = target_info->effect;
  plan.needs_census = request.action != Action::abort && target_info->needs_conversion;
  add_unknown_controller_obstacles(request, controllers, plan);
  add_controller_obstacles(request, controllers, plan);
  return plan;
}

void add_census_obstacles(StepPlan& plan, const ProgressCensus& census) {
  if (census.bits > 0)
    plan.obstacles.push_back(
        {"", std::to_string(census.bits) + " values of progress are still stored as bits"});
  if (census.unreadable.empty()) return;
  std::string what =
      std::to_string(census.unreadable.size()) + " values of progress cannot be read:";
  for (std::size_t i = 0; i < std::min(kMaxListedKeys, census.unreadable.size()); ++i)
    what += " " + census.unreadable[i];
  plan.obstacles.push_back({"", std::move(what)});
}

}  // namespace eiderreel::upgrade
