// Jobs as submitted by users, and their state as reported to users.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "constants.h"

namespace eiderreel {

/// Priorities in ascending order. A job above `standard` may preempt tasks of jobs of any lower
/// priority.
enum class Priority : std::uint8_t { best_effort, standard, high, production };

/// A job array runs each of its tasks to completion; a service runs its replicas until it is
/// cancelled.
enum class JobKind : std::uint8_t { array, service };

/// The state of a job as reported to users. `done` and `cancelled` are final.
enum class JobPhase : std::uint8_t { queued, running, done, cancelled };

/// A job as its user has submitted it. The initializers are the defaults for omitted fields.
struct JobSpec {
  std::string id;
  std::string jobclass;
  std::string team;
  JobKind kind = JobKind::array;
  Priority priority = Priority::standard;
  std::uint32_t tasks = 1;  // number of tasks of an array or of replicas of a service
  // Resources that each task takes of its machine.
  double cpus = 0;
  double gpus = 0;
  double memory_gb = 0;
  std::vector<std::string> types;  // names of the allowed machine types; empty: any
  std::string zone;                // the only allowed zone; empty: any
  bool one_zone = false;           // all tasks must be in the same zone
  bool spread = false;             // at most half of the tasks, rounded up, may be in one zone
  bool spot = false;               // spot machines are allowed
  std::string image;
  double image_gb = 0;
  double estimate_s = 0;    // estimated run time of a task without image fetch; often wrong
  double checkpoint_s = 0;  // run time between checkpoints that a task takes by itself; 0: none
  double save_s = 0;        // time that a task needs to save its progress when stopped
  std::optional<double> deadline_s;  // counted from the submission
  Ms accepted_at = 0;  // wall-clock time of the acceptance, by the accepting controller's clock
  std::vector<std::string> prerequisites;  // ids of jobs that must be done before any task starts
};

/// A job's state as reported to users: its phase, and how many of its tasks are done or running.
struct JobStatus {
  JobPhase phase = JobPhase::queued;
  std::uint32_t done = 0;
  std::uint32_t running = 0;
};

/// A job in a final phase, and the store revision of its final record.
struct FinishedJob {
  std::string id;
  JobPhase phase = JobPhase::done;
  std::uint64_t revision = 0;
};

}  // namespace eiderreel
