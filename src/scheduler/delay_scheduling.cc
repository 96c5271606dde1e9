// How long jobs wait for which machines.
#include "scheduler/delay_scheduling.h"

#include <algorithm>

#include "constants.h"
#include "model/machine.h"
#include "scheduler/scheduled_job.h"
#include "scheduler/scheduled_machine.h"

namespace eiderreel {

// A task waits for a machine that has its image since the fetch takes far longer. A service waits
// for a machine that runs more services so that others can run empty.
bool DelayScheduling::waits_for_image(const ScheduledMachine& machine, ScheduledJob& job, Ms now) {
  const Ms waited = now - job.waiting_since;
  if (!job.is_service())
    // Until all machines have sent a heartbeat, but no longer than the fetch would take.
    return waited < std::min(machine.fetch_ms(job), policy_.heartbeat_round_ms()) &&
           totals_.free_with_image(job);
  const bool has_image = machine.images.contains(job.image);
  if (waited >= (has_image ? constants::kServicePackWaitMs : constants::kServiceImageWaitMs))
    return false;
  const ImageSurvey& survey = survey_image(job, now);
  if (!has_image) return survey.found;
  // Joining pays only where the heartbeat of such a machine is likely within the wait.
  return survey.service_machines >= constants::kMinServiceMachines &&
         machine.service_cpus < survey.most_service_cpus * constants::kFullestServiceShare;
}

// Looks at all machines, so at most once a tick for each service that waits.
const ImageSurvey& DelayScheduling::survey_image(ScheduledJob& job, Ms now) {
  if (job.image_survey && now - job.image_survey->at < constants::kTickMs) return *job.image_survey;
  ImageSurvey& survey = job.image_survey.emplace();
  survey.at = now;
  for (const auto& [id, machine] : machines_) {
    ++steps_;
    if (!machine->accepts_tasks(now) ||
        machine->service_cpus + job.spec.cpus > machine->type->cpus ||
        !machine->images.contains(job.image) ||
        !may_host(job.spec, *machine->type, machine->zone, machine->spot))
      continue;
    survey.found = true;
    survey.most_service_cpus = std::max(survey.most_service_cpus, machine->service_cpus);
    if (machine->service_cpus > 0) ++survey.service_machines;
  }
  return survey;
}

// The time in which the machines to be filled first have sent a heartbeat.
Ms DelayScheduling::pack_ms() const {
  return std::min(constants::kArrayPackWaitMs, policy_.heartbeat_round_ms());
}

// No longer than all other machines take to send a heartbeat. Services have no such time: they wait
// for machines that run services already, and no longer.
bool DelayScheduling::spares_consolidating(const ScheduledMachine& machine, const ScheduledJob& job,
                                           Ms now) const {
  if (!machine.consolidating) return false;
  const Ms longest =
      job.is_service() ? constants::kServicePackWaitMs : pack_ms() + policy_.heartbeat_round_ms();
  return now - job.waiting_since < longest;
}

// What fits on fuller machines waits for their heartbeats, so that this one runs empty: only an
// idle machine can be given to a partition in need, or returned.
bool DelayScheduling::waits_for_fuller(const ScheduledMachine& machine, const ScheduledJob& job,
                                       Ms now) const {
  return !job.is_service() && now - job.waiting_since < pack_ms() &&
         job.queued_cpus() <= totals_.free_on_fuller_machines(machine, job);
}

}  // namespace eiderreel
