// Fixture for the scheduler of one partition in isolation; tests pass in heartbeats and the time.
#pragma once
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "scheduler/partition_scheduler.h"

namespace eiderreel::standin {

inline constexpr std::uint64_t kToken = 10;
inline const SchedulingPolicy kLimits{10000, 1000, {{"soon", {{30, 0}}}}, {{"prompt", 60}}};

class PartitionSchedulerTest : public testing::Test {
 protected:
  PartitionScheduler partition{
      0, kToken, 0, kLimits, {{"red", 4, 12, 0, 0}, {"blue", 4, 12, 0, 0}}};
  std::uint64_t sequence = 0;

  void SetUp() override { partition.set_types({box()}); }
  // The one machine type of these tests.
  static MachineType box() {
    MachineType type;
    type.name = "box";
    type.cpus = 8;
    type.memory_gb = 64;
    type.zones = {"a", "b"};
    return type;
  }
  static JobSpec job(const std::string& id, std::uint32_t tasks = 4, const char* team = "red") {
    JobSpec spec;
    spec.id = id;
    spec.team = team;
    spec.tasks = tasks;
    spec.cpus = 1;
    spec.spot = true;
    return spec;
  }
  // The next heartbeat of a machine, under the fencing token that the partition has for it.
  Heartbeat heartbeat(const std::string& machine, std::vector<TaskStatus> tasks = {},
                      std::uint64_t fencing_token = 0, std::uint64_t incarnation = 1) {
    Heartbeat sent;
    sent.machine = machine;
    sent.addr = "w-" + machine;
    sent.type = "box";
    sent.zone = "a";
    sent.incarnation = incarnation;
    sent.sequence = ++sequence;
    sent.fencing_token = fencing_token ? fencing_token : partition.fencing_token_of(machine);
    sent.tasks = std::move(tasks);
    return sent;
  }
  // The task list of a heartbeat from a machine that has executed these launch commands.
  static std::vector<TaskStatus> running_of(const std::vector<Command>& starts) {
    std::vector<TaskStatus> out;
    for (const auto& command : starts)
      out.push_back(task(command.job, command.index, command.attempt));
    return out;
  }
  static TaskStatus task(const std::string& job, std::uint32_t index, std::uint64_t attempt,
                         TaskPhase phase = TaskPhase::running,
                         ExitReason reason = ExitReason::none) {
    return {job, index, attempt, phase, reason};
  }
};

}  // namespace eiderreel::standin
