// Quarantine of machines and backoff of failing jobs.
#include "scheduler/machine_health.h"

#include <algorithm>

#include "constants.h"
#include "scheduler/scheduled_job.h"
#include "scheduler/scheduled_machine.h"

namespace eiderreel {
namespace {

void quarantine(ScheduledMachine& machine, Ms now) {
  machine.quarantine_ms = machine.quarantine_ms > 0
                              ? std::min(machine.quarantine_ms * 2, constants::kMaxQuarantineMs)
                              : constants::kInitialQuarantineMs;
  machine.quarantine_until = now + machine.quarantine_ms;
}

}  // namespace

// Distinguishes a faulty machine from a faulty job: once a job without a completed task has failed
// on several machines, its failures no longer count against machines, and the job backs off
// instead.
void record_failure(ScheduledMachine& machine, ScheduledJob& job, Ms now) {
  // The job avoids the machine for a limited time only: the machine may recover, and it may be the
  // only one with room.
  job.avoided_machines[machine.id] = now + constants::kMaxQuarantineMs;
  if (static_cast<int>(job.avoided_machines.size()) >= constants::kJobFailureMachines &&
      job.done == 0) {
    job.backoff_ms = job.backoff_ms > 0 ? std::min(job.backoff_ms * 2, constants::kMaxJobBackoffMs)
                                        : constants::kInitialJobBackoffMs;
    job.not_before = now + job.backoff_ms;
    return;
  }
  if (++machine.consecutive_failures < constants::kQuarantineFailures) return;
  // After the quarantine a single further failure starts the next one.
  machine.consecutive_failures = constants::kQuarantineFailures - 1;
  quarantine(machine, now);
}

void record_success(ScheduledMachine& machine) {
  machine.consecutive_failures = 0;
  machine.quarantine_ms = 0;
}

// The machine's heartbeats arrive, but the replies do not reach it. Each reply with status 200
// counts as one that may have renewed the lease, so without this count the lease would never
// expire, and the machine would be given tasks again and again. A single lost reply may be chance:
// after it the machine gets one task at a time until a heartbeat reports one.
void record_lost_reply(ScheduledMachine& machine, Ms now) {
  if (++machine.lost_replies >= constants::kInboundLossReplies) quarantine(machine, now);
}

bool has_inbound_loss(const ScheduledMachine& machine) {
  return machine.lost_replies >= constants::kInboundLossReplies;
}

bool on_trial(const ScheduledMachine& machine) {
  return machine.lost_replies > 0 || machine.quarantine_ms > 0;
}

}  // namespace eiderreel
