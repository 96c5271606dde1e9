// Decides how long jobs wait for preferred machines.
#include "scheduler/delay_scheduling.h"

#include <algorithm>

#include "constants.h"
#include "model/machine.h"
#include "scheduler/scheduled_job.h"
#include "scheduler/scheduled_machine.h"

namespace eiderreel {

// A task waits for a machine that has its image, since fetching the image takes far longer. A
// service waits for a machine that runs more services, so that other machines can run empty.
bool DelayScheduling::waits_for_preferred_machine(const ScheduledMachine& machine,
                                                  ScheduledJob& job, Ms now) {
  const Ms waited_ms = now - job.waiting_since;
  if (!job.is_service())
    // An array waits until all machines have sent a heartbeat, but no longer than the fetch takes.
    return waited_ms < std::min(machine.fetch_ms(job), policy_.heartbeat_round_ms()) &&
           totals_.has_room_with_image(job);
  const bool has_image = machine.images.contains(job.image);
  if (waited_ms >= (has_image ? constants::kServicePackWaitMs : constants::kServiceImageWaitMs))
    return false;
  const ImageSurvey& survey = survey_image(job, now);
  if (!has_image) return survey.any_with_room;
  // Waiting pays only if enough machines run services that one of them is likely to send its
  // heartbeat during the wait.
  return survey.service_machines >= constants::kMinServiceMachines &&
         machine.service_cpus < survey.max_service_cpus * constants::kFullestServiceShare;
}

// Examines all machines of the partition, so the result is reused: each waiting service is surveyed
// at most once per tick.
const ImageSurvey& DelayScheduling::survey_image(ScheduledJob& job, Ms now) {
  if (job.image_survey && now - job.image_survey->surveyed_at < constants::kTickMs)
    return *job.image_survey;
  ImageSurvey& survey = job.image_survey.emplace();
  survey.surveyed_at = now;
  for (const auto& [id, machine] : machines_) {
    ++machines_examined_;
    if (!machine->accepts_tasks(now) ||
        machine->service_cpus + job.spec.cpus > machine->type->cpus ||
        !machine->images.contains(job.image) ||
        !may_host(job.spec, *machine->type, machine->zone, machine->spot))
      continue;
    survey.any_with_room = true;
    survey.max_service_cpus = std::max(survey.max_service_cpus, machine->service_cpus);
    if (machine->service_cpus > 0) ++survey.service_machines;
  }
  return survey;
}

// The time that an array waits for fuller machines; at most one round of heartbeats.
Ms DelayScheduling::packing_wait_ms() const {
  return std::min(constants::kArrayPackWaitMs, policy_.heartbeat_round_ms());
}

// An array waits for one more round of heartbeats than for fuller machines, so that all other
// machines have sent one. Services can't wait that long: they wait only as long as they would to
// join other services.
bool DelayScheduling::avoids_consolidating_machine(const ScheduledMachine& machine,
                                                   const ScheduledJob& job, Ms now) const {
  if (!machine.consolidating) return false;
  const Ms max_wait_ms = job.is_service() ? constants::kServicePackWaitMs
                                          : packing_wait_ms() + policy_.heartbeat_round_ms();
  return now - job.waiting_since < max_wait_ms;
}

// Tasks that fit on fuller machines wait for the heartbeats of those, so that this machine runs
// empty: only an idle machine can be moved to a partition in need or returned to the cloud.
bool DelayScheduling::waits_for_fuller_machine(const ScheduledMachine& machine,
                                               const ScheduledJob& job, Ms now) const {
  return !job.is_service() && now - job.waiting_since < packing_wait_ms() &&
         job.queued_cpus() <= totals_.free_cpus_on_fuller_machines(machine, job);
}

}  // namespace eiderreel
