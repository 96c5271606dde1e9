// The order in which a submission is checked, and the replies to it.
#include "api/job_submission.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "codec/job_json.h"
#include "runtime/http_status.h"

namespace eiderreel {

JobSubmission::JobSubmission(const Runtime& runtime, const Settings& settings,
                             StateStoreClient& state_store, const PartitionLeader& partition_leader,
                             LookUp look_up)
    : runtime_(runtime),
      settings_(settings),
      state_store_(state_store),
      partition_leader_(partition_leader),
      admission_(settings, state_store),
      look_up_(std::move(look_up)) {}

// -------------------------------------------------------------------------------- checks

tl::expected<void, UserError> JobSubmission::check_can_run(const JobSpec& job) const {
  const auto team = std::find_if(settings_.teams.rbegin(), settings_.teams.rend(),
                                 [&](const Team& each) { return each.name == job.team; });
  if (team == settings_.teams.rend()) return tl::make_unexpected(UserError::unknown_team);
  // An array needs room for one task within the limit, a service for all of them.
  const double least_tasks = job.kind == JobKind::service ? job.tasks : 1;
  if (job.cpus * least_tasks > team->quota_cpus || job.gpus * least_tasks > team->quota_gpus)
    return tl::make_unexpected(UserError::over_team_limit);
  for (const auto& type : types_)
    for (const auto& zone : type.zones)
      if (may_host(job, type, zone, false)) return {};
  return tl::make_unexpected(UserError::fits_no_machine_type);
}

// Whether this node can decide on the job, and the job can run at all.
tl::expected<void, UserError> JobSubmission::check_node_admits(const JobSpec& job) const {
  if (types_.empty()) return tl::make_unexpected(UserError::machine_types_unknown);
  if (!state_store_.standby_reason().empty()) return tl::make_unexpected(UserError::standing_by);
  if (const auto can_run = check_can_run(job); !can_run) {
    spdlog::info("job refused job={} team={} why={}", job.id, job.team, text_of(can_run.error()));
    return can_run;
  }
  // A build that knows no prerequisites would not wait for them.
  if (!job.prerequisites.empty() && partition_leader_.has_old_peer())
    return tl::make_unexpected(UserError::older_peer);
  return {};
}

bool JobSubmission::is_known(const std::string& id) const {
  const ClusterView& view = state_store_.view();
  return view.finals.contains(id) || view.jobs.contains(id);
}

// ----------------------------------------------------------------------------- admission

void JobSubmission::submit(const std::string& body, const Reply& reply) {
  auto parsed = codec::parse_job(body);
  if (!parsed.spec) return reply(http_status::kBadRequest, codec::error_body(parsed.error));
  JobSpec& job = *parsed.spec;
  job.accepted_at = runtime_.wall();
  if (!state_store_.view().ready) return reply_error(reply, UserError::not_ready);
  // Idempotent request: a job that is known is told, never accepted again.
  if (is_known(job.id)) return look_up_(job.id, reply);
  if (!parsed.error.empty()) return refuse_if_unknown(job.id, parsed.error, reply);
  if (const auto admits = check_node_admits(job); !admits)
    return reply_error(reply, admits.error());
  admit(std::move(job), reply);
}

// Idempotent request: a known job is not refused, whatever the prerequisites of a repeated
// submission say.
void JobSubmission::refuse_if_unknown(const std::string& id, const std::string& error,
                                      const Reply& reply) {
  state_store_.find_accepted({id}, [this, id, error, reply](const auto& found) {
    if (!found) return reply_error(reply, UserError::store_silent);
    if (found->empty()) return reply(http_status::kBadRequest, codec::error_body(error));
    look_up_(id, reply);
  });
}

void JobSubmission::admit(JobSpec job, const Reply& reply) {
  spdlog::debug(
      "job submitted job={} team={} class={} tasks={} image={} image_gb={} estimate_s={} "
      "deadline_s={}",
      job.id, job.team, job.jobclass, job.tasks, job.image, job.image_gb, job.estimate_s,
      job.deadline_s.value_or(0));
  const std::string id = job.id;
  admission_.accept(std::move(job), [this, id, reply](const AdmissionResult& result) {
    reply_admission(id, result, reply);
  });
}

void JobSubmission::reply_admission(const std::string& id, const AdmissionResult& result,
                                    const Reply& reply) {
  if (result) {
    if (*result == Admission::known_before) return look_up_(id, reply);
    return reply(http_status::kCreated, codec::job_phase_body(id, JobPhase::queued));
  }
  switch (result.error()) {
    case AdmissionFailure::unknown_prerequisite:
      spdlog::info("job refused job={} why=unknown-prerequisite", id);
      return reply_error(reply, UserError::unknown_prerequisite);
    case AdmissionFailure::too_large:
      return reply_error(reply, UserError::record_too_large);
    case AdmissionFailure::unconfirmed:
      return reply_error(reply, UserError::store_unconfirmed);
  }
}

}  // namespace eiderreel
