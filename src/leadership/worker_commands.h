// Sends commands to workers: in the immediate or deferred reply to a heartbeat, or in a request to
// the worker.
#pragma once
#include <string>
#include <vector>

#include "leadership/leadership_counters.h"
#include "leadership/led_partitions.h"

namespace eiderreel {

/// Sends the commands of led partitions to their machines.
class WorkerCommands {
 public:
  WorkerCommands(Runtime& runtime, LedPartitions& led, LeadershipCounters& counters)
      : runtime_(runtime), led_partitions_(led), counters_(counters) {}

  /// Answers a heartbeat of the machine with these commands.
  void reply_to_heartbeat(LedPartition& led, const std::string& machine,
                          const std::vector<Command>& commands, const Reply& reply);
  /// Answers the deferred heartbeats of machines on which tasks can be started, and those whose
  /// deferral has ended. To be called when work arrives or room is freed.
  void answer_deferred(LedPartition& led);
  /// Sends the pending kills of the partition's scheduler.
  void send_kills(LedPartition& led);

 private:
  void request_kill(const LeadershipTerm& term, const PartitionScheduler::KillBatch& kill);
  void retry_kills(const LeadershipTerm& term, const std::string& machine);

  Runtime& runtime_;
  LedPartitions& led_partitions_;
  LeadershipCounters& counters_;
};

}  // namespace eiderreel
