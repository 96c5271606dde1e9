// Creates, checks and drops the reservation of a machine for a starved job.
#include "scheduler/reservation.h"

#include "constants.h"
#include "scheduler/machine_pool.h"
#include "scheduler/resources.h"
#include "scheduler/scheduled_job.h"
#include "scheduler/scheduled_machine.h"

namespace eiderreel {

void Reservation::update(const ScheduledMachine& machine, const UnreconciledMachines& unreconciled,
                         Ms now) {
  if (reserved_ && !still_needed(now)) reserved_.reset();
  if (reserved_) return;
  // By then every machine has sent a heartbeat since the job became starved, and none had room.
  const Ms min_wait_ms = constants::kStarvationAgeMs + policy_.heartbeat_round_ms();
  for (const ScheduledJob* job : jobs_.waiting_jobs()) {
    if (!job->starved || now - job->ready_at < min_wait_ms ||
        !rules_.may_start(machine, *job, unreconciled, now) ||
        rules_.fits(machine, *job, unreconciled))
      continue;
    const Resources services{machine.service_cpus, 0, 0};
    if (!rules_.fits_given_usage(services, machine, *job, unreconciled)) continue;
    reserved_ = ReservedMachine{machine.id, job->spec.id};
    return;
  }
}

bool Reservation::still_needed(Ms now) const {
  const ScheduledJob* job = jobs_.find(reserved_->job);
  const ScheduledMachine* machine = machines_.find(reserved_->machine);
  return job != nullptr && job->starved && !job->finalizing && machine != nullptr &&
         machine->schedulable(now);
}

bool Reservation::admits(const ScheduledMachine& machine, const ScheduledJob& job) const {
  return !reserved_ || machine.id != reserved_->machine || job.spec.id == reserved_->job ||
         job.is_service();
}

void Reservation::job_started(const ScheduledJob& job) {
  if (reserved_ && reserved_->job == job.spec.id) reserved_.reset();
}

}  // namespace eiderreel
