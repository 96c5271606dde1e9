// Schedules the commits about the jobs of a led partition.
#include "leadership/job_persistence.h"

namespace eiderreel {

namespace k = constants;

// While the state store does not answer, final commits are sent only at a user's request. They are
// not needed to detect that it answers again, since lease renewals are sent continually.
void JobPersistenceSchedule::tick(LedPartition& led) {
  const bool store_silent =
      runtime_.now() - state_store_.last_executed_at() >= k::kStateStoreSilenceMs;
  for (const auto& job : led.scheduler->jobs_to_record()) persist_job(led, job, store_silent);
  if (store_silent) return;
  finalizer_.commit_cancelled_while_waiting(led);
  finalizer_.commit_implied_cancellations(led);
  garbage_.collect(led);
  progress_.convert(led);
}

void JobPersistenceSchedule::persist_job(LedPartition& led, const std::string& job,
                                         bool store_silent) {
  const JobPersistence& persistence = led.persistence[job];
  if (persistence.in_flight) return;
  if (led.scheduler->is_finalizing(job) || led.scheduler->is_complete(job)) {
    if (finalizer_.retry_due(persistence) && !store_silent)
      finalizer_.commit(led, job, [](int, const std::string&) {});
  } else if (runtime_.now() - persistence.last_commit_at >= k::kProgressIntervalMs) {
    progress_.record(led, job);
  }
}

}  // namespace eiderreel
