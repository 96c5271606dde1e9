// Whose partition is whose: claims, votes, activation, failback and loss. What an leader does with
// the machines of a partition stands in leader.cc, what it does with its jobs in owner_jobs.cc.
#include <spdlog/spdlog.h>

#include "leadership/partition_leader.h"

namespace eiderreel {

namespace k = constants;

// Invariant 6: whoever is not surely the leader does nothing. Sure is who has a live lease, or,
// while nobody reaches the state store, the votes of all peers not to claim its partitions.
bool PartitionLeader::may_act() const {
  if (state_store_.lease_alive()) return true;
  if (state_store_.lease_id() == 0 || settings_.peers.empty()) return false;
  const Ms now = runtime_.now();
  return std::all_of(settings_.peers.begin(), settings_.peers.end(), [&](const Peer& p) {
    auto it = votes_.find(p.name);
    return it != votes_.end() && now < it->second;
  });
}

bool PartitionLeader::acting(int partition) const {
  auto it = led_partitions_.find(partition);
  return it != led_partitions_.end() && it->second.active && may_act();
}

// Asked as soon as the state store is silent, so that the votes are there when the lease
// can no longer be sure. A vote counts from the sending of the question.
void PartitionLeader::request_votes() {
  const Ms now = runtime_.now();
  if (led_partitions_.empty() || now - state_store_.last_good() < k::kStateSilentMs ||
      now - votes_requested_at_ < k::kVoteRequestEveryMs)
    return;
  votes_requested_at_ = now;
  peer_rpc::VoteRequest a;
  a.number = ++next_vote_request_;
  a.ttl = k::kVoteMs;
  a.store_revision = state_store_.view().store_revision;
  for (const auto& [partition, o] : led_partitions_)
    a.partitions.emplace_back(partition, o.core->fencing_token());
  vote_requests_[a.number] = now;
  while (vote_requests_.size() > k::kOpenVoteRequests) vote_requests_.erase(vote_requests_.begin());
  hooks_.broadcast(a);
}

void PartitionLeader::receive_vote(const std::string& node, const peer_rpc::Vote& p) {
  auto asked = vote_requests_.find(p.number);
  if (asked == vote_requests_.end() || !p.granted) return;
  // Our view stands still while votes keep us acting. What the peer may have told its
  // users we must know first: such a job's tasks went on for as long as the state store was down.
  state_store_.replica().merge_finished(p.finished);
  const Ms until =
      asked->second + static_cast<Ms>(k::kVoteMs * (1 - k::kDrift)) - k::kLeaseMarginMs;
  Ms& held = votes_[node];
  held = std::max(held, until);
}

// We vote only while we do not reach the state store either, and only to the leader that we
// last saw there. A claim of ours that may still land forbids it. An earlier process of this
// node had a lease that is ended before we have one, so none of its claims can land any more.
bool PartitionLeader::may_vote(const std::string& node, const peer_rpc::VoteRequest& a) const {
  const ClusterView& v = state_store_.view();
  const Ms now = runtime_.now();
  if (!v.ready || state_store_.lease_id() == 0 || a.ttl > k::kVoteMs ||
      now - state_store_.last_good() < k::kStateSilentMs)
    return false;
  for (const auto& [partition, revision] : a.partitions) {
    auto it = v.partitions.find(partition);
    if (it == v.partitions.end() || it->second.leader != node || it->second.revision != revision ||
        claiming_.count(partition) || claims_in_doubt_.count(partition) ||
        led_partitions_.count(partition))
      return false;
  }
  return true;
}

// With the vote goes every end of a job that the asker's view may lack; a node that has not
// followed for as long as that cannot know them all, and gives no vote.
peer_rpc::Vote PartitionLeader::vote_on(const std::string& node, const peer_rpc::VoteRequest& a) {
  // A node that the state store refused alone, before the outage, has not seen the claim
  // of the partition that it lost. It gave no vote then, and all leases of the partition ended.
  for (const auto& [partition, revision] : a.partitions)
    state_store_.replica().merge_claim(partition, node, revision);
  auto closed = state_store_.replica().finished_since(a.store_revision);
  if (!closed || !may_vote(node, a)) return {a.number, false, {}};
  const Ms until = runtime_.now() + static_cast<Ms>(a.ttl * (1 + k::kDrift));
  for (const auto& [partition, revision] : a.partitions)
    voted_until_[partition] = std::max(voted_until_[partition], until);
  return {a.number, true, std::move(*closed)};
}

// ----------------------------------------------------------- claims, failback and loss

void PartitionLeader::claim_vacant_partitions() {
  const ClusterView& v = state_store_.view();
  if (!v.ready || !state_store_.lease_alive()) return;
  const Ms now = runtime_.now();
  for (int partition = 0; partition < settings_.partition_count; ++partition) {
    if (v.partitions.count(partition) || claiming_.count(partition)) {
      vacant_since_.erase(partition);
      continue;
    }
    const Ms since = vacant_since_.emplace(partition, now).first->second;
    // Invariant 6: a vote is kept, also one that an earlier process of this node has given.
    if (now < voted_until_[partition]) continue;
    const auto last = last_leader_.find(partition);
    const bool ours = last != last_leader_.end() && last->second == settings_.node;
    if (!ours && now - started_ < k::kVoteMs + k::kLeaseMarginMs) continue;
    const std::string preferred = settings_.preferred_leader_of(partition);
    Ms wait = 0;
    if (preferred != settings_.node)
      wait = v.nodes.count(preferred) && !has_lost_workers(preferred) ? k::kClaimPreferredAliveMs
                                                                      : k::kClaimOtherMs;
    if (!hears_workers()) wait += k::kClaimWorkersLostMs;
    if (now - since >= wait) claim(partition);
  }
}

void PartitionLeader::claim(int partition) {
  claiming_.insert(partition);
  CompareAndSwap c;
  c.nonce = state_store_.nonce();
  c.preconditions = {{codec::partition_key(partition), 0}};
  c.writes = {
      {codec::partition_key(partition),
       codec::encode(codec::PartitionRecord{settings_.node, state_store_.lease_id()}, c.nonce),
       true}};
  c.request_priority = RequestPriority::urgent;
  const std::uint64_t lease_id = state_store_.lease_id();
  c.done = [this, partition, lease_id](CasOutcome o, std::uint64_t revision) {
    if (o == CasOutcome::ok && lease_id == state_store_.lease_id()) activate(partition, revision);
    // In doubt it may still land: the partition's key will tell (see part_changed). It may also
    // never land, so the partition is claimed again; a partition nobody may claim stays without
    // leader. That another claim stands there now says nothing of an earlier try without answer.
    if ((o == CasOutcome::unknown || o == CasOutcome::superseded) &&
        lease_id == state_store_.lease_id())
      claims_in_doubt_.insert(partition);
    runtime_.after(o == CasOutcome::refused ? k::kOverLimitMs : 0,
                   [this, partition] { claiming_.erase(partition); });
  };
  state_store_.compare_and_swap(std::move(c));
}

void PartitionLeader::activate(int partition, std::uint64_t revision) {
  if (led_partitions_.count(partition)) return;
  ++counters_.claims;
  spdlog::info("partition claimed partition={} fencing_token={} node={}", partition, revision,
               settings_.node);
  LedPartition& o = led_partitions_[partition];
  o.core = std::make_unique<PartitionScheduler>(
      partition, revision, runtime_.now(),
      SchedulingPolicy{static_cast<Ms>(settings_.lease_s * 1000),
                       static_cast<Ms>(settings_.heartbeat_interval_s * 1000),
                       settings_.completion_objectives, settings_.start_objectives_s,
                       static_cast<Ms>(settings_.fair_share_start_s * 1000)},
      settings_.teams_of(partition));
  o.core->set_types(types_);
  // The picture is whole once the view has our claim: nothing of the partition's changes after it
  // without us, but for new jobs and machines, which the view will tell.
  state_store_.when_applied(revision,
                            [this, partition, revision] { load_progress(partition, revision); });
}

void PartitionLeader::load_progress(int partition, std::uint64_t revision) {
  LedPartition* o = led_partition(partition);
  if (!o || o->core->fencing_token() != revision) return;
  state_store_.list(codec::done_prefix(partition), [this, partition, revision](auto rows) {
    LedPartition* o = led_partition(partition);
    if (!o || o->core->fencing_token() != revision) return;
    if (!rows) {
      runtime_.after(k::kRetryMs,
                     [this, partition, revision] { load_progress(partition, revision); });
      return;
    }
    const ClusterView& v = state_store_.view();
    std::map<std::string, std::vector<std::uint32_t>> done;
    for (const auto& r : *rows) {
      const std::string job = codec::done_key_job(r.key);
      // Progress is written under a claim: of a job accepted before ours, so one that is not open
      // is over.
      if (!v.jobs.count(job)) o->garbage_keys.push_back(r.key);
      if (!v.jobs.count(job)) continue;
      auto& stored = o->persistence[job].progress[r.key];
      stored = upgrade::stored_progress(r);
      if (stored.unreadable) {
        spdlog::error("progress unreadable key={}", r.key);
        continue;
      }
      done[job].insert(done[job].end(), r.done->tasks.begin(), r.done->tasks.end());
    }
    const Ms now = runtime_.now();
    for (const auto& [id, m] : v.machines)
      if (m.record.partition == partition)
        o->core->add_machine(id, m.revision, m.revision > revision, now);
    for (const auto& [id, j] : v.jobs)
      if (settings_.partition_of_team(j.spec.team) == partition && !v.dependencies.waits(id))
        open_in(*o, id, done[id]);
    o->active = true;
    spdlog::info("partition active partition={} fencing_token={} jobs={} machines={}", partition,
                 revision, o->core->job_count(), o->core->machine_names().size());
  });
}

void PartitionLeader::step_down(int partition, const char* reason) {
  auto it = led_partitions_.find(partition);
  if (it == led_partitions_.end()) return;
  spdlog::info("partition released partition={} fencing_token={} reason={}", partition,
               it->second.core->fencing_token(), reason);
  auto deferred = std::move(it->second.deferred);
  led_partitions_.erase(it);
  for (auto& [id, p] : deferred) p.reply(503, "");
}

void PartitionLeader::lease_lost() {
  claims_in_doubt_.clear();  // what is tethered to a lease that is over cannot land any more
  while (!led_partitions_.empty()) step_down(led_partitions_.begin()->first, "lease-lost");
}

void PartitionLeader::partition_changed(int partition) {
  LedPartition* o = led_partition(partition);
  auto it = state_store_.view().partitions.find(partition);
  if (it != state_store_.view().partitions.end()) {
    last_leader_[partition] = it->second.leader;
    // A claim of ours has landed, perhaps one that was in doubt.
    auto left = deleting_claims_.find(partition);
    if (!o && it->second.leader == settings_.node &&
        it->second.lease_id == state_store_.lease_id() &&
        (left == deleting_claims_.end() || left->second != it->second.revision))
      return activate(partition, it->second.revision);
  }
  if (!o) return;
  const bool ours = it != state_store_.view().partitions.end() &&
                    it->second.leader == settings_.node &&
                    it->second.revision == o->core->fencing_token();
  if (!ours) step_down(partition, "key-changed");
}

// Whether a partition may be given up now: the state store surely hears of it.
bool PartitionLeader::may_relinquish() const {
  return state_store_.lease_alive() &&
         runtime_.now() - state_store_.last_good() < k::kStateSilentMs;
}

// The key of a partition is deleted under guard, and another node claims it. We stop acting before
// the commit is sent, since it may land unanswered.
void PartitionLeader::relinquish(int partition, const char* reason) {
  const std::uint64_t revision = led_partitions_.at(partition).core->fencing_token();
  step_down(partition, reason);
  ++counters_.failbacks;
  deleting_claims_[partition] = revision;
  delete_claim(partition, revision);
}

// A partition whose preferred leader is up again, and hears workers, goes back to it.
void PartitionLeader::fail_back() {
  const ClusterView& v = state_store_.view();
  const Ms now = runtime_.now();
  for (auto& [partition, o] : led_partitions_) {
    const std::string preferred = settings_.preferred_leader_of(partition);
    if (preferred == settings_.node || !o.active || !may_relinquish()) continue;
    auto node = v.nodes.find(preferred);
    if (node == v.nodes.end() || now - node->second.seen < k::kFailbackAfterMs ||
        !peer_alive(preferred) || has_lost_workers(preferred))
      continue;
    relinquish(partition, "failback");
    return;  // the map has changed; one a tick is enough
  }
}

// How long no worker has been heard of. Counted by ticks, so that a process which stood still does
// not take its own absence for theirs. A node that has heard none for a moment, perhaps since it
// owns no machines, asks any of all machines.
void PartitionLeader::probe_workers() {
  const Ms now = runtime_.now();
  workers_silent_ms_ += std::min(now - std::exchange(silence_counted_at_, now), 2 * k::kTickMs);
  const auto& machines = state_store_.view().machines;
  if (machines.empty()) workers_silent_ms_ = 0;
  if (workers_silent_ms_ < static_cast<Ms>(settings_.heartbeat_interval_s * 1000 / 2) ||
      now - probed_at_ < k::kProbeEveryMs)
    return;
  probed_at_ = now;
  const auto any =
      static_cast<std::ptrdiff_t>(runtime_.random() * static_cast<double>(machines.size()));
  runtime_.http({std::next(machines.begin(), any)->second.record.addr, "GET", "/inspect", "",
                 k::kCommandTimeoutMs, true},
                [this](HttpReply r) {
                  if (r.status == 200) workers_silent_ms_ = 0;
                });
}

bool PartitionLeader::hears_workers() const {
  return workers_silent_ms_ <
         static_cast<Ms>(settings_.heartbeat_interval_s * 1000 * 5 / 4) + k::kWorkerSilenceMs;
}

// Whether a peer says that it hears no worker.
bool PartitionLeader::has_lost_workers(const std::string& node) const {
  auto it = peers_.find(node);
  return it != peers_.end() && !it->second.status.hears_workers && peer_alive(node);
}

// A controller that has lost its workers alone keeps its lease, and would keep its partitions;
// their leases would end, all of them together. It gives the partitions to a peer that hears
// workers, in time for them to find it.
void PartitionLeader::relinquish_if_workers_lost() {
  if (hears_workers() || !may_relinquish()) return;
  const bool heard =
      std::any_of(settings_.peers.begin(), settings_.peers.end(), [&](const Peer& p) {
        return peer_alive(p.name) && !has_lost_workers(p.name) &&
               state_store_.view().nodes.count(p.name);
      });
  if (!heard) return;
  for (const auto& [partition, o] : led_partitions_)
    if (o.active) {
      last_status_ = 0;  // peers should know before they see the key go
      return relinquish(partition, "workers-lost");
    }
}

// Until the deletion has surely landed the key says that the partition is ours, while nobody acts
// for it. Refused once and not sent again, it stood there for ever: all machines of the partition
// were sent from node to node and back, and no task of it started any more.
void PartitionLeader::delete_claim(int partition, std::uint64_t revision) {
  CompareAndSwap c;
  c.nonce = state_store_.nonce();
  c.preconditions = {{codec::partition_key(partition), revision}};
  c.writes = {{codec::partition_key(partition), "", false}};
  c.request_priority = RequestPriority::urgent;
  c.done = [this, partition, revision](CasOutcome o, std::uint64_t) {
    const auto& partitions = state_store_.view().partitions;
    auto it = partitions.find(partition);
    if (o == CasOutcome::ok || o == CasOutcome::conflict || it == partitions.end() ||
        it->second.revision != revision) {
      deleting_claims_.erase(partition);
      return;
    }
    runtime_.after(k::kRetryMs, [this, partition, revision] { delete_claim(partition, revision); });
  };
  state_store_.compare_and_swap(std::move(c));
}

}  // namespace eiderreel
