#include "upgrade/coordinator.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <set>
#include <utility>

#include "upgrade/upgrade_json.h"

namespace eiderreel::upgrade {

namespace k = constants;

namespace {

constexpr char kAutomatic[] = "automatic";

// The record, with as many of its obstacles as fit a value.
std::string encode_bounded(StepRecord record, const std::string& nonce) {
  std::string value = codec::encode(record, nonce);
  while (value.size() > k::kHistoryRecordBytes && !record.obstacles.empty()) {
    record.obstacles.pop_back();
    value = codec::encode(record, nonce);
  }
  return value;
}

}  // namespace

// ------------------------------------------------------------------------------- reading

std::vector<ControllerFacts> Coordinator::controllers() const {
  const auto& records = state_store_.view().nodes;
  const auto configured = settings_.node_names();
  std::set<std::string> names(configured.begin(), configured.end());
  for (const auto& [name, entry] : records) names.insert(name);
  std::vector<ControllerFacts> out;
  for (const std::string& name : names) {
    ControllerFacts controller;
    controller.name = name;
    controller.configured = std::binary_search(configured.begin(), configured.end(), name);
    if (const auto entry = records.find(name); entry != records.end()) {
      controller.record_revision = entry->second.revision;
      controller.versions = entry->second.record.versions;
    }
    out.push_back(std::move(controller));
  }
  return out;
}

// Invariant 13: the step compares the version and the record of every controller, also of those
// that have none. Whoever starts, restarts or loses its lease meanwhile makes it fail.
std::vector<codec::Precondition> Coordinator::preconditions() const {
  std::vector<codec::Precondition> out = {
      {codec::version_key(), state_store_.view().cluster.revision}};
  for (const ControllerFacts& controller : controllers())
    out.push_back({codec::node_key(controller.name), controller.record_revision});
  return out;
}

StepPlan Coordinator::plan_now(const StepRequest& request) const {
  StepPlan plan = plan_step(request, state_store_.view().cluster, controllers());
  const std::string aside = state_store_.standby_reason();
  if (!aside.empty())
    plan.obstacles.push_back({settings_.node, "stands aside: " + aside});
  else if (!state_store_.view().nodes.count(settings_.node))
    plan.obstacles.push_back({settings_.node, "has no record, and writes nothing; ask another"});
  return plan;
}

ConversionReport Coordinator::conversion() const {
  ConversionReport report;
  const auto& version = state_store_.view().cluster.version;
  if (version) report.to = progress_policy(*version).convert_to;
  report.unknown_partitions = partition_leader_.unheard_partitions();
  auto add = [&](const std::optional<ConversionProgress>& one) {
    if (!one) return;
    report.sum.values_left += one->values_left;
    report.sum.values_converted += one->values_converted;
    report.sum.unreadable += one->unreadable;
    report.sum.values_per_s += one->values_per_s;
  };
  add(partition_leader_.conversion());
  for (const Peer& peer : settings_.peers) add(partition_leader_.peer_conversion(peer.name));
  return report;
}

StatusReport Coordinator::status() const {
  const ClusterView& view = state_store_.view();
  StatusReport report;
  report.controller = settings_.node;
  report.enabled = enabled();
  report.standby_reason = state_store_.standby_reason();
  report.current =
      view.ready && runtime_.now() - state_store_.last_good() < k::kWatchWaitMs + k::kStateSilentMs;
  report.cluster = view.cluster;
  if (view.version_record) {
    report.changed_by = view.version_record->who;
    report.changed_at = view.version_record->at;
    report.last_request = view.version_record->request;
  }
  if (step_in_doubt_ && *step_in_doubt_ != report.last_request)
    report.step_in_doubt = step_in_doubt_;
  report.controllers = controllers();
  report.conversion = conversion();
  report.automatic = settings_.upgrade.automatic;
  report.in_maintenance_window = settings_.upgrade.windows.contains(runtime_.wall());
  return report;
}

// Every stored value of progress, of all partitions. What a controller would have to convert it may
// not know of yet, so the state store alone can tell that nothing is left. A job that the
// view does not have may be new to it; only one with a final record is over, and its values are
// left to be swept.
void Coordinator::take_census(std::function<void(std::optional<ProgressCensus>)> done) {
  state_store_.list(codec::all_progress_prefix(), [this, done = std::move(done)](auto rows) {
    if (!rows) return done(std::nullopt);
    std::set<std::string> unknown;
    for (const auto& row : *rows) {
      std::string job = codec::done_key_job(row.key);
      if (!state_store_.view().jobs.count(job)) unknown.insert(std::move(job));
    }
    state_store_.read_ends({unknown.begin(), unknown.end()},
                           [this, done, rows = std::move(*rows)](const StoreResult<void>& read) {
                             if (!read) return done(std::nullopt);
                             done(count_progress(rows));
                           });
  });
}

ProgressCensus Coordinator::count_progress(const std::vector<codec::StateRow>& rows) const {
  const auto& finals = state_store_.view().finals;
  ProgressCensus census;
  for (const auto& row : rows) {
    if (finals.count(codec::done_key_job(row.key))) continue;
    if (!row.done)
      census.unreadable.push_back(row.key);
    else if (row.done->form == ProgressForm::compact)
      ++census.compact;
    else
      ++census.bits;
  }
  return census;
}

void Coordinator::plan(const StepRequest& request, std::function<void(StepPlan)> done) {
  StepPlan plan = plan_now(request);
  if (!plan.possible() || !plan.needs_census) return done(std::move(plan));
  take_census([plan = std::move(plan), done = std::move(done)](auto census) mutable {
    if (census)
      add_census(plan, *census);
    else
      plan.obstacles.push_back({"", "the stored progress could not be read"});
    done(std::move(plan));
  });
}

// --------------------------------------------------------------------------------- steps

// A request that is sent again, since its answer was lost, finds its own step.
bool Coordinator::is_done_already(const StepOrder& order) const {
  const auto& record = state_store_.view().version_record;
  return record && record->request == order.request;
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
  take_census([this, step](std::optional<ProgressCensus> census) {
    if (!census) {
      step->plan.obstacles.push_back({"", "the stored progress could not be read"});
      return end(step, StepOutcome::failed);
    }
    add_census(step->plan, *census);
    if (!step->plan.possible()) return end(step, StepOutcome::refused);
    commit_step(step);
  });
}

void Coordinator::commit_step(const PendingStep& step) {
  const StepOrder& order = step->order;
  CompareAndSwap c;
  c.nonce = state_store_.nonce();
  c.binding = VersionBinding::by_preconditions;
  c.tries = k::kStepTries;
  c.preconditions = step->preconditions;
  const Ms now = runtime_.wall();
  const codec::VersionRecord record{*step->plan.to, step->plan.from, now, order.who, order.request};
  const StepRecord history = record_of(*step, StepOutcome::taken);
  c.writes = {{codec::version_key(), codec::encode(record, c.nonce), false},
              {codec::history_key(now, c.nonce), encode_bounded(history, c.nonce), false}};
  c.done = [this, step](CasOutcome outcome, std::uint64_t) { committed(step, outcome); };
  spdlog::info("version step from={} to={} who={} request={}", to_string(step->plan.from),
               to_string(*step->plan.to), order.who, order.request);
  state_store_.compare_and_swap(std::move(c));
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
  if (!recorded && step->order.who != kAutomatic) write_record(record_of(*step, outcome));
  if (recorded) delete_old_records();
  step->done({outcome, step->plan});
}

// ------------------------------------------------------------------------------- history

StepRecord Coordinator::record_of(const Pending& step, StepOutcome outcome) const {
  StepRecord record;
  record.at = runtime_.wall();
  record.who = step.order.who;
  record.reason = step.order.reason;
  record.request = step.order.request;
  record.controller = settings_.node;
  record.action = step.plan.action;
  record.from = step.plan.from;
  record.to = step.plan.to;
  record.outcome = outcome;
  record.without = {step.order.step.without.begin(), step.order.step.without.end()};
  for (const Obstacle& obstacle : step.plan.obstacles)
    record.obstacles.push_back((obstacle.controller.empty() ? "cluster" : obstacle.controller) +
                               ": " + obstacle.what);
  return record;
}

void Coordinator::write_record(const StepRecord& record) {
  CompareAndSwap c;
  c.nonce = state_store_.nonce();
  c.request_priority = RequestPriority::fleet;
  const std::string key = codec::history_key(record.at, c.nonce);
  c.preconditions = {{key, 0}};
  c.writes = {{key, encode_bounded(record, c.nonce), false}};
  c.done = [this, request = record.request](CasOutcome outcome, std::uint64_t) {
    if (outcome != CasOutcome::ok) spdlog::warn("version step not recorded request={}", request);
    delete_old_records();
  };
  state_store_.compare_and_swap(std::move(c));
}

void Coordinator::delete_old_records() {
  state_store_.list(codec::history_prefix(), [this](auto rows) {
    if (!rows || rows->size() <= k::kHistoryKept) return;
    CompareAndSwap c;
    c.nonce = state_store_.nonce();
    c.request_priority = RequestPriority::fleet;
    const std::size_t most =
        std::min(rows->size() - k::kHistoryKept, static_cast<std::size_t>(settings_.batch()));
    for (std::size_t i = 0; i < most; ++i) {
      c.preconditions.push_back({(*rows)[i].key, (*rows)[i].revision});
      c.writes.push_back({(*rows)[i].key, "", false});
    }
    c.done = [](CasOutcome, std::uint64_t) {};
    state_store_.compare_and_swap(std::move(c));
  });
}

void Coordinator::history(std::function<void(std::optional<std::vector<StepRecord>>)> done) {
  state_store_.list(codec::history_prefix(), [done = std::move(done)](auto rows) {
    if (!rows) return done(std::nullopt);
    std::vector<StepRecord> records;
    for (const auto& row : *rows)
      if (auto record = codec::parse_step_record(row.text)) records.push_back(std::move(*record));
    done(std::move(records));
  });
}

// ----------------------------------------------------------------------------- automatic

// The cluster leader alone, and only steps that can be taken back.
void Coordinator::tick() {
  const Ms now = runtime_.now();
  if (!settings_.upgrade.automatic || now - looked_at_ < k::kAutomaticEveryMs) return;
  looked_at_ = now;
  if (!partition_leader_.is_cluster_leader() || in_flight_ || step_in_doubt_ ||
      !settings_.upgrade.windows.contains(runtime_.wall()))
    return;
  const StepRequest request{Action::advance, {}};
  const StepPlan plan = plan_now(request);
  if (!plan.possible()) return;
  step({request, plan.from, std::string(kAutomatic) + "-" + state_store_.nonce(), kAutomatic,
        "within a maintenance window"},
       [](const StepAnswer&) {});
}

}  // namespace eiderreel::upgrade
