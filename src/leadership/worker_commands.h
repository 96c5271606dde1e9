// How commands reach the workers: in the reply to a heartbeat, at once or deferred, or by a request
// to the worker.
#pragma once
#include <string>
#include <vector>

#include "leadership/leadership_counters.h"
#include "leadership/led_partitions.h"

namespace eiderreel {

/// Sends commands of led partitions to their machines.
class WorkerCommands {
 public:
  WorkerCommands(Runtime& runtime, LedPartitions& led, LeadershipCounters& counters)
      : runtime_(runtime), led_(led), counters_(counters) {}

  /// Answers a heartbeat with these commands.
  void reply_to_heartbeat(LedPartition& led, const std::string& machine,
                          const std::vector<Command>& commands, const Reply& reply);
  /// Work has come or room has freed: answers the deferred heartbeats for which there are starts,
  /// and those that have waited long enough.
  void answer_deferred(LedPartition& led);
  /// Sends the kills that the scheduler has ready.
  void send_kills(LedPartition& led);

 private:
  void request_kill(const LeadershipTerm& term, const PartitionScheduler::KillBatch& kill);
  void retry_kills(const LeadershipTerm& term, const std::string& machine);

  Runtime& runtime_;
  LedPartitions& led_;
  LeadershipCounters& counters_;
};

}  // namespace eiderreel
