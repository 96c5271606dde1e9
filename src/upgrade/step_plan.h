// Plans of steps of the cluster version: target, requirements and obstacles. Pure functions.
#pragma once
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "upgrade/step_names.h"
#include "versioning/acting_version.h"
#include "versioning/cluster_version.h"

namespace eiderreel::upgrade {

/// State of one controller in the view of the planning controller.
struct ControllerState {
  std::string name;
  bool configured = true;
  std::uint64_t record_revision = 0;      // 0 if it has no record: not running, or not active
  std::optional<BuildVersions> versions;  // std::nullopt: build from before cluster versions

  /// Whether the controller has a record, which shows that it runs.
  bool present() const { return record_revision != 0; }
};

/// Counts of all stored progress values by form.
struct ProgressCensus {
  std::size_t bits = 0, compact = 0;    // number of values in each form
  std::vector<std::string> unreadable;  // keys of values that cannot be parsed
};

/// A reason why a step cannot be taken.
struct Obstacle {
  std::string controller;  // empty if the obstacle concerns the whole cluster
  std::string what;
};

/// A step to be planned or taken.
struct StepRequest {
  Action action = Action::advance;
  std::set<std::string> without;  // controllers that the operator declares gone
};

/// The target, effect and obstacles of a step.
struct StepPlan {
  Action action = Action::advance;
  ClusterVersion from = kFirstVersion;
  std::optional<ClusterVersion> to;  // std::nullopt if there is no such step
  std::string effect;
  std::vector<Obstacle> obstacles;
  bool needs_census = false;  // all stored progress must be counted before the step

  /// Whether the step can be taken now.
  bool possible() const { return to && obstacles.empty(); }
};

/// Plans a step, without the obstacles that only a census can find (see add_census_obstacles()). A
/// cluster version that cannot be read is an obstacle. Invariant 13: the versions that controllers
/// act under never differ by more than one step. A step forward needs every controller to act under
/// `from`; before a step back, controllers may also still act under `to`.
StepPlan plan_step(const StepRequest& request, const ClusterState& cluster,
                   const std::vector<ControllerState>& controllers);

/// Adds the obstacles found by the census to the plan of a step that needs one.
void add_census_obstacles(StepPlan& plan, const ProgressCensus& census);

}  // namespace eiderreel::upgrade
