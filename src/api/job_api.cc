// Handling of users' requests, and lookup of accepted jobs.
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
      // A reply may arrive late, even after a restart of this process. A random first number keeps
      // query numbers from being reused.
      last_query_number_(
          static_cast<std::uint64_t>(runtime.random() * k::kMaxInitialRequestNumber)) {}

// ------------------------------------------------------------------------------ requests

void JobApi::submit(const std::string& body, Reply reply) {
  submission_.submit(body, metrics_.count_submit(std::move(reply)));
}

void JobApi::poll(const std::string& id, Reply reply) {
  look_up_if_valid(id, false, metrics_.count_poll(std::move(reply)));
}

void JobApi::cancel(const std::string& id, Reply reply) {
  look_up_if_valid(id, true, metrics_.count_cancel(std::move(reply)));
}

void JobApi::look_up_if_valid(const std::string& id, bool cancel, const Reply& reply) {
  if (!codec::valid_job_id(id)) return reply_error(reply, UserError::no_such_job);
  if (!state_store_.view().ready) return reply_error(reply, UserError::not_ready);
  look_up(id, cancel, reply);
}

// -------------------------------------------------------------------------------- lookup

// Invariant 8: a final state never changes, so it may be answered from the cached view. The state
// of an open job comes only from its leader, while that leader's lease is valid, or from the state
// store.
void JobApi::look_up(const std::string& id, bool cancel, const Reply& reply) {
  const ClusterView& view = state_store_.view();
  if (auto final_record = view.final_states.find(id); final_record != view.final_states.end())
    return reply_final(id, final_record->second.phase, cancel, reply);
  if (!view.jobs.contains(id)) return read_open_job(id, cancel, reply);
  const Ms requested_at = runtime_.now();
  query_leader(id, cancel, [this, id, cancel, requested_at, reply](JobQueryResult result) {
    if (!result) return read_open_job(id, cancel, reply);
    reply_open_job(id, cancel, {requested_at, result->status, std::move(result->body)}, reply);
  });
}

void JobApi::reply_final(const std::string& id, JobPhase phase, bool cancel, const Reply& reply) {
  reply(http_status::kOk,
        cancel ? codec::job_phase_body(id, phase) : codec::job_status_body(id, {phase, 0, 0}));
}

JobApi::OpenJobReply JobApi::make_queued_reply(const std::string& id, Ms requested_at) {
  return {requested_at, http_status::kOk, codec::job_status_body(id, {JobPhase::queued, 0, 0})};
}

// Invariant 8: a reply of the leader or the state store about an open job may arrive late. If
// another node has reported the job's end to the user in the meantime, the older reply would
// contradict it. So the view is checked for a final record again. A controller whose process was
// suspended may process the reply before the changes that arrived during the suspension, so replies
// also have a maximum age.
void JobApi::reply_open_job(const std::string& id, bool cancel, OpenJobReply answer,
                            const Reply& reply) const {
  const auto& finals = state_store_.view().final_states;
  if (auto final_record = finals.find(id); final_record != finals.end())
    return reply_final(id, final_record->second.phase, cancel, reply);
  if (!cancel && runtime_.now() - answer.requested_at > k::kMaxOpenAnswerAgeMs)
    return reply_error(reply, UserError::reply_too_old);
  reply(answer.status, std::move(answer.body));
}

// The job record is read before the final record: a job moves only from the former to the latter,
// so this order cannot miss both.
void JobApi::read_open_job(const std::string& id, bool cancel, const Reply& reply) {
  const Ms requested_at = runtime_.now();
  state_store_.read(codec::job_key(id), [this, id, cancel, requested_at, reply](auto row) {
    if (!row) return reply_error(reply, UserError::store_unreachable);
    if (row->revision == 0) return read_final_record(id, cancel, reply);
    if (cancel) return reply_error(reply, UserError::leader_unreachable_for_cancel);
    if (row->has_prerequisites()) return reply_job_with_prerequisites(id, reply);
    reply_open_job(id, cancel, make_queued_reply(id, requested_at), reply);
  });
}

void JobApi::read_final_record(const std::string& id, bool cancel, const Reply& reply) {
  state_store_.read(codec::final_key(id), [this, id, cancel, reply](auto row) {
    if (!row) return reply_error(reply, UserError::store_unreachable);
    if (row->revision == 0 || !row->final_phase) return reply_error(reply, UserError::no_such_job);
    state_store_.replica().apply(*row, true);
    reply_final(id, *row->final_phase, cancel, reply);
  });
}

// Invariant 12: the job has a record, but a cancelled prerequisite may have cancelled the job too.
// Only a view that is at least as new as the request can show this. The job's leader may not have
// seen a cancelled prerequisite that this view contains, so a cancellation by prerequisite is
// reported only by the leader or from the job's own final record.
void JobApi::reply_job_with_prerequisites(const std::string& id, const Reply& reply) {
  state_store_.catch_up([this, id, requested_at = runtime_.now(), reply](const auto& caught_up) {
    const ClusterView& view = state_store_.view();
    const bool has_final_record = view.final_states.contains(id);
    if (!has_final_record &&
        (!caught_up || !view.jobs.contains(id) || view.dependencies.is_cancelled(id) ||
         state_store_.replica().has_unresolved_prerequisite(id)))
      return reply_error(reply, UserError::leader_unreachable);
    reply_open_job(id, false, make_queued_reply(id, requested_at), reply);
  });
}

// -------------------------------------------------------------------------- leader query

void JobApi::query_leader(const std::string& id, bool cancel, JobQueryDone done) {
  const ClusterView& view = state_store_.view();
  const int partition = settings_.partition_of_team(view.jobs.at(id).spec.team);
  const auto entry = view.partitions.find(partition);
  if (entry == view.partitions.end()) return done(tl::unexpected(JobQueryError::unreachable));
  const std::string& leader = entry->second.leader;
  if (leader == settings_.node) return partition_leader_.query_job({0, cancel, id}, done);
  if (!partition_leader_.peer_alive(leader))
    return done(tl::unexpected(JobQueryError::unreachable));
  const std::uint64_t number = ++last_query_number_;
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

// Reply or timeout, whichever comes first, ends the query. A later one finds no pending query and
// is ignored.
void JobApi::finish_query(std::uint64_t number, JobQueryResult result) {
  const auto query = pending_queries_.find(number);
  if (query == pending_queries_.end()) return;
  const JobQueryDone done = std::move(query->second);
  pending_queries_.erase(query);
  done(std::move(result));
}

}  // namespace eiderreel
