// Task states and target times of an open job.
#include "scheduler/scheduled_job.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "constants.h"
#include "model/team.h"
#include "scheduler/scheduling_policy.h"

namespace eiderreel {

void ScheduledJob::restore_done(const std::vector<std::uint32_t>& indexes) {
  for (const std::uint32_t index : indexes) {
    if (index >= spec.tasks || tasks[index] != TaskState::queued) continue;
    tasks[index] = TaskState::recorded;
    --queued;
    ++done;
  }
}

void ScheduledJob::set_done(std::uint32_t index) {
  if (tasks[index] >= TaskState::done) return;
  if (tasks[index] == TaskState::queued) --queued;
  tasks[index] = TaskState::done;
  ++done;
  ++unrecorded;
}

void ScheduledJob::set_recorded(const std::vector<std::uint32_t>& indexes) {
  for (const std::uint32_t index : indexes) {
    if (tasks[index] != TaskState::done) continue;
    tasks[index] = TaskState::recorded;
    --unrecorded;
  }
}

std::uint32_t ScheduledJob::next_queued() {
  while (tasks[first_queued] != TaskState::queued) ++first_queued;
  return first_queued;
}

void ScheduledJob::set_target_times(const SchedulingPolicy& policy) {
  target_times.clear();
  const double deadline_s = spec.deadline_s.value_or(0);
  const auto add_target = [this](Ms start, double seconds) {
    if (seconds > 0) target_times.push_back(start + static_cast<Ms>(seconds * 1000));
  };
  const auto objectives = policy.completion_objectives.find(spec.jobclass);
  if (objectives != policy.completion_objectives.end())
    for (const CompletionObjective& objective : objectives->second) {
      if (objective.deadline_multiple > 0)
        add_target(submitted_at, objective.deadline_multiple * deadline_s);
      else
        add_target(ready_at, objective.within_s);
    }
  if (target_times.empty()) add_target(submitted_at, deadline_s);
  if (finish_by) target_times.push_back(*finish_by);
  std::sort(target_times.begin(), target_times.end());
}

void ScheduledJob::update_urgency(Ms now) {
  const Ms run_ms = static_cast<Ms>(spec.estimate_s * 1000) + constants::kStartAllowanceMs;
  missed_objectives = 0;
  // Limits how long a job waits for its first start, whatever its objectives are and however many
  // other jobs are more urgent.
  starved = !has_started && now - ready_at >= constants::kStarvationAgeMs;
  latest_start = ready_at + constants::kDefaultLatestStartMs;
  if (target_times.empty()) return;
  std::size_t missed = 0;
  while (missed < target_times.size() && now + run_ms > target_times[missed]) ++missed;
  missed_objectives = static_cast<int>(missed);
  latest_start = missed < target_times.size() ? target_times[missed] - run_ms : ready_at;
  const Ms target_span_ms = target_times.back() - submitted_at;
  if (target_span_ms > 0 &&
      now - submitted_at > constants::kOverdueObjectiveFactor * target_span_ms)
    missed_objectives = 0;
}

}  // namespace eiderreel
