// A job in its partition's queue, and the state of its tasks.
#pragma once
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "constants.h"
#include "model/job.h"
#include "scheduler/scheduling_policy.h"

namespace eiderreel {

/// The state of a task. `recorded`: done, and durably so.
enum class TaskState : std::uint8_t { queued, bound, done, recorded };

/// Which machines have the image of a service that waits, and room that no service takes.
struct ImageSurvey {
  Ms at = 0;  // when they were looked at
  bool found = false;
  double most_service_cpus = 0;  // the most that services take on one of them
  int service_machines = 0;      // those that run services
};

/// An open job. All its tasks are alike, so that they are told apart by their index alone.
struct ScheduledJob {
  JobSpec spec;
  std::uint64_t revision = 0;
  bool predates_claim = false;  // its tasks may run on machines that are not reconciled
  bool finalizing = false;      // a final commit is on its way
  bool cancelling = false;
  std::size_t team = 0;   // its index in `TeamUsage`
  std::size_t image = 0;  // its number in `ImageCatalog`

  std::vector<TaskState> tasks;
  std::uint32_t first_queued = 0;  // no task below this one is queued
  std::uint32_t queued = 0;
  std::uint32_t bound = 0;
  std::uint32_t running = 0;
  std::uint32_t done = 0;
  std::uint32_t unrecorded = 0;  // done, but not durably so

  std::map<std::string, int> zones;            // bound tasks by zone
  std::map<std::string, Ms> avoided_machines;  // those it failed on, and until when it avoids them
  Ms not_before = 0;
  Ms backoff = 0;

  Ms ready = 0;      // when it was free to start; its acceptance, if it has no prerequisites
  Ms submitted = 0;  // its deadline counts from here
  Priority priority = Priority::standard;  // its own, or that of a job which waits for it
  std::optional<Ms> finish_by;             // so that the jobs which wait for it are in time
  std::vector<Ms> target_times;            // when it should be complete, the tightest first
  int missed_objectives = 0;               // objectives that it can no longer meet
  bool has_started = false;                // a task of it has been on a machine
  bool starved = false;                    // it has waited too long for that: it goes first
  Ms latest_start = 0;
  Ms waiting_since = 0;  // when the first of its queued tasks began to wait

  std::optional<ImageSurvey> image_survey;

  /// Whether its tasks run until it is cancelled.
  bool is_service() const { return spec.kind == JobKind::service; }
  /// Whether all its tasks are done.
  bool is_complete() const { return done == spec.tasks; }
  /// CPUs of all tasks that wait.
  double queued_cpus() const { return queued * spec.cpus; }

  /// Takes over the tasks that are recorded as done, when the job is opened.
  void restore_done(const std::vector<std::uint32_t>& indexes);
  /// Marks a task as done, if it is not yet.
  void set_done(std::uint32_t index);
  /// Marks tasks that are done as recorded.
  void set_recorded(const std::vector<std::uint32_t>& indexes);
  /// The first task that waits. There must be one.
  std::uint32_t next_queued();

  /// Derives the target times from the objectives of the job's class, or else from its deadline.
  void set_target_times(const SchedulingPolicy& policy);
  /// Works out by when the job must start, and which objectives it misses.
  void update_urgency(Ms now);
};

}  // namespace eiderreel
