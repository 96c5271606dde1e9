#include "api/job_api.h"

#include <spdlog/spdlog.h>

#include "codec/job_json.h"
#include "runtime/http_status.h"

namespace eiderreel {

namespace k = constants;

namespace {

void refuse(const Reply& reply, const char* why) {
  spdlog::debug("request refused why=\"{}\"", why);
  reply(503, codec::error_body(why));
}

}  // namespace

JobApi::JobApi(Runtime& runtime, const Settings& settings, StateStoreClient& state_store,
               PartitionLeader& partition_leader)
    : runtime_(runtime),
      settings_(settings),
      state_store_(state_store),
      partition_leader_(partition_leader),
      admission_(settings, state_store),
      // Answers may come late, even to a process started since: no number is used twice.
      next_query_(static_cast<std::uint64_t>(runtime.random() * k::kFirstNumberRange)) {}

Reply JobApi::counted(std::map<int, std::uint64_t>& by_status, LatencyHistogram& latency,
                      Reply reply) {
  return [this, &by_status, &latency, began = runtime_.now(), reply = std::move(reply)](
             int status, std::string body) {
    ++by_status[status];
    latency.add(runtime_.now() - began);
    reply(status, std::move(body));
  };
}

std::string JobApi::can_never_run(const JobSpec& j) const {
  const Team* team = nullptr;
  for (const auto& t : settings_.teams)
    if (t.name == j.team) team = &t;
  if (!team) return "unknown team";
  // An array needs room for one task within the limit, a service for all of them.
  const double n = j.kind == JobKind::service ? j.tasks : 1;
  if (j.cpus * n > team->quota_cpus || j.gpus * n > team->quota_gpus)
    return "the job needs more than the team's limit";
  for (const auto& t : types_)
    for (const auto& zone : t.zones)
      if (may_host(j, t, zone, false)) return "";
  return "a task fits no allowed machine type";
}

void JobApi::submit(const std::string& body, Reply r) {
  Reply reply = counted(counters_.submits, counters_.submit_latency, std::move(r));
  auto parsed = codec::parse_job(body);
  if (!parsed.spec) return reply(400, codec::error_body(parsed.error));
  JobSpec& j = *parsed.spec;
  j.accepted_at = runtime_.wall();
  const ClusterView& v = state_store_.view();
  if (!v.ready) return refuse(reply, "not ready yet");
  if (v.finals.count(j.id) || v.jobs.count(j.id)) return look_up(j.id, false, std::move(reply));
  if (!parsed.error.empty()) return refuse_if_unknown(j.id, parsed.error, std::move(reply));
  if (types_.empty()) return refuse(reply, "the machine types are not known yet");
  if (!state_store_.standby_reason().empty())
    return refuse(reply, "this controller's build does not act under the cluster version");
  if (auto why = can_never_run(j); !why.empty()) {
    spdlog::info("job refused job={} team={} why={}", j.id, j.team, why);
    return reply(422, codec::error_body(why));
  }
  // A build that knows no prerequisites would not wait for them.
  if (!j.prerequisites.empty() && partition_leader_.has_old_peer())
    return refuse(reply, "a controller of an earlier version is still running");
  spdlog::debug(
      "job submitted job={} team={} class={} tasks={} image={} image_gb={} estimate_s={} "
      "deadline_s={}",
      j.id, j.team, j.jobclass, j.tasks, j.image, j.image_gb, j.estimate_s,
      j.deadline_s.value_or(0));
  admission_.accept(j, [this, id = j.id, reply](AdmissionResult admission) {
    reply_admission(id, admission, reply);
  });
}

void JobApi::reply_admission(const std::string& id, AdmissionResult admission, const Reply& reply) {
  switch (admission) {
    case AdmissionResult::accepted:
      return reply(201, codec::job_answer(id, JobPhase::queued));
    case AdmissionResult::known:
      return look_up(id, false, reply);
    case AdmissionResult::unknown_prerequisite:
      spdlog::info("job refused job={} why=unknown-prerequisite", id);
      return reply(422, codec::error_body("a job that it awaits was never accepted"));
    case AdmissionResult::too_large:
      return reply(400, codec::error_body("the job is too large to be kept"));
    case AdmissionResult::unconfirmed:
      return refuse(reply, "the state service did not confirm; try again");
  }
}

// A known job is not refused, whatever the prerequisites of a repeated submission say.
void JobApi::refuse_if_unknown(const std::string& id, std::string error, Reply reply) {
  state_store_.find_accepted({id}, [this, id, error = std::move(error), reply](auto found) {
    if (!found) return refuse(reply, "the state service does not answer");
    if (found->empty()) return reply(400, codec::error_body(error));
    look_up(id, false, reply);
  });
}

void JobApi::poll(const std::string& id, Reply r) {
  Reply reply = counted(counters_.polls, counters_.poll_latency, std::move(r));
  if (!codec::valid_job_id(id)) return reply(404, codec::error_body("no such job"));
  if (!state_store_.view().ready) return refuse(reply, "not ready yet");
  look_up(id, false, std::move(reply));
}

void JobApi::cancel(const std::string& id, Reply r) {
  Reply reply = counted(counters_.cancels, counters_.cancel_latency, std::move(r));
  if (!codec::valid_job_id(id)) return reply(404, codec::error_body("no such job"));
  if (!state_store_.view().ready) return refuse(reply, "not ready yet");
  look_up(id, true, std::move(reply));
}

// Invariant 8: what is final stays so and may be told from the cache. For an open job only its
// leader, while its lease is alive, or the state store itself can speak.
void JobApi::look_up(const std::string& id, bool cancel, Reply reply) {
  const ClusterView& v = state_store_.view();
  if (auto final_phase = v.finals.find(id); final_phase != v.finals.end())
    return reply_final(id, final_phase->second.phase, cancel, reply);
  if (!v.jobs.count(id)) return read_open(id, cancel, std::move(reply));
  const Ms asked_at = runtime_.now();
  query_leader(id, cancel, [this, id, cancel, asked_at, reply](JobQueryResult result) {
    if (!result) return read_open(id, cancel, reply);
    reply_open(id, cancel, {asked_at, result->status, std::move(result->body)}, reply);
  });
}

void JobApi::reply_final(const std::string& id, JobPhase phase, bool cancel,
                         const Reply& reply) const {
  reply(200, cancel ? codec::job_answer(id, phase) : codec::job_status(id, {phase, 0, 0}));
}

// What the leader or the state store said of an open job may have been long on its way. Guard:
// another node may have told the user of its end meanwhile; an older answer would go back on that.
// A controller that stood still finds such an answer before any change that came meanwhile.
void JobApi::reply_open(const std::string& id, bool cancel, OpenJobReply answer,
                        const Reply& reply) const {
  const auto& finals = state_store_.view().finals;
  if (auto end = finals.find(id); end != finals.end())
    return reply_final(id, end->second.phase, cancel, reply);
  if (!cancel && runtime_.now() - answer.asked_at > k::kOpenAnswerMs)
    return refuse(reply, "the answer took too long; ask again");
  reply(answer.status, std::move(answer.body));
}

// The job's record first, then its final one: it moves from the first to the second only.
void JobApi::read_open(const std::string& id, bool cancel, Reply reply) {
  const Ms asked_at = runtime_.now();
  state_store_.read(codec::job_key(id), [this, id, cancel, asked_at, reply](auto row) {
    if (!row) return refuse(reply, "the state service does not answer");
    if (row->revision != 0) {
      if (cancel) return refuse(reply, "the job's owner cannot be reached; try again");
      if (row->has_prerequisites()) return reply_waiting(id, reply);
      return reply_open(id, cancel,
                        {asked_at, 200, codec::job_status(id, {JobPhase::queued, 0, 0})}, reply);
    }
    state_store_.read(codec::final_key(id), [this, id, cancel, reply](auto row) {
      if (!row) return refuse(reply, "the state service does not answer");
      if (row->revision == 0 || !row->final_phase)
        return reply(404, codec::error_body("no such job"));
      state_store_.replica().apply(*row, true);
      reply_final(id, *row->final_phase, cancel, reply);
    });
  });
}

// Its record is there, but a prerequisite may be cancelled, and with it the job. Only a view that
// is as new as the question can tell. Its leader may not know yet what this view knows of a
// cancelled prerequisite, so that is told by the leader alone, or by the job's own final record.
void JobApi::reply_waiting(const std::string& id, const Reply& reply) {
  state_store_.catch_up([this, id, asked_at = runtime_.now(),
                         reply](const StoreResult<void>& caught_up) {
    const ClusterView& v = state_store_.view();
    const bool ended = v.finals.count(id) > 0;
    if (!ended && (!caught_up || !v.jobs.count(id) || v.dependencies.cancelled(id) ||
                   state_store_.replica().is_unresolved(id)))
      return refuse(reply, "the job's owner cannot be reached; ask again");
    reply_open(id, false, {asked_at, 200, codec::job_status(id, {JobPhase::queued, 0, 0})}, reply);
  });
}

void JobApi::query_leader(const std::string& id, bool cancel, JobQueryDone done) {
  const ClusterView& view = state_store_.view();
  const int partition = settings_.partition_of_team(view.jobs.at(id).spec.team);
  const auto entry = view.partitions.find(partition);
  if (entry == view.partitions.end()) return done(tl::unexpected(JobQueryError::unreachable));
  const std::string& leader = entry->second.leader;
  if (leader == settings_.node) return partition_leader_.query_job({0, cancel, id}, done);
  if (!partition_leader_.peer_alive(leader))
    return done(tl::unexpected(JobQueryError::unreachable));
  const std::uint64_t number = ++next_query_;
  pending_queries_[number] = std::move(done);
  hooks_.query_peer(leader, {number, cancel, id});
  runtime_.after(k::kPeerQueryTimeoutMs, [this, number] {
    finish_query(number, tl::unexpected(JobQueryError::unreachable));
  });
}

void JobApi::on_query_reply(const peer_rpc::JobQueryReply& answer) {
  if (answer.status == http_status::kNoAnswer)
    return finish_query(answer.number, tl::unexpected(JobQueryError::unspecified));
  finish_query(answer.number, HttpReply{answer.status, answer.body});
}

// The first of answer and timeout counts; a late one finds no question.
void JobApi::finish_query(std::uint64_t number, JobQueryResult result) {
  const auto query = pending_queries_.find(number);
  if (query == pending_queries_.end()) return;
  const JobQueryDone done = std::move(query->second);
  pending_queries_.erase(query);
  done(std::move(result));
}

}  // namespace eiderreel
