// The upgrade coordinator: answers what operators ask about cluster versions, and takes the steps.
// Every controller has one, and any of them can take a step: what decides is the commit.
#pragma once
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "config/settings.h"
#include "leadership/partition_leader.h"
#include "runtime/runtime.h"
#include "state_store/state_store_client.h"
#include "upgrade/messages.h"

namespace eiderreel::upgrade {

class Coordinator {
 public:
  Coordinator(Runtime& runtime, const Settings& settings, StateStoreClient& state_store,
              PartitionLeader& partition_leader)
      : runtime_(runtime),
        settings_(settings),
        state_store_(state_store),
        partition_leader_(partition_leader) {}

  bool enabled() const { return settings_.upgrade.enabled; }
  StatusReport status() const;
  // What a step would need and do; reads the stored progress where the step depends on it.
  void plan(const StepRequest& request, std::function<void(StepPlan)> done);
  void step(const StepOrder& order, std::function<void(StepAnswer)> done);
  // In the order of time; nothing: the state store does not tell.
  void history(std::function<void(std::optional<std::vector<StepRecord>>)> done);
  // Takes a step by itself where the operators allow it.
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

  std::vector<ControllerFacts> controllers() const;
  std::vector<codec::Precondition> preconditions() const;
  StepPlan plan_now(const StepRequest& request) const;
  ConversionReport conversion() const;
  void take_census(std::function<void(std::optional<ProgressCensus>)> done);
  ProgressCensus count_progress(const std::vector<codec::StateRow>& rows) const;
  bool is_done_already(const StepOrder& order) const;
  void check_census(const PendingStep& step);
  void commit_step(const PendingStep& step);
  void committed(const PendingStep& step, CasOutcome outcome);
  void end(const PendingStep& step, StepOutcome outcome);
  StepRecord record_of(const Pending& step, StepOutcome outcome) const;
  void write_record(const StepRecord& record);
  void delete_old_records();

  Runtime& runtime_;
  const Settings& settings_;
  StateStoreClient& state_store_;
  PartitionLeader& partition_leader_;
  PendingStep in_flight_;                     // null: none
  std::optional<std::string> step_in_doubt_;  // its request; nothing: the last outcome is known
  Ms looked_at_ = 0;                          // for an automatic step
};

}  // namespace eiderreel::upgrade
