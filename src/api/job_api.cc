// Users' requests, and the lookup of jobs that are known.
#include "api/job_api.h"

#include "codec/job_json.h"
#include "runtime/http_status.h"

namespace eiderreel {

namespace k = constants;

JobApi::JobApi(Runtime& runtime, const Settings& settings, StateStoreClient& state_store,
               PartitionLeader& partition_leader)
    : runtime_(runtime),
      settings_(settings),
      state_store_(state_store),
      partition_leader_(partition_leader),
      metrics_(runtime),
      submission_(runtime, settings, state_store, partition_leader,
                  [this](const std::string& id, const Reply& reply) { look_up(id, false, reply); }),
      // Answers may come late, even to a process started since: no number is used twice.
      next_query_(static_cast<std::uint64_t>(runtime.random() * k::kFirstNumberRange)) {}

// ------------------------------------------------------------------------------ requests

void JobApi::submit(const std::string& body, Reply reply) {
  submission_.submit(body, metrics_.count_submit(std::move(reply)));
}

void JobApi::poll(const std::string& id, Reply reply) {
  look_up_valid(id, false, metrics_.count_poll(std::move(reply)));
}

void JobApi::cancel(const std::string& id, Reply reply) {
  look_up_valid(id, true, metrics_.count_cancel(std::move(reply)));
}

void JobApi::look_up_valid(const std::string& id, bool cancel, const Reply& reply) {
  if (!codec::valid_job_id(id)) return reply_error(reply, UserError::no_such_job);
  if (!state_store_.view().ready) return reply_error(reply, UserError::not_ready);
  look_up(id, cancel, reply);
}

// -------------------------------------------------------------------------------- lookup

// Invariant 8: what is final stays so and may be told from the cache. For an open job only its
// leader, while its lease is alive, or the state store itself can speak.
void JobApi::look_up(const std::string& id, bool cancel, const Reply& reply) {
  const ClusterView& view = state_store_.view();
  if (auto final_record = view.finals.find(id); final_record != view.finals.end())
    return reply_final(id, final_record->second.phase, cancel, reply);
  if (!view.jobs.contains(id)) return read_open(id, cancel, reply);
  const Ms asked_at = runtime_.now();
  query_leader(id, cancel, [this, id, cancel, asked_at, reply](JobQueryResult result) {
    if (!result) return read_open(id, cancel, reply);
    reply_open(id, cancel, {asked_at, result->status, std::move(result->body)}, reply);
  });
}

void JobApi::reply_final(const std::string& id, JobPhase phase, bool cancel, const Reply& reply) {
  reply(http_status::kOk,
        cancel ? codec::job_phase_body(id, phase) : codec::job_status_body(id, {phase, 0, 0}));
}

JobApi::OpenJobReply JobApi::queued_reply(const std::string& id, Ms asked_at) {
  return {asked_at, http_status::kOk, codec::job_status_body(id, {JobPhase::queued, 0, 0})};
}

// Invariant 8: what the leader or the state store said of an open job may have been long on its
// way. Another node may have told the user of the job's end meanwhile, and an older answer would go
// back on that. So the view is asked for the end once more. A controller whose process was stopped
// for a while may find the answer before any change that came meanwhile, so answers have a maximum
// age.
void JobApi::reply_open(const std::string& id, bool cancel, OpenJobReply answer,
                        const Reply& reply) const {
  const auto& finals = state_store_.view().finals;
  if (auto final_record = finals.find(id); final_record != finals.end())
    return reply_final(id, final_record->second.phase, cancel, reply);
  if (!cancel && runtime_.now() - answer.asked_at > k::kOpenAnswerMs)
    return reply_error(reply, UserError::answer_too_old);
  reply(answer.status, std::move(answer.body));
}

// The job's record first, then its final one: a job moves from the first to the second only.
void JobApi::read_open(const std::string& id, bool cancel, const Reply& reply) {
  const Ms asked_at = runtime_.now();
  state_store_.read(codec::job_key(id), [this, id, cancel, asked_at, reply](auto row) {
    if (!row) return reply_error(reply, UserError::store_silent);
    if (row->revision == 0) return read_final(id, cancel, reply);
    if (cancel) return reply_error(reply, UserError::cancel_unreachable);
    if (row->has_prerequisites()) return reply_waiting(id, reply);
    reply_open(id, cancel, queued_reply(id, asked_at), reply);
  });
}

void JobApi::read_final(const std::string& id, bool cancel, const Reply& reply) {
  state_store_.read(codec::final_key(id), [this, id, cancel, reply](auto row) {
    if (!row) return reply_error(reply, UserError::store_silent);
    if (row->revision == 0 || !row->final_phase) return reply_error(reply, UserError::no_such_job);
    state_store_.replica().apply(*row, true);
    reply_final(id, *row->final_phase, cancel, reply);
  });
}

// Invariant 12: the job's record is there, but a prerequisite may be cancelled, and with it the
// job. Only a view that is as new as the question can tell. The job's leader may not know yet what
// this view knows of a cancelled prerequisite. So a cancellation by prerequisite is told by the
// leader alone, or by the job's own final record.
void JobApi::reply_waiting(const std::string& id, const Reply& reply) {
  state_store_.catch_up([this, id, asked_at = runtime_.now(), reply](const auto& caught_up) {
    const ClusterView& view = state_store_.view();
    const bool ended = view.finals.contains(id);
    if (!ended && (!caught_up || !view.jobs.contains(id) || view.dependencies.cancelled(id) ||
                   state_store_.replica().is_unresolved(id)))
      return reply_error(reply, UserError::leader_unreachable);
    reply_open(id, false, queued_reply(id, asked_at), reply);
  });
}

// -------------------------------------------------------------------- the leader's answer

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
    return finish_query(answer.request_id, tl::unexpected(JobQueryError::unspecified));
  finish_query(answer.request_id, HttpReply{answer.status, answer.body});
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
