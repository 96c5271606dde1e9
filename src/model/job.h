// Jobs as users submit and see them.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "constants.h"

namespace eiderreel {

/// In ascending order: work of a higher priority may preempt work of a lower one.
enum class Priority : std::uint8_t { best_effort, standard, high, production };

/// A job array runs each of its tasks to completion; a service runs its replicas until it is
/// cancelled.
enum class JobKind : std::uint8_t { array, service };

/// The state of a job as it is told to users. `done` and `cancelled` are final.
enum class JobPhase : std::uint8_t { queued, running, done, cancelled };

/// What a user has submitted, with the defaults of a job that asks for nothing.
struct JobSpec {
  std::string id;
  std::string jobclass;
  std::string team;
  JobKind kind = JobKind::array;
  Priority priority = Priority::standard;
  std::uint32_t tasks = 1;  // or replicas, of a service
  // What each task takes of its machine.
  double cpus = 0;
  double gpus = 0;
  double memory_gb = 0;
  std::vector<std::string> types;  // allowed machine types; empty: any
  std::string zone;                // the only allowed zone; empty: any
  bool one_zone = false;           // all tasks must be in the same zone
  bool spread = false;             // at most half of the tasks, rounded up, may be in one zone
  bool spot = false;               // spot machines are allowed
  std::string image;
  double image_gb = 0;
  double estimate_s = 0;    // run time of a task without the image fetch; often wrong
  double checkpoint_s = 0;  // progress after which a task saves by itself; 0: it never saves
  double save_s = 0;        // time that a task needs to save when it is stopped
  std::optional<double> deadline_s;        // from the submission
  Ms accepted_at = 0;                      // time of day of the acceptance, as its node saw it
  std::vector<std::string> prerequisites;  // jobs that have to be done before any task starts
};

/// What users are told of a job: its phase and its tasks that are done or run.
struct JobStatus {
  JobPhase phase = JobPhase::queued;
  std::uint32_t done = 0;
  std::uint32_t running = 0;
};

/// A job that is over, and the revision of its final record.
struct FinishedJob {
  std::string id;
  JobPhase phase = JobPhase::done;
  std::uint64_t revision = 0;
};

}  // namespace eiderreel
