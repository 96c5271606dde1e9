// What a step of the cluster version needs, and what stands in its way. Pure: facts in, plan out.
#pragma once
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "versioning/acting_version.h"
#include "versioning/cluster_version.h"

namespace eiderreel::upgrade {

enum class Action { advance, abort, finalize };
const char* to_string(Action action);
std::optional<Action> parse_action(const std::string& text);

struct ControllerFacts {
  std::string name;
  bool configured = true;
  std::uint64_t record_revision = 0;      // 0: it has no record; it is away, or stands aside
  std::optional<BuildVersions> versions;  // nothing: a build from before cluster versions

  bool present() const { return record_revision != 0; }
};

// What a reading of all stored progress found.
struct ProgressCensus {
  std::size_t bits = 0, compact = 0;
  std::vector<std::string> unreadable;  // keys
};

struct Obstacle {
  std::string controller;  // empty: it concerns the whole cluster
  std::string what;
};

struct StepRequest {
  Action action = Action::advance;
  std::set<std::string> without;  // controllers that are gone, by the operator's word
};

struct StepPlan {
  Action action = Action::advance;
  ClusterVersion from = kFirstVersion;
  std::optional<ClusterVersion> to;  // nothing: there is no such step
  std::string effect;
  std::vector<Obstacle> obstacles;
  bool needs_census = false;  // the stored progress has to be read before the step

  bool possible() const { return to && obstacles.empty(); }
};

// Invariant: the versions acted under never differ by more than one step. A step forward needs
// every controller to act under `from`; a step back may also find some that have not left `to` yet.
StepPlan plan_step(const StepRequest& request, const ClusterState& cluster,
                   const std::vector<ControllerFacts>& controllers);

// What a census adds to the plan of a step that needs one.
void add_census(StepPlan& plan, const ProgressCensus& census);

}  // namespace eiderreel::upgrade
