// Builds launch, kill and clear commands.
#include "scheduler/task_commands.h"

#include <cstdint>
#include <vector>

#include "constants.h"
#include "model/heartbeat.h"
#include "model/job.h"
#include "scheduler/scheduled_job.h"
#include "scheduler/scheduled_machine.h"

namespace eiderreel {

Command launch_command(const TaskKey& key, std::uint64_t attempt) {
  return {CommandType::launch, key.job, key.index, attempt, 0};
}

Command kill_command(const TaskKey& key, std::uint64_t attempt, double grace_s) {
  return {CommandType::kill, key.job, key.index, attempt, grace_s};
}

Command clear_command(const TaskKey& key, std::uint64_t attempt) {
  return {CommandType::clear, key.job, key.index, attempt, 0};
}

bool stop_task(const TaskKey& key, BoundTask& task, std::vector<Command>& commands) {
  const JobSpec& spec = task.job->spec;
  const bool saves_checkpoint = spec.checkpoint_s > 0 && task.phase == TaskPhase::running;
  const double grace_s = saves_checkpoint ? spec.save_s : 0;
  task.stop_grace_s = grace_s;
  commands.push_back(kill_command(key, task.attempt, grace_s));
  return !saves_checkpoint;
}

void TaskLauncher::start(ScheduledMachine& machine, ScheduledJob& job, Ms now,
                         std::vector<Command>& commands) {
  const std::uint32_t index = job.next_queued();
  // Invariant 2: the attempt number is the fencing token, shifted left, plus a counter.
  const std::uint64_t attempt =
      (machines_.fencing_token_of(machine) << constants::kAttemptCounterBits) + ++attempt_counter_;
  // Computed before `bind`, which counts the image as cached.
  const Ms image_fetch_ms = machine.fetch_ms(job);
  BoundTask& task = bindings_.bind(machine, job, index, attempt, TaskPhase::pulling, now);
  if (job.starved) {
    task.protected_until = now + image_fetch_ms + constants::kStarvedTaskProtectionMs;
    job.starved = false;  // the job has started: its further tasks have no precedence
    reservation_.job_started(job);
  }
  commands.push_back(launch_command({job.spec.id, index}, attempt));
}

}  // namespace eiderreel
