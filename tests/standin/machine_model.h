// What the machines of the simulated cluster are like, and what each of them holds.
#pragma once
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "constants.h"

namespace eiderreel::standin {

constexpr Ms kWorkerStep = 50;        // ms; pace of the workers
constexpr double kMachineCpus = 8;    // of every machine
constexpr double kFetchGbPerS = 1.0;  // GB a second, for images

struct SimulatedTask {
  std::uint64_t attempt = 0;
  std::string phase, exit_reason;
  double left_s = 0;
};
using SimulatedTaskKey = std::pair<std::string, std::uint32_t>;
// A machine and its worker.
struct SimulatedWorker {
  std::string id, addr, zone;
  bool spot = false;
  bool up = false, gone = false, frozen = false, sick = false, stopped = false;
  double rented_at = 0, up_at = 0, taken_at = -1;
  std::uint64_t incarnation = 1, sequence = 0, epoch = 0;
  std::map<SimulatedTaskKey, SimulatedTask> tasks;
  std::set<std::string> images;
  int node = 0;
  Ms next_heartbeat = 0, last_sent = -100000, lease_from = 0;
  Ms token_change_at = -100000;  // when a higher token last made it heartbeat at once
  bool in_flight = false, changed = false;
  std::uint64_t flight = 0;
  std::vector<std::function<void()>> unread;  // commands that came while it hung
};

}  // namespace eiderreel::standin
