// Constants of the simulated machines, and the state of a machine, its worker and its tasks.
#pragma once
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "constants.h"

namespace eiderreel::standin {

constexpr Ms kWorkerTickMs = 50;           // interval at which the workers are simulated
constexpr double kMachineCpus = 8;         // CPUs of each machine
constexpr double kImageFetchGbPerS = 1.0;  // image download rate, GB per second

struct SimulatedTask {
  std::uint64_t attempt = 0;
  std::string phase, exit_reason;
  double remaining_s = 0;
};
using SimulatedTaskKey = std::pair<std::string, std::uint32_t>;
// A machine and its worker. `reclaimed_at_s` is negative unless the cloud has given notice that it
// reclaims the machine.
struct SimulatedWorker {
  std::string id, addr, zone;
  bool spot = false;
  bool up = false, removed = false, frozen = false, faulty = false, stopped = false;
  double rented_at_s = 0, boot_done_at_s = 0, reclaimed_at_s = -1;
  std::uint64_t incarnation = 1, sequence = 0, fencing_token = 0;
  std::map<SimulatedTaskKey, SimulatedTask> tasks;
  std::set<std::string> images;
  int node = 0;
  Ms next_heartbeat = 0, last_heartbeat = -100000, lease_start = 0;
  Ms token_report_at = -100000;  // when a higher fencing token last caused an immediate heartbeat
  bool heartbeat_in_flight = false, report_due = false;
  std::uint64_t heartbeat_id = 0;
  // Requests received while the worker was frozen.
  std::vector<std::function<void()>> deferred_commands;
};

}  // namespace eiderreel::standin
