// The upgrade coordinator: answers what operators ask about cluster versions, and takes the steps.
// Every controller has one, and any of them can take a step: what decides is the commit.
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

/// Plans and takes the steps of the cluster version.
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
  /// What this controller knows of the cluster's versions.
  StatusReport status() const { return status_reporter_.report(step_in_doubt_); }
  /// What a step would need and do; reads the stored progress where the step depends on it.
  void plan(const StepRequest& request, std::function<void(StepPlan)> done);
  /// Takes the step if nothing stands in its way, and calls back with the outcome.
  void step(const StepOrder& order, std::function<void(StepAnswer)> done);
  /// The steps that were asked for, in the order of time; nothing: the state store does not tell.
  void history(StepHistory::ReadDone done) { history_.read(std::move(done)); }
  /// Takes a step by itself where the operators allow it.
  void tick();

 private:
  // A step that was asked for, from the first look at it to its outcome.
  struct Pending {
    StepOrder order;
    StepPlan plan;
    std::vector<codec::Precondition> preconditions;
    std::function<void(StepAnswer)> done;
  };
  using PendingStep = std::shared_ptr<Pending>;

  std::vector<codec::Precondition> preconditions() const;
  StepPlan plan_now(const StepRequest& request) const;
  bool is_done_already(const StepOrder& order) const;
  void check_census(const PendingStep& step);
  void commit_step(const PendingStep& step);
  void committed(const PendingStep& step, CasOutcome outcome);
  void end(const PendingStep& step, StepOutcome outcome);
  bool may_step_by_itself() const;

  Runtime& runtime_;
  const Settings& settings_;
  StateStoreClient& state_store_;
  PartitionLeader& partition_leader_;
  StatusReporter status_reporter_;
  ProgressCensusTaker census_taker_;
  StepHistory history_;
  PendingStep in_flight_;                     // null: none
  std::optional<std::string> step_in_doubt_;  // its request; nothing: the last outcome is known
  Ms last_automatic_check_ = 0;               // monotonic time
};

}  // namespace eiderreel::upgrade
