// The settings of the schedulers of all partitions.
#pragma once
#include <map>
#include <string>
#include <vector>

#include "constants.h"
#include "model/team.h"

namespace eiderreel {

/// Defaults for settings that the configuration omits.
constexpr Ms kDefaultLeaseMs = 10000;
constexpr Ms kDefaultFairShareStartMs = 5000;

/// Scheduling settings made by the operators; the same for every partition.
struct SchedulingPolicy {
  Ms lease_ms = kDefaultLeaseMs;
  Ms heartbeat_interval_ms = 1000;
  std::map<std::string, std::vector<CompletionObjective>> completion_objectives;  // by job class
  std::map<std::string, double> start_objectives_s;  // time until the start, by job class
  // Objective for the wait of work within a fair share until it starts.
  Ms fair_share_start_ms = kDefaultFairShareStartMs;

  /// The time within which every machine sends a heartbeat. An actual interval is at most a quarter
  /// longer than `heartbeat_interval_ms`.
  Ms heartbeat_round_ms() const { return heartbeat_interval_ms * 5 / 4; }
};

}  // namespace eiderreel
