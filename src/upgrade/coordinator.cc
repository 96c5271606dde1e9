// Plans steps of the cluster version, commits them and reports their outcome.
#include "upgrade/coordinator.h"

#include <spdlog/spdlog.h>

#include <utility>

#include "upgrade/upgrade_json.h"

namespace eiderreel::upgrade {

namespace k = constants;

namespace {

constexpr const char* kAutomaticRequester = "automatic";  // `who` of an automatic step
constexpr const char* kCensusFailed = "the stored progress could not be read";

}  // namespace

// ---------------------------------------------------------------------------------- plan

// Invariant 13: the commit of a step compares the revision of the cluster version and of every
// controller's record; for a controller without a record, it requires that there is still none. The
// commit therefore conflicts if a controller starts, restarts or loses its lease before it lands.
std::vector<codec::Precondition> Coordinator::preconditions() const {
  std::vector<codec::Precondition> out = {
      {codec::version_key(), state_store_.view().cluster.revision}};
  for (const auto& controller : controller_states(state_store_.view(), settings_))
    out.push_back({codec::node_key(controller.name), controller.record_revision});
  return out;
}

StepPlan Coordinator::plan_without_census(const StepRequest& request) const {
  const ClusterView& view = state_store_.view();
  StepPlan plan = plan_step(request, view.cluster, controller_states(view, settings_));
  const std::string standby_reason = state_store_.standby_reason();
  if (!standby_reason.empty())
    plan.obstacles.push_back({settings_.node, "stands aside: " + standby_reason});
  else if (!view.nodes.contains(settings_.node))
    plan.obstacles.push_back({settings_.node, "has no record, and writes nothing; ask another"});
  return plan;
}

void Coordinator::plan(const StepRequest& request, std::function<void(StepPlan)> done) {
  StepPlan plan = plan_without_census(request);
  if (!plan.possible() || !plan.needs_census) return done(std::move(plan));
  census_taker_.take([plan = std::move(plan), done = std::move(done)](auto census) mutable {
    if (census)
      add_census_obstacles(plan, *census);
    else
      plan.obstacles.push_back({"", kCensusFailed});
    done(std::move(plan));
  });
}

// --------------------------------------------------------------------------------- steps

// Idempotent request: if the reply was lost and the request is sent again, the durable version
// record names this request, and the step is reported as taken.
bool Coordinator::is_already_taken(const StepOrder& order) const {
  const auto& record = state_store_.view().version_record;
  return record && record->request_id == order.request;
}

void Coordinator::step(const StepOrder& order, std::function<void(StepAnswer)> done) {
  const auto step = std::make_shared<StepContext>();
  step->order = order;
  step->done = std::move(done);
  step->plan = plan_without_census(order.step);
  if (is_already_taken(order)) return step->done({StepOutcome::taken, step->plan});
  if (in_flight_) {
    step->plan.obstacles.push_back({settings_.node, "is taking a step at the moment"});
    return step->done({StepOutcome::refused, step->plan});
  }
  in_flight_ = step;
  if (step->plan.from != order.from) {
    step->plan.obstacles.push_back({"", "the cluster is at version " + to_string(step->plan.from) +
                                            ", not " + to_string(order.from)});
    return finish(step, StepOutcome::changed);
  }
  if (!step->plan.possible()) return finish(step, StepOutcome::refused);
  step->preconditions = preconditions();
  if (!step->plan.needs_census) return commit_step(step);
  check_census(step);
}

// The preconditions were collected before the census. While they hold, every controller acts under
// a version that writes no progress in the bits form, so no such value can have been written since
// the census.
void Coordinator::check_census(const PendingStep& step) {
  census_taker_.take([this, step](std::optional<ProgressCensus> census) {
    if (!census) {
      step->plan.obstacles.push_back({"", kCensusFailed});
      return finish(step, StepOutcome::failed);
    }
    add_census_obstacles(step->plan, *census);
    if (!step->plan.possible()) return finish(step, StepOutcome::refused);
    commit_step(step);
  });
}

void Coordinator::commit_step(const PendingStep& step) {
  const StepOrder& order = step->order;
  const StepRecord history = history_.make_record(order, step->plan, StepOutcome::taken);
  const codec::VersionRecord version{*step->plan.to, step->plan.from, history.at, order.who,
                                     order.request};
  CompareAndSwap commit;
  commit.nonce = state_store_.nonce();
  commit.binding = VersionBinding::by_preconditions;
  commit.tries = k::kMaxStepAttempts;
  commit.preconditions = step->preconditions;
  commit.writes = {{codec::version_key(), codec::encode(version, commit.nonce), false},
                   StepHistory::make_write(history, commit.nonce)};
  commit.done = [this, step](CasOutcome outcome, std::uint64_t) {
    on_commit_outcome(step, outcome);
  };
  spdlog::info("version step started from={} to={} who={} request={}", to_string(step->plan.from),
               to_string(*step->plan.to), order.who, order.request);
  state_store_.compare_and_swap(std::move(commit));
}

// A step with an unknown outcome is not retried under another request id. Its preconditions allow
// the commit to land at most once; the durable version record shows whether it has.
void Coordinator::on_commit_outcome(const PendingStep& step, CasOutcome outcome) {
  switch (outcome) {
    case CasOutcome::ok:
      return finish(step, StepOutcome::taken);
    case CasOutcome::conflict:
      step->plan.obstacles.push_back({"", "the version or a controller's record has changed"});
      return finish(step, StepOutcome::changed);
    case CasOutcome::refused:
      step->plan.obstacles.push_back({"", "the state service refused"});
      return finish(step, StepOutcome::failed);
    case CasOutcome::superseded:
    case CasOutcome::unknown:
      break;
  }
  step_in_doubt_ = step->order.request;
  step->plan.obstacles.push_back({"", "the state service did not answer"});
  finish(step, StepOutcome::unknown);
}

void Coordinator::finish(const PendingStep& step, StepOutcome outcome) {
  in_flight_.reset();
  if (outcome != StepOutcome::unknown) step_in_doubt_.reset();
  spdlog::info("version step ended request={} outcome={}", step->order.request, to_string(outcome));
  // The commit of a step also writes its history record. So a taken step has one, and a step with
  // an unknown outcome has one if its commit landed.
  const bool recorded = outcome == StepOutcome::taken || outcome == StepOutcome::unknown;
  if (!recorded && step->order.who != kAutomaticRequester)
    history_.write(history_.make_record(step->order, step->plan, outcome));
  if (recorded) history_.delete_old_records();
  step->done({outcome, step->plan});
}

// ----------------------------------------------------------------------------- automatic

// Only the cluster leader takes automatic steps, so that controllers do not compete. After a step
// with an unknown outcome, automatic steps stop until an operator's step ends with a known outcome.
bool Coordinator::may_step_automatically() const {
  return partition_leader_.is_cluster_leader() && !in_flight_ && !step_in_doubt_ &&
         settings_.upgrade.windows.contains(runtime_.wall_clock_now());
}

// Automatic steps only advance; a final step, which cannot be aborted, needs an operator.
void Coordinator::tick() {
  const Ms now = runtime_.now();
  if (!settings_.upgrade.automatic || now - last_automatic_check_ < k::kAutomaticStepIntervalMs)
    return;
  last_automatic_check_ = now;
  if (!may_step_automatically()) return;
  const StepRequest request{Action::advance, {}};
  const StepPlan plan = plan_without_census(request);
  if (!plan.possible()) return;
  step({request, plan.from, std::string(kAutomaticRequester) + "-" + state_store_.nonce(),
        kAutomaticRequester, "within a maintenance window"},
       [](const StepAnswer&) {});
}

}  // namespace eiderreel::upgrade
