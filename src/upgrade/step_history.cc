// Stores history records, with bounds on their size and their number.
#include "upgrade/step_history.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cstddef>
#include <utility>

#include "upgrade/upgrade_json.h"

namespace eiderreel::upgrade {

namespace k = constants;

StepRecord StepHistory::make_record(const StepOrder& order, const StepPlan& plan,
                                    StepOutcome outcome) const {
  StepRecord record;
  record.at = runtime_.wall_clock_now();
  record.who = order.who;
  record.reason = order.reason;
  record.request = order.request;
  record.controller = settings_.node;
  record.action = plan.action;
  record.from = plan.from;
  record.to = plan.to;
  record.outcome = outcome;
  record.without = {order.step.without.begin(), order.step.without.end()};
  for (const Obstacle& obstacle : plan.obstacles)
    record.obstacles.push_back((obstacle.controller.empty() ? "cluster" : obstacle.controller) +
                               ": " + obstacle.what);
  return record;
}

// Drops obstacles from the end of the list until the record fits into a value.
codec::Write StepHistory::make_write(StepRecord record, const std::string& nonce) {
  std::string value = codec::encode(record, nonce);
  while (value.size() > k::kMaxHistoryRecordBytes && !record.obstacles.empty()) {
    record.obstacles.pop_back();
    value = codec::encode(record, nonce);
  }
  return {codec::history_key(record.at, nonce), std::move(value), false};
}

void StepHistory::write(const StepRecord& record) {
  CompareAndSwap commit;
  commit.nonce = state_store_.nonce();
  commit.request_priority = RequestPriority::fleet;
  commit.writes = {make_write(record, commit.nonce)};
  commit.preconditions = {{commit.writes.front().key, 0}};
  commit.done = [this, request = record.request](CasOutcome outcome, std::uint64_t) {
    if (outcome != CasOutcome::ok)
      spdlog::warn("version step history record not confirmed request={}", request);
    delete_old_records();
  };
  state_store_.compare_and_swap(std::move(commit));
}

void StepHistory::delete_old_records() {
  state_store_.list(codec::history_prefix(), [this](auto rows) {
    if (!rows || rows->size() <= k::kMaxHistoryRecords) return;
    CompareAndSwap commit;
    commit.nonce = state_store_.nonce();
    commit.request_priority = RequestPriority::fleet;
    const std::size_t count =
        std::min(rows->size() - k::kMaxHistoryRecords,
                 static_cast<std::size_t>(settings_.max_transaction_writes()));
    for (std::size_t i = 0; i < count; ++i) {
      const codec::StateRow& row = (*rows)[i];
      commit.preconditions.push_back({row.key, row.revision});
      commit.writes.push_back({row.key, "", false});
    }
    commit.done = [](CasOutcome, std::uint64_t) {};
    state_store_.compare_and_swap(std::move(commit));
  });
}

void StepHistory::read(ReadDone done) {
  state_store_.list(codec::history_prefix(), [done = std::move(done)](auto rows) {
    if (!rows) return done(std::nullopt);
    std::vector<StepRecord> records;
    for (const auto& row : *rows)
      if (auto record = codec::parse_step_record(row.json_value))
        records.push_back(std::move(*record));
    done(std::move(records));
  });
}

}  // namespace eiderreel::upgrade
