// The jobs of the leader's partitions: how they open and close, and questions about them. What is
// written of them stands in owner_persistence.cc.
#include <spdlog/spdlog.h>

#include "codec/job_json.h"
#include "leadership/partition_leader.h"

namespace eiderreel {

namespace k = constants;

void PartitionLeader::job_opened(const std::string& id) {
  const auto& j = state_store_.view().jobs.at(id);
  LedPartition* o = led_partition(settings_.partition_of_team(j.spec.team));
  if (!o || !o->active) return;  // it will read the view
  if (state_store_.view().dependencies.waits(id)) return log_waiting(id);
  open_in(*o, id, {});
  answer_deferred(*o);
}

void PartitionLeader::log_waiting(const std::string& id) const {
  const auto& dependencies = state_store_.view().dependencies;
  const auto first = dependencies.prerequisites_of(id, 1);
  spdlog::info("job waiting job={} prerequisites={} first={} cancelled={}", id,
               dependencies.prerequisite_count(id), first.empty() ? "-" : first.front(),
               dependencies.cancelled(id));
}

// Invariant 11: the last of its prerequisites is durably done. Until now the partition knew nothing
// of the job: it took part in no limit, no fair share, no need of machines.
void PartitionLeader::job_ready(const std::string& id) {
  const auto job = state_store_.view().jobs.find(id);
  if (job == state_store_.view().jobs.end()) return;
  LedPartition* o = led_partition(settings_.partition_of_team(job->second.spec.team));
  if (!o || !o->active) return;
  spdlog::info("job ready job={} fencing_token={}", id, o->core->fencing_token());
  open_in(*o, id, {});
  // Its user has cancelled it while it waited, and that is still to be recorded.
  if (auto f = o->persistence.find(id); f != o->persistence.end() && f->second.cancel_asked)
    o->core->cancel_job(id);
  answer_deferred(*o);
}

// Opens a job that is free to start. A job that became so after our claim never had a task under an
// earlier leader, whenever it was accepted.
void PartitionLeader::open_in(LedPartition& o, const std::string& id,
                              const std::vector<std::uint32_t>& done) {
  const ClusterView& v = state_store_.view();
  const auto& job = v.jobs.at(id);
  const auto readiness = v.dependencies.readiness(id);
  const std::uint64_t free_since = readiness ? readiness->revision : job.revision;
  const bool older = free_since < o.core->fencing_token();
  const Ms ready_at = readiness ? readiness->at : job.spec.accepted_at;
  const Ms age = older || readiness ? std::max<Ms>(0, runtime_.wall() - ready_at) : 0;
  o.core->open_job(job.spec, job.revision, older, done, age,
                   std::max<Ms>(0, ready_at - job.spec.accepted_at));
  urgency_changed(id);
}

void PartitionLeader::urgency_changed(const std::string& id) {
  const auto urgency = state_store_.view().dependencies.urgency(id);
  for (auto& [partition, o] : led_partitions_) {
    if (!o.core->has_job(id)) continue;
    if (!urgency) return o.core->set_urgency(id, Priority::best_effort, std::nullopt);
    std::optional<Ms> finish_by = urgency->finish_by;
    if (finish_by) *finish_by += runtime_.now() - runtime_.wall();
    o.core->set_urgency(id, urgency->priority, finish_by);
  }
}

void PartitionLeader::job_closed(const std::string& id) {
  for (auto& [partition, o] : led_partitions_) {
    if (auto f = o.persistence.find(id); f != o.persistence.end()) {
      if (f->second.final_commit)
        for (auto& key : f->second.final_commit->left_over)
          o.garbage_keys.push_back(std::move(key));
      o.persistence.erase(f);
    }
    if (!o.core->has_job(id)) continue;
    o.core->close_job(id);
    send_kills(o);
    answer_deferred(o);
  }
}

void PartitionLeader::query_job(const peer_rpc::JobQuery& a, Reply reply) {
  const int partition = partition_of_job(a.job);
  LedPartition* o = partition < 0 ? nullptr : acting_partition(partition);
  if (!o) return reply(0, "");
  if (state_store_.view().dependencies.waits(a.job))
    return query_waiting_job(partition, a, std::move(reply));
  auto status = o->core->status(a.job);
  if (!status) return reply(0, "");
  if (!a.cancel) {
    // While a final commit may have landed, a peer may have read it and told its users. What
    // we hold to be open would then go back on that; the state store alone can tell.
    auto f = o->persistence.find(a.job);
    if (f != o->persistence.end() && f->second.final_commit) return reply(0, "");
    return reply(200, codec::job_status(a.job, *status));
  }
  // Its tasks are of no use to anyone from now on. Killed only after the commit, they went
  // on for as long as its outcome was in doubt.
  o->core->cancel_job(a.job);
  send_kills(*o);
  commit_final(partition, a.job, std::move(reply));
}

// A question about a job that waits for others. Invariant 12: its leader alone tells that it is
// cancelled by implication, so that nobody tells older news after that, and whoever owns it next
// knows all that this leader knew.
void PartitionLeader::query_waiting_job(int partition, const peer_rpc::JobQuery& a, Reply reply) {
  if (state_store_.view().dependencies.cancelled(a.job))
    return reply(200, a.cancel ? codec::job_answer(a.job, JobPhase::cancelled)
                               : codec::job_status(a.job, {JobPhase::cancelled, 0, 0}));
  LedPartition& o = led_partitions_.at(partition);
  if (a.cancel) {
    o.persistence[a.job].cancel_asked = true;
    return commit_final(partition, a.job, std::move(reply));
  }
  const auto f = o.persistence.find(a.job);
  const bool may_be_final = f != o.persistence.end() && f->second.final_commit;
  if (may_be_final || state_store_.replica().is_unresolved(a.job)) return reply(0, "");
  reply(200, codec::job_status(a.job, {JobPhase::queued, 0, 0}));
}

}  // namespace eiderreel
