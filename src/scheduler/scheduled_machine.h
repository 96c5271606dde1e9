// A machine as its partition's scheduler sees it, and the tasks bound to it.
#pragma once
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "constants.h"
#include "model/heartbeat.h"
#include "model/machine.h"
#include "scheduler/resources.h"
#include "scheduler/scheduled_job.h"

namespace eiderreel {

/// A task by its job and its index in that job.
struct TaskKey {
  std::string job;
  std::uint32_t index = 0;
  bool operator<(const TaskKey& other) const {
    const int by_job = job.compare(other.job);
    return by_job < 0 || (by_job == 0 && index < other.index);
  }
};

/// A task on a machine, or sent to it.
struct BoundTask {
  ScheduledJob* job = nullptr;  // null: an orphan, to be killed
  std::uint64_t attempt = 0;
  TaskPhase phase = TaskPhase::pulling;
  Resources size;                   // kept by an orphan until it is gone
  std::optional<std::size_t> team;  // index in `TeamUsage`; none if its job is unknown
  bool service = false;
  bool seen = false;  // a heartbeat has shown it
  Ms ends = 0;        // by its submitter's estimate
  // Set once it has been told to stop: the time in seconds that it was given to save.
  std::optional<double> stop_grace_s;
  Ms kept_until = 0;  // the first task of a job that starved is not preempted before
};

/// How full a machine is, in steps: the higher, the sooner it is filled further.
enum class FillLevel : std::uint8_t { idle, emptier, fuller, services };
constexpr std::size_t kFillLevels = 4;

/// A machine of the partition.
struct ScheduledMachine {
  std::string id;
  std::string addr;  // IP:PORT of its worker
  std::string zone;
  std::string type_name;
  std::uint64_t revision = 0;  // of the key that assigns it to the partition
  bool spot = false;
  const MachineType* type = nullptr;  // null: not in the catalog

  bool reconciled = false;  // has sent a heartbeat under our fencing token (or is fresh)
  bool heartbeat_received = false;
  bool transferring = false;   // on its way out of the partition
  bool lease_expired = false;  // a new incarnation must appear
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;
  Ms last_reply = 0;  // the last 200 anyone could have given
  Ms last_heartbeat = 0;
  Ms idle_since = 0;
  std::optional<Ms> taken_at;  // when the cloud takes it away, once it has given notice

  Ms cordoned_until = 0;
  Ms drain_until = 0;
  bool consolidating = false;  // takes work only when no other machine can, so that it runs empty

  std::map<TaskKey, BoundTask> tasks;
  Resources taken;
  double service_cpus = 0;       // the part of the taken CPUs that services have
  double service_size = 0;       // CPUs of the largest service here
  int unknown_tasks = 0;         // tasks of jobs that we do not know
  std::set<std::size_t> images;  // those that a task here has had, or has been sent for

  int errors = 0;  // failures of tasks without a success between them
  Ms quarantine_until = 0;
  Ms quarantine_ms = 0;  // length of the last quarantine; 0: healthy since
  // Signs that answers do not reach the machine: those in a row that left no trace, and those that
  // told a fencing token which its heartbeats do not show.
  int lost_replies = 0;
  int token_announcements = 0;
  Ms first_announced_at = 0;  // the first of the latter

  /// Whether tasks may be started here at all.
  bool schedulable(Ms now) const;
  /// The same, but for a machine that is cordoned.
  bool accepts_tasks(Ms now) const { return schedulable(now) && cordoned_until <= now; }
  /// How full the machine is, in steps.
  FillLevel fill_level() const;
  /// CPUs kept free for the next services.
  double service_headroom() const;
  /// When all that runs here will have ended, by the submitters' estimates.
  Ms empty_at() const;
  /// The same of the arrays alone: services can be moved.
  Ms arrays_end() const;
  /// How long the machine would take to fetch the job's image; 0 if it has it.
  Ms fetch_ms(const ScheduledJob& job) const;
};

}  // namespace eiderreel
