// The vocabulary of the scheduler: what a job asks for, what a worker heartbeats, what it is told.
#pragma once
#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "constants.h"

namespace eiderreel {

enum class Priority : std::uint8_t { best_effort, standard, high, production };
enum class JobKind : std::uint8_t { array, service };
enum class JobPhase : std::uint8_t { queued, running, done, cancelled };
enum class TaskPhase : std::uint8_t { pulling, running, flushing, exited };
enum class ExitReason : std::uint8_t { none, done, stopped, error, no_room, busy, no_such };
enum class CommandType : std::uint8_t { launch, kill, clear };

struct JobSpec {
  std::string id, jobclass, team;
  JobKind kind = JobKind::array;
  Priority priority = Priority::standard;
  std::uint32_t tasks = 1;
  double cpus = 0, gpus = 0, memory_gb = 0;
  std::vector<std::string> types;  // empty: any
  std::string zone;                // empty: any
  bool one_zone = false, spread = false, spot = false;
  std::string image;
  double image_gb = 0, estimate_s = 0, checkpoint_s = 0, save_s = 0;
  std::optional<double> deadline_s;
  Ms accepted_at = 0;                      // time of day of the acceptance, as its node saw it
  std::vector<std::string> prerequisites;  // jobs that have to be done before any task starts
};

struct Team {  // what it is guaranteed, and what its tasks may use at most (infinite: no limit)
  std::string name;
  double fair_share_cpus = 0, quota_cpus = 0, fair_share_gpus = 0, quota_gpus = 0;
};

// What is expected of a class of jobs at its end: within so long, or so many times the deadline.
struct CompletionObjective {
  double within_s = 0;
  double times = 0;
};

struct MachineType {
  std::string name;
  double cpus = 0, gpus = 0, memory_gb = 0, cache_gb = 0, fetch_gb_per_s = 0;
  double price = 0, spot_price = 0, boot_s = 0;
  std::vector<std::string> zones;
};

struct TaskStatus {
  std::string job;
  std::uint32_t index = 0;
  std::uint64_t attempt = 0;
  TaskPhase phase = TaskPhase::pulling;
  ExitReason exit_reason = ExitReason::none;
};

struct Heartbeat {
  std::string machine, addr, type, zone;
  bool spot = false;
  std::uint64_t incarnation = 0, sequence = 0, fencing_token = 0;
  std::optional<double> notice_s;
  std::vector<TaskStatus> tasks;
};

struct Command {
  CommandType type = CommandType::launch;
  std::string job;
  std::uint32_t index = 0;
  std::uint64_t attempt = 0;
  double grace_s = 0;
};

struct JobStatus {
  JobPhase phase = JobPhase::queued;
  std::uint32_t done = 0, running = 0;
};

// A job that is over, and the revision of its final record.
struct FinishedJob {
  std::string id;
  JobPhase phase = JobPhase::done;
  std::uint64_t revision = 0;
};

// What a node takes of the state store: requests and changes a second.
struct StoreUsage {
  double requests = 0, changes = 0;
};

// How far the conversion of stored progress has come in the partitions of a controller.
struct ConversionProgress {
  std::uint64_t values_left = 0;       // in the form that is to go
  std::uint64_t values_converted = 0;  // by this process
  std::uint64_t unreadable = 0;        // in neither form; left as they are
  double values_per_s = 0;
};

// The type of that name; null: the catalog has none.
inline const MachineType* find_type(const std::vector<MachineType>& types,
                                    const std::string& name) {
  const auto it = std::find_if(types.begin(), types.end(),
                               [&](const MachineType& t) { return t.name == name; });
  return it == types.end() ? nullptr : &*it;
}

// Whether a machine of this type, zone and kind may ever hold a task of the job.
inline bool may_host(const JobSpec& j, const MachineType& t, const std::string& zone, bool spot) {
  if (spot && !j.spot) return false;
  if (!j.zone.empty() && j.zone != zone) return false;
  if (!j.types.empty() && std::find(j.types.begin(), j.types.end(), t.name) == j.types.end())
    return false;
  return j.cpus <= t.cpus && j.gpus <= t.gpus && j.memory_gb <= t.memory_gb;
}

}  // namespace eiderreel
