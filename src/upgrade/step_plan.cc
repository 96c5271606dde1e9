// Targets of the three actions, and the obstacles of each controller.
#include "upgrade/step_plan.h"

#include <algorithm>

namespace eiderreel::upgrade {
namespace {

constexpr std::size_t kKeysNamed = 5;  // unreadable keys that an obstacle names

// The version that an action leads to, or why there is none.
struct Target {
  std::optional<ClusterVersion> version;
  std::string why_not;
};

Target target_of_advance(ClusterVersion from) {
  const auto to = notes(next(from));
  if (!to) return {std::nullopt, "version " + to_string(from) + " is the newest"};
  if (!to->reversible)
    return {std::nullopt, "the next step is final; it is taken by `upgrade finalize`"};
  return {next(from), ""};
}

Target target_of_finalize(ClusterVersion from) {
  const auto to = notes(next(from));
  if (!to) return {std::nullopt, "version " + to_string(from) + " is the newest"};
  if (to->reversible)
    return {std::nullopt, "the next step is not final; it is taken by `upgrade advance`"};
  return {next(from), ""};
}

Target target_of_abort(ClusterVersion from) {
  if (from == kFirstVersion) return {std::nullopt, "the cluster is at its first version"};
  const auto here = notes(from);
  if (here && !here->reversible)
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

// What keeps a controller that is away from being passed over; empty: nothing.
std::string obstacle_of_absent(const StepRequest& request, const ControllerFacts& controller) {
  // A way back leads to what earlier builds understand, so it does not wait for anyone.
  if (request.action == Action::abort || !controller.configured) return "";
  if (request.without.contains(controller.name)) return "";
  return "has no record: it is away, or its build does not know the cluster version";
}

std::string obstacle_of_present(const StepRequest& request, const ControllerFacts& controller,
                                ClusterVersion from, ClusterVersion to) {
  if (request.without.contains(controller.name)) return "is running and cannot be left out";
  const bool back = request.action == Action::abort;
  // An earlier build acts as the first version does; a way back only comes closer to it.
  if (!controller.versions)
    return back ? "" : "runs a build from before cluster versions, or without its upgrade file";
  const BuildVersions& versions = *controller.versions;
  if (!versions.range.contains(to)) return "knows versions " + to_string(versions.range) + " only";
  if (versions.acting == from || (back && versions.acting == to)) return "";
  return "still acts under version " + to_string(versions.acting);
}

void add_controller_obstacles(const StepRequest& request,
                              const std::vector<ControllerFacts>& controllers, StepPlan& plan) {
  for (const ControllerFacts& controller : controllers) {
    std::string what = controller.present()
                           ? obstacle_of_present(request, controller, plan.from, *plan.to)
                           : obstacle_of_absent(request, controller);
    if (!what.empty()) plan.obstacles.push_back({controller.name, std::move(what)});
  }
}

void add_unknown_names(const StepRequest& request, const std::vector<ControllerFacts>& controllers,
                       StepPlan& plan) {
  for (const std::string& name : request.without) {
    const bool known =
        std::any_of(controllers.begin(), controllers.end(),
                    [&](const ControllerFacts& controller) { return controller.name == name; });
    if (!known) plan.obstacles.push_back({name, "is no controller of this cluster"});
  }
}

}  // namespace

StepPlan plan_step(const StepRequest& request, const ClusterState& cluster,
                   const std::vector<ControllerFacts>& controllers) {
  StepPlan plan;
  plan.action = request.action;
  if (!cluster.version) {
    plan.obstacles.push_back({"", "the cluster version cannot be read"});
    return plan;
  }
  plan.from = *cluster.version;
  Target target = target_of(request.action, plan.from);
  if (!target.version) {
    plan.obstacles.push_back({"", std::move(target.why_not)});
    return plan;
  }
  plan.to = target.version;
  const auto entered = notes(*plan.to);
  plan.effect = entered->effect;
  plan.needs_census = request.action != Action::abort && entered->needs_conversion;
  add_unknown_names(request, controllers, plan);
  add_controller_obstacles(request, controllers, plan);
  return plan;
}

void add_census(StepPlan& plan, const ProgressCensus& census) {
  if (census.bits > 0)
    plan.obstacles.push_back(
        {"", std::to_string(census.bits) + " values of progress are still stored as bits"});
  if (census.unreadable.empty()) return;
  std::string what =
      std::to_string(census.unreadable.size()) + " values of progress cannot be read:";
  for (std::size_t i = 0; i < std::min(kKeysNamed, census.unreadable.size()); ++i)
    what += " " + census.unreadable[i];
  plan.obstacles.push_back({"", std::move(what)});
}

}  // namespace eiderreel::upgrade
