// Machines that fail tasks, and machines that our answers do not reach.
#pragma once
#include "constants.h"
#include "scheduler/scheduled_job.h"
#include "scheduler/scheduled_machine.h"

namespace eiderreel {

/// A task of the job has failed on this machine: one of them is avoided or paused for a while.
void record_failure(ScheduledMachine& machine, ScheduledJob& job, Ms now);

/// A task has ended well on this machine.
void record_success(ScheduledMachine& machine);

/// An answer to this machine has left no trace.
void record_lost_reply(ScheduledMachine& machine, Ms now);

/// Whether so many answers were lost that the machine surely receives none.
bool has_inbound_loss(const ScheduledMachine& machine);

/// Whether the machine gets one task at a time until it has shown that it is well.
bool on_trial(const ScheduledMachine& machine);

}  // namespace eiderreel
