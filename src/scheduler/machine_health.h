// Health of machines: task failures, and replies that do not reach the machine.
#pragma once
#include "constants.h"
#include "scheduler/scheduled_job.h"
#include "scheduler/scheduled_machine.h"

namespace eiderreel {

/// Records that a task of the job failed on this machine. The job avoids the machine for a while;
/// besides, either the job backs off, or the failure counts towards a quarantine of the machine.
void record_failure(ScheduledMachine& machine, ScheduledJob& job, Ms now);

/// Records that a task succeeded on this machine: resets its failure count and quarantine time.
void record_success(ScheduledMachine& machine);

/// Records that a reply to this machine was lost: a heartbeat shows no effect of it.
void record_lost_reply(ScheduledMachine& machine, Ms now);

/// Whether so many replies in a row were lost that the machine is taken to receive none.
bool has_inbound_loss(const ScheduledMachine& machine);

/// Whether the machine is on trial: it gets one task at a time until replies arrive and a task
/// succeeds again.
bool on_trial(const ScheduledMachine& machine);

}  // namespace eiderreel
