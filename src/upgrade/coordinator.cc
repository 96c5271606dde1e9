// Steps of the cluster version, from the plan to the outcome.
#include "upgrade/coordinator.h"

#include <spdlog/spdlog.h>

#include <utility>

#include "upgrade/upgrade_json.h"

namespace eiderreel::upgrade {

namespace k = constants;

namespace {

constexpr const char* kAutomatic = "automatic";  // who asks for automatic steps
constexpr const char* kProgressUnread = "the stored progress could not be read";

}  // namespace

// ---------------------------------------------------------------------------------- plan

// Invariant 13: the step compares the version and the record of every controller, also of those
// that have none. Whoever starts, restarts or loses its lease meanwhile makes it fail.
std::vector<codec::Precondition> Coordinator::preconditions() const {
  std::vector<codec::Precondition> out = {
      {codec::version_key(), state_store_.view().cluster.revision}};
  for (const auto& controller : controller_facts(state_store_.view(), settings_))
    out.push_back({codec::node_key(controller.name), controller.record_revision});
  return out;
}

StepPlan Coordinator::plan_now(const StepRequest& request) const {
  const ClusterView& view = state_store_.view();
  StepPlan plan = plan_step(request, view.cluster, controller_facts(view, settings_));
  const std::string standby_reason = state_store_.standby_reason();
  if (!standby_reason.empty())
    plan.obstacles.push_back({settings_.node, "stands aside: " + standby_reason});
  else if (!view.nodes.contains(settings_.node))
    plan.obstacles.push_back({settings_.node, "has no record, and writes nothing; ask another"});
  return plan;
}

void Coordinator::plan(const StepRequest& request, std::function<void(StepPlan)> done) {
  StepPlan plan = plan_now(request);
  if (!plan.possible() || !plan.needs_census) return done(std::move(plan));
  census_taker_.take([plan = std::move(plan), done = std::move(done)](auto census) mutable {
    if (census)
      add_census(plan, *census);
    else
      plan.obstacles.push_back({"", kProgressUnread});
    done(std::move(plan));
  });
}

// --------------------------------------------------------------------------------- steps

// Idempotent request: one that is sent again, since its answer was lost, finds its own step.
bool Coordinator::is_done_already(const StepOrder& order) const {
  const auto& record = state_store_.view().version_record;
  return record && record->request_id == order.request;
}

void Coordinator::step(const StepOrder& order, std::function<void(StepAnswer)> done) {
  const auto step = std::make_shared<Pending>();
  step->order = order;
  step->done = std::move(done);
  step->plan = plan_now(order.step);
  if (is_done_already(order)) return step->done({StepOutcome::taken, step->plan});
  if (in_flight_) {
    step->plan.obstacles.push_back({settings_.node, "is taking a step at the moment"});
    return step->done({StepOutcome::refused, step->plan});
  }
  in_flight_ = step;
  if (step->plan.from != order.from) {
    step->plan.obstacles.push_back({"", "the cluster is at version " + to_string(step->plan.from) +
                                            ", not " + to_string(order.from)});
    return end(step, StepOutcome::changed);
  }
  if (!step->plan.possible()) return end(step, StepOutcome::refused);
  step->preconditions = preconditions();
  if (!step->plan.needs_census) return commit_step(step);
  check_census(step);
}

// The records that are compared were read before the census. As long as they stand, every
// controller acts under a version that writes nothing in the form that is counted, so none can have
// come since.
void Coordinator::check_census(const PendingStep& step) {
  census_taker_.take([this, step](std::optional<ProgressCensus> census) {
    if (!census) {
      step->plan.obstacles.push_back({"", kProgressUnread});
      return end(step, StepOutcome::failed);
    }
    add_census(step->plan, *census);
    if (!step->plan.possible()) return end(step, StepOutcome::refused);
    commit_step(step);
  });
}

void Coordinator::commit_step(const PendingStep& step) {
  const StepOrder& order = step->order;
  const StepRecord history = history_.record_of(order, step->plan, StepOutcome::taken);
  const codec::VersionRecord version{*step->plan.to, step->plan.from, history.at, order.who,
                                     order.request};
  CompareAndSwap commit;
  commit.nonce = state_store_.nonce();
  commit.binding = VersionBinding::by_preconditions;
  commit.tries = k::kStepTries;
  commit.preconditions = step->preconditions;
  commit.writes = {{codec::version_key(), codec::encode(version, commit.nonce), false},
                   StepHistory::write_of(history, commit.nonce)};
  commit.done = [this, step](CasOutcome outcome, std::uint64_t) { committed(step, outcome); };
  spdlog::info("version step from={} to={} who={} request={}", to_string(step->plan.from),
               to_string(*step->plan.to), order.who, order.request);
  state_store_.compare_and_swap(std::move(commit));
}

// A step in doubt is not tried under another name. Its own preconditions let it land at most
// once, and whether it has is read from the durable version.
void Coordinator::committed(const PendingStep& step, CasOutcome outcome) {
  switch (outcome) {
    case CasOutcome::ok:
      return end(step, StepOutcome::taken);
    case CasOutcome::conflict:
      step->plan.obstacles.push_back({"", "the version or a controller's record has changed"});
      return end(step, StepOutcome::changed);
    case CasOutcome::refused:
      step->plan.obstacles.push_back({"", "the state service refused"});
      return end(step, StepOutcome::failed);
    case CasOutcome::superseded:
    case CasOutcome::unknown:
      break;
  }
  step_in_doubt_ = step->order.request;
  step->plan.obstacles.push_back({"", "the state service did not answer"});
  end(step, StepOutcome::unknown);
}

void Coordinator::end(const PendingStep& step, StepOutcome outcome) {
  in_flight_.reset();
  if (outcome != StepOutcome::unknown) step_in_doubt_.reset();
  spdlog::info("version step ended request={} outcome={}", step->order.request, to_string(outcome));
  // A step that was taken has its record from its own commit; one in doubt has it if it landed.
  const bool recorded = outcome == StepOutcome::taken || outcome == StepOutcome::unknown;
  if (!recorded && step->order.who != kAutomatic)
    history_.write(history_.record_of(step->order, step->plan, outcome));
  if (recorded) history_.delete_old_records();
  step->done({outcome, step->plan});
}

// ----------------------------------------------------------------------------- automatic

// The cluster leader alone, so that controllers do not compete. A step in doubt is left to an
// operator.
bool Coordinator::may_step_by_itself() const {
  return partition_leader_.is_cluster_leader() && !in_flight_ && !step_in_doubt_ &&
         settings_.upgrade.windows.contains(runtime_.wall());
}

// Only steps that can be taken back.
void Coordinator::tick() {
  const Ms now = runtime_.now();
  if (!settings_.upgrade.automatic || now - last_automatic_check_ < k::kAutomaticEveryMs) return;
  last_automatic_check_ = now;
  if (!may_step_by_itself()) return;
  const StepRequest request{Action::advance, {}};
  const StepPlan plan = plan_now(request);
  if (!plan.possible()) return;
  step({request, plan.from, std::string(kAutomatic) + "-" + state_store_.nonce(), kAutomatic,
        "within a maintenance window"},
       [](const StepAnswer&) {});
}

}  // namespace eiderreel::upgrade
