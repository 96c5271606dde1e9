// An open job in its partition's queue, and the state of its tasks.
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

/// The state of a task. `recorded`: done, and durably recorded as done.
enum class TaskState : std::uint8_t { queued, bound, done, recorded };

/// Result of a survey of all machines for a waiting service. Suitable machines are those that
/// accept tasks, have the image of the service cached, and have room for one of its tasks beside
/// the services that they run.
struct ImageSurvey {
  Ms surveyed_at = 0;           // time of the survey
  bool any_with_room = false;   // whether there is a suitable machine
  double max_service_cpus = 0;  // largest sum of the CPUs of services on a suitable machine
  int service_machines = 0;     // number of suitable machines that run services
};

/// An open job. All its tasks have the same spec and differ only in their index.
struct ScheduledJob {
  JobSpec spec;
  std::uint64_t revision = 0;
  // The job was ready before this leader claimed the partition, so tasks of it may already run on
  // unreconciled machines.
  bool predates_claim = false;
  bool finalizing = false;  // its final record is being committed
  bool cancelling = false;  // cancelled by its user; its tasks are being killed
  std::size_t team = 0;     // index of its team in `TeamUsage`
  std::size_t image = 0;    // number of its image in `ImageCatalog`

  std::vector<TaskState> tasks;
  std::uint32_t first_queued = 0;  // no task with a lower index is queued
  std::uint32_t queued = 0;
  std::uint32_t bound = 0;
  std::uint32_t running = 0;
  std::uint32_t done = 0;
  std::uint32_t unrecorded = 0;  // done, but not durably recorded

  std::map<std::string, int> zones;  // number of bound tasks by zone
  // Machines on which a task of the job failed, and the times until which they are avoided.
  std::map<std::string, Ms> avoided_machines;
  Ms not_before = 0;  // no task is started before this time; set when the job backs off
  Ms backoff_ms = 0;  // length of the last backoff after failures

  Ms ready_at = 0;      // when its last prerequisite was done, or else when it was accepted
  Ms submitted_at = 0;  // when it was accepted; its deadline counts from then
  Priority priority = Priority::standard;  // highest of its own and of its dependents
  std::optional<Ms> finish_by;             // latest end that keeps all dependent jobs on time
  std::vector<Ms> target_times;            // when it should be complete, earliest first
  int missed_objectives = 0;               // number of target times that can't be met any more
  bool has_started = false;                // a task of it has been bound to a machine
  bool starved = false;  // waited `kStarvationAgeMs` without starting: served first in its priority
  Ms latest_start = 0;   // latest start that meets the earliest reachable target
  Ms waiting_since = 0;  // since when tasks of it have been queued

  std::optional<ImageSurvey> image_survey;

  /// Whether the job is a service, whose tasks run until it is cancelled.
  bool is_service() const { return spec.kind == JobKind::service; }
  /// Whether all tasks of the job are done.
  bool is_complete() const { return done == spec.tasks; }
  /// CPUs of all queued tasks.
  double queued_cpus() const { return queued * spec.cpus; }

  /// Restores the tasks that are recorded as done; called when the job is opened.
  void restore_done(const std::vector<std::uint32_t>& indexes);
  /// Marks a task as done; no effect if it is done already.
  void set_done(std::uint32_t index);
  /// Marks those of these tasks that are done as durably recorded.
  void set_recorded(const std::vector<std::uint32_t>& indexes);
  /// The index of the first queued task. Precondition: a task is queued.
  std::uint32_t next_queued();

  /// Derives the target times from the objectives of the job's class, or else from its deadline.
  void set_target_times(const SchedulingPolicy& policy);
  /// Computes the latest start, the number of missed target times, and whether the job is starved.
  void update_urgency(Ms now);
};

}  // namespace eiderreel
