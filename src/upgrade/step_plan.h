// What a step of the cluster version needs, and what stands in its way. Pure: facts in, plan out.
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

/// What this controller knows of one controller.
struct ControllerFacts {
  std::string name;
  bool configured = true;
  std::uint64_t record_revision = 0;      // 0: it has no record; it is away, or must not act
  std::optional<BuildVersions> versions;  // nothing: a build from before cluster versions

  /// Whether the controller has a record, so that it runs.
  bool present() const { return record_revision != 0; }
};

/// What a reading of all stored progress found.
struct ProgressCensus {
  std::size_t bits = 0, compact = 0;    // values in each form
  std::vector<std::string> unreadable;  // keys
};

/// What stands in the way of a step.
struct Obstacle {
  std::string controller;  // empty: it concerns the whole cluster
  std::string what;
};

/// A step that may be planned or taken.
struct StepRequest {
  Action action = Action::advance;
  std::set<std::string> without;  // controllers that are gone, by the operator's word
};

/// What a step leads to, and whether it can be taken.
struct StepPlan {
  Action action = Action::advance;
  ClusterVersion from = kFirstVersion;
  std::optional<ClusterVersion> to;  // nothing: there is no such step
  std::string effect;
  std::vector<Obstacle> obstacles;
  bool needs_census = false;  // the stored progress has to be read before the step

  /// Whether the step can be taken now.
  bool possible() const { return to && obstacles.empty(); }
};

/// The plan of a step, as far as it can be told without a census. A cluster version that cannot be
/// read is an obstacle.
/// Invariant 13: the versions acted under never differ by more than one step. A step forward needs
/// every controller to act under `from`; a step back may also find some that have not left `to`
/// yet.
StepPlan plan_step(const StepRequest& request, const ClusterState& cluster,
                   const std::vector<ControllerFacts>& controllers);

/// What a census adds to the plan of a step that needs one.
void add_census(StepPlan& plan, const ProgressCensus& census);

}  // namespace eiderreel::upgrade
