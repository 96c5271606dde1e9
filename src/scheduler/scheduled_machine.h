// The scheduler's state of one machine of a partition, and the tasks bound to it.
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

/// Identifies a task: its job and its index in that job.
struct TaskKey {
  std::string job;
  std::uint32_t index = 0;
  bool operator<(const TaskKey& other) const {
    const int by_job = job.compare(other.job);
    return by_job < 0 || (by_job == 0 && index < other.index);
  }
};

/// A task that is bound to a machine: it runs there, or its launch has been sent.
struct BoundTask {
  ScheduledJob* job = nullptr;  // null for an orphan, which is to be killed
  std::uint64_t attempt = 0;
  TaskPhase phase = TaskPhase::pulling;
  Resources resources;  // what the task uses; an orphan's counts until it is proven gone
  std::optional<std::size_t> team;  // index in `TeamUsage`; `nullopt` if its job is unknown
  bool service = false;
  bool reported = false;  // whether a heartbeat has reported it
  Ms estimated_end = 0;   // end of the task by its submitter's estimate
  // Set once the task has been sent a kill: the seconds it has to save a checkpoint.
  std::optional<double> stop_grace_s;
  Ms protected_until = 0;  // not preempted before; set for the first task of a starved job
};

/// How full a machine is. Tasks are placed on machines of a higher level first. `services`: the
/// machine runs services, however full it is.
enum class FillLevel : std::uint8_t { idle, below_half, at_least_half, services };
constexpr std::size_t kFillLevelCount = 4;

/// A machine of the partition.
struct ScheduledMachine {
  std::string id;
  std::string addr;  // IP:PORT of its worker
  std::string zone;
  std::string type_name;
  std::uint64_t revision = 0;  // of the key that assigns the machine to the partition
  bool spot = false;
  const MachineType* type = nullptr;  // null if it is not in the catalog

  // Whether all its tasks are known: it has sent a heartbeat with this leader's fencing token, or
  // was assigned after the claim.
  bool reconciled = false;
  bool heartbeat_received = false;
  bool transferring = false;   // being transferred out of the partition
  bool lease_expired = false;  // only a heartbeat with a new incarnation is accepted
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;
  Ms last_ok_reply_at = 0;  // latest time at which any leader can have replied with status 200
  Ms last_heartbeat = 0;
  Ms idle_since = 0;
  std::optional<Ms> reclaim_at;  // when the cloud reclaims the machine, if it has given notice

  Ms cordoned_until = 0;
  Ms drain_until = 0;
  bool consolidating = false;  // to run empty: gets tasks only if no other machine can take them

  std::map<TaskKey, BoundTask> tasks;
  Resources used;                   // sum over all tasks, orphans included
  double service_cpus = 0;          // the part of the used CPUs that services use
  double largest_service_cpus = 0;  // CPUs of the largest service task bound so far
  int unknown_tasks = 0;         // number of tasks whose job was not open when they were reported
  std::set<std::size_t> images;  // images that are cached, or being fetched for a task

  int consecutive_failures = 0;  // task failures since the last success
  Ms quarantine_until = 0;
  Ms quarantine_ms = 0;  // length of the last quarantine; 0 after a task success
  // Signs that replies do not reach the machine: consecutive lost replies, and replies that
  // announced a fencing token which its heartbeats still lack.
  int lost_replies = 0;
  int token_announcements = 0;
  Ms first_announced_at = 0;  // time of the first of these token announcements

  /// Whether tasks may be started on the machine, cordons aside.
  bool schedulable(Ms now) const;
  /// Whether the machine is schedulable and not cordoned.
  bool accepts_tasks(Ms now) const { return schedulable(now) && cordoned_until <= now; }
  /// The machine's fill level.
  FillLevel fill_level() const;
  /// CPUs that are kept free for further services.
  double service_headroom_cpus() const;
  /// When all tasks of the machine will have ended, by the submitters' estimates; 0 if it has none.
  Ms empty_at() const;
  /// When all its array tasks will have ended, by the submitters' estimates; services don't count,
  /// as they can be moved.
  Ms arrays_end_at() const;
  /// How long the machine would take to fetch the job's image; 0 if it is cached, or if the fetch
  /// rate is unknown.
  Ms fetch_ms(const ScheduledJob& job) const;
};

}  // namespace eiderreel
