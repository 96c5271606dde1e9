// The quarantine of machines.
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

// A machine that fails everything is told apart from a job that fails everywhere: a job that
// failed on several machines no longer counts against machines, and pauses itself instead.
void record_failure(ScheduledMachine& machine, ScheduledJob& job, Ms now) {
  // Not for ever; the machine may be well again, and the only one with room.
  job.avoided_machines[machine.id] = now + constants::kMaxQuarantineMs;
  if (static_cast<int>(job.avoided_machines.size()) >= constants::kJobFailureMachines &&
      job.done == 0) {
    job.backoff = job.backoff > 0 ? std::min(job.backoff * 2, constants::kMaxJobBackoffMs)
                                  : constants::kInitialJobBackoffMs;
    job.not_before = now + job.backoff;
    return;
  }
  if (++machine.errors < constants::kQuarantineFailures) return;
  // After the quarantine a single failure begins the next one.
  machine.errors = constants::kQuarantineFailures - 1;
  quarantine(machine, now);
}

void record_success(ScheduledMachine& machine) {
  machine.errors = 0;
  machine.quarantine_ms = 0;
}

// The heartbeats of the machine arrive, but our answers do not reach it. Each 200 counts as an
// answer that it may have had, so its lease would never seem over, and it would be given tasks
// again and again. One lost answer proves nothing: it then gets one task at a time until one shows.
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
