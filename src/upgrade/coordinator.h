// The upgrade coordinator: answers operators' requests about cluster versions and takes steps
// between versions. Every controller runs one and can take any step; concurrent steps are resolved
// by the compare-and-swap commit in the state store.
#pragma once
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "config/settings.h"
#include "leadership/partition_leader.h"
#include "runtime/runtime.h"
#include "state_store/state_store_client.h"
#include "upgrade/messages.h"
#include "upgrade/progress_census_taker.h"
#include "upgrade/status_report.h"
#include "upgrade/step_history.h"

namespace eiderreel::upgrade {

/// Plans and takes steps of the cluster version.
class Coordinator {
 public:
  Coordinator(Runtime& runtime, const Settings& settings, StateStoreClient& state_store,
              PartitionLeader& partition_leader)
      : runtime_(runtime),
        settings_(settings),
        state_store_(state_store),
        partition_leader_(partition_leader),
        status_reporter_(runtime, settings, state_store, partition_leader),
        census_taker_(state_store),
        history_(runtime, settings, state_store) {}

  /// Whether this controller takes part in cluster versions.
  bool enabled() const { return settings_.upgrade.enabled; }
  /// The state of the cluster version in this controller's view.
  StatusReport status() const { return status_reporter_.report(step_in_doubt_); }
  /// Plans a step without taking it. Reads all stored progress if the step depends on it.
  void plan(const StepRequest& request, std::function<void(StepPlan)> done);
  /// Takes the step if its plan has no obstacles, and calls back with the outcome.
  void step(const StepOrder& order, std::function<void(StepAnswer)> done);
  /// Reads the history of requested steps, ordered by time; std::nullopt if the read fails.
  void history(StepHistory::ReadDone done) { history_.read(std::move(done)); }
  /// Takes an automatic step if one is enabled by the settings, possible and due.
  void tick();

 private:
  // A requested step that has no outcome yet.
  struct StepContext {
    StepOrder order;
    StepPlan plan;
    std::vector<codec::Precondition> preconditions;
    std::function<void(StepAnswer)> done;
  };
  using PendingStep = std::shared_ptr<StepContext>;

  std::vector<codec::Precondition> preconditions() const;
  StepPlan plan_without_census(const StepRequest& request) const;
  bool is_already_taken(const StepOrder& order) const;
  void check_census(const PendingStep& step);
  void commit_step(const PendingStep& step);
  void on_commit_outcome(const PendingStep& step, CasOutcome outcome);
  void finish(const PendingStep& step, StepOutcome outcome);
  bool may_step_automatically() const;

  Runtime& runtime_;
  const Settings& settings_;
  StateStoreClient& state_store_;
  PartitionLeader& partition_leader_;
  StatusReporter status_reporter_;
  ProgressCensusTaker census_taker_;
  StepHistory history_;
  PendingStep in_flight_;                     // null if no step is in progress
  std::optional<std::string> step_in_doubt_;  // request id of a step with an unknown outcome
  Ms last_automatic_check_ = 0;               // monotonic time
};

}  // namespace eiderreel::upgrade
