#include "leadership/partition_leader.h"

#include <spdlog/spdlog.h>

#include "codec/worker_json.h"

namespace eiderreel {

namespace k = constants;

PartitionLeader::PartitionLeader(Runtime& runtime, const Settings& settings,
                                 StateStoreClient& state_store)
    : runtime_(runtime),
      settings_(settings),
      state_store_(state_store),
      started_(runtime.now()),
      next_vote_request_(static_cast<std::uint64_t>(runtime.random() * 9e15)),
      conversion_rate_limiter_(settings.upgrade.conversion_share * settings.state_write_rps /
                               static_cast<double>(settings.peers.size() + 1)) {}

Reply PartitionLeader::LedPartition::take_deferred(const std::string& machine) {
  auto it = deferred.find(machine);
  if (it == deferred.end()) return nullptr;
  Reply reply = std::move(it->second.reply);
  deferred.erase(it);
  return reply;
}

PartitionLeader::LedPartition* PartitionLeader::led_partition(int partition) {
  auto it = led_partitions_.find(partition);
  return it == led_partitions_.end() ? nullptr : &it->second;
}

PartitionLeader::LedPartition* PartitionLeader::acting_partition(int partition) {
  return acting(partition) ? led_partition(partition) : nullptr;
}

int PartitionLeader::partition_of_job(const std::string& id) const {
  auto it = state_store_.view().jobs.find(id);
  return it == state_store_.view().jobs.end() ? -1
                                              : settings_.partition_of_team(it->second.spec.team);
}

bool PartitionLeader::peer_alive(const std::string& node) const {
  auto it = peers_.find(node);
  return it != peers_.end() && runtime_.now() - it->second.at < k::kStatusStaleMs;
}

bool PartitionLeader::has_old_peer() const {
  const auto& nodes = state_store_.view().nodes;
  return std::any_of(settings_.peers.begin(), settings_.peers.end(), [&](const Peer& p) {
    const auto node = nodes.find(p.name);
    const auto peer = peers_.find(p.name);
    return (node != nodes.end() && node->second.record.features == 0) ||
           (peer_alive(p.name) && peer->second.status.features == 0);
  });
}

std::map<int, PartitionLoad> PartitionLeader::partition_loads() const {
  std::map<int, PartitionLoad> out;
  const Ms now = runtime_.now();
  for (const auto& [name, p] : peers_)
    if (now - p.at < k::kStatusStaleMs)
      for (const auto& [partition, n] : p.status.partition_loads) out[partition] = n;
  for (const auto& [partition, o] : led_partitions_)
    if (acting(partition)) out[partition] = o.core->load(now);
  return out;
}

std::vector<int> PartitionLeader::unheard_partitions() const {
  const auto heard = partition_loads();
  std::vector<int> out;
  for (int partition = 0; partition < settings_.partition_count; ++partition)
    if (!heard.count(partition)) out.push_back(partition);
  return out;
}

std::map<int, const PartitionScheduler*> PartitionLeader::partitions() const {
  std::map<int, const PartitionScheduler*> out;
  for (const auto& [partition, o] : led_partitions_) out[partition] = o.core.get();
  return out;
}

// ------------------------------------------------------------------------------ heartbeats

void PartitionLeader::heartbeat(const Heartbeat& r, Reply reply) {
  ++counters_.reports;
  workers_silent_ms_ = 0;
  // A newer heartbeat of the worker: it no longer waits for the answer to the held one.
  if (auto held = held_heartbeats_.find(r.machine); held != held_heartbeats_.end()) {
    auto old = std::move(held->second.reply);
    held_heartbeats_.erase(held);
    old(503, "");
  }
  dispatch(r, std::move(reply));
}

void PartitionLeader::dispatch(const Heartbeat& r, Reply reply) {
  const ClusterView& v = state_store_.view();
  if (!v.ready) return reply(503, "");
  auto m = v.machines.find(r.machine);
  if (m == v.machines.end()) {
    if (is_cluster_leader()) return hooks_.assign(r, std::move(reply));
    return redirect(r, 0, std::move(reply));
  }
  if (m->second.record.partition < 0) return reply(503, "");  // released; it is being returned
  LedPartition* o = acting_partition(m->second.record.partition);
  if (!o) return redirect(r, m->second.record.partition, std::move(reply));
  // A newer heartbeat of the worker: it no longer waits for the answer to the deferred one.
  if (auto old = o->take_deferred(r.machine)) old(503, "");
  const Ms now = runtime_.now();
  HeartbeatReply a = o->core->on_heartbeat(r, now);
  if (a.verdict == HeartbeatVerdict::stale) {
    ++counters_.stale_heartbeats;
    return reply(503, "");
  }
  if (r.fencing_token < a.fencing_token)
    return reply_to_heartbeat(*o, r.machine, std::move(a.commands), std::move(reply));
  auto starts = o->core->place_tasks(r.machine, now);
  a.commands.insert(a.commands.end(), starts.begin(), starts.end());
  const Ms defer = a.commands.empty() ? o->core->defer_ms(r.machine) : 0;
  if (defer > 0) {
    ++counters_.deferred;
    o->deferred[r.machine] = {std::move(reply), now + defer};
    return;
  }
  reply_to_heartbeat(*o, r.machine, std::move(a.commands), std::move(reply));
}

// Whether the node that owns a partition, or led it last, is a peer that is not heard of.
bool PartitionLeader::leader_silent(int partition) const {
  const auto leader = last_leader_.find(partition);
  return leader != last_leader_.end() && leader->second != settings_.node &&
         !peer_alive(leader->second);
}

// A worker that is sent to an leader that has stopped waits 4 s for it, for the second time,
// and its lease ends. Where the leader is silent, the heartbeat is held for a failover.
void PartitionLeader::redirect(const Heartbeat& r, int partition, Reply reply) {
  if (!leader_silent(partition)) return redirect_to_leader(partition, reply);
  held_heartbeats_[r.machine] = {r, partition, std::move(reply),
                                 runtime_.now() + k::kHoldHeartbeatMs};
}

void PartitionLeader::redirect_to_leader(int partition, const Reply& reply) const {
  const auto& partitions = state_store_.view().partitions;
  auto it = partitions.find(partition);
  if (it == partitions.end() || it->second.leader == settings_.node) return reply(503, "");
  reply(421, codec::upstream_body(it->second.leader));
}

// Held heartbeats go where they belong once that is known. Silence is no proof that the leader has
// stopped, so in the end its name is told all the same.
void PartitionLeader::release_held_heartbeats() {
  std::vector<HeldHeartbeat> ready;
  for (auto it = held_heartbeats_.begin(); it != held_heartbeats_.end();) {
    if (leader_silent(it->second.partition) && runtime_.now() < it->second.until) {
      ++it;
      continue;
    }
    ready.push_back(std::move(it->second));
    it = held_heartbeats_.erase(it);
  }
  for (HeldHeartbeat& held : ready) {
    if (leader_silent(held.partition))
      redirect_to_leader(held.partition, held.reply);
    else
      dispatch(held.heartbeat, std::move(held.reply));
  }
}

void PartitionLeader::reply_to_heartbeat(LedPartition& o, const std::string& machine,
                                         std::vector<Command> commands, Reply reply) {
  counters_.preemptions += o.core->take_preemptions();
  for (const auto& order : commands)
    if (order.type == CommandType::launch) {
      ++counters_.starts;
      spdlog::debug("task start job={} task={} attempt={} machine={} fencing_token={}", order.job,
                    order.index, order.attempt, machine, o.core->fencing_token_of(machine));
    }
  o.core->heartbeat_answered(machine, runtime_.now());
  reply(200, codec::heartbeat_reply_body(o.core->fencing_token_of(machine), commands));
}

// Work has come or room has freed: the deferred machines are looked at, one by one. Invariant 6,
// guard: whoever has stood still finds changes of the state store before its own pace, and the
// lease may be over by then.
void PartitionLeader::answer_deferred(LedPartition& o) {
  if (!acting(o.core->index())) return;
  const Ms now = runtime_.now();
  std::vector<std::pair<std::string, std::vector<Command>>> ready;
  const bool waiting = o.core->has_waiting();
  std::vector<std::string> ids;
  for (const auto& [id, p] : o.deferred) ids.push_back(id);
  if (waiting) ids = o.core->fullest_first(std::move(ids));
  for (const auto& id : ids) {
    const DeferredReply& p = o.deferred.at(id);
    auto starts = waiting ? o.core->place_tasks(id, now) : std::vector<Command>{};
    if (!starts.empty() || p.until <= now) ready.emplace_back(id, std::move(starts));
  }
  for (auto& [id, starts] : ready) {
    reply_to_heartbeat(o, id, std::move(starts), o.take_deferred(id));
  }
}

// Invariant 6: without a lease they are kept until the leader is sure of it again, or drops the
// partition.
void PartitionLeader::send_kills(LedPartition& o) {
  if (!acting(o.core->index())) return;
  for (auto& kill : o.core->take_kills()) {
    // A worker that waits for its answer hears of it there; the others by /commands.
    if (auto reply = o.take_deferred(kill.machine)) {
      reply_to_heartbeat(o, kill.machine, std::move(kill.commands), std::move(reply));
      continue;
    }
    const int partition = o.core->index();
    runtime_.http({kill.addr, "POST", "/commands",
                   codec::commands_body(kill.fencing_token, kill.incarnation, kill.commands),
                   k::kCommandTimeoutMs, true},
                  [this, partition, machine = kill.machine,
                   fencing_token = o.core->fencing_token()](HttpReply r) {
                    // Its next heartbeat tells what came of it. Without an answer it may be
                    // mute, and hear of the kill in no other way.
                    if (r.status == 0) retry_kills(partition, fencing_token, machine);
                  });
  }
}

void PartitionLeader::retry_kills(int partition, std::uint64_t fencing_token,
                                  const std::string& machine) {
  runtime_.after(k::kRetryMs, [this, partition, fencing_token, machine] {
    LedPartition* o = acting_partition(partition);
    if (!o || o->core->fencing_token() != fencing_token) return;
    o->core->retry_kills(machine);
    send_kills(*o);
  });
}

void PartitionLeader::machines_terminated(const std::vector<std::string>& machines) {
  for (auto& [partition, o] : led_partitions_)
    for (const auto& id : machines)
      if (o.core->has_machine(id)) {
        spdlog::info("machine lost machine={} partition={} proof=cloud", id, partition);
        o.core->machine_terminated(id, runtime_.now());
      }
}

void PartitionLeader::machine_changed(const std::string& id) {
  const ClusterView& v = state_store_.view();
  auto it = v.machines.find(id);
  const int partition = it == v.machines.end() ? -1 : it->second.record.partition;
  for (auto& [p, o] : led_partitions_) {
    if (!o.active) continue;  // it will read the view
    if (p == partition) {
      o.core->add_machine(id, it->second.revision, it->second.revision > o.core->fencing_token(),
                          runtime_.now());
    } else if (o.core->has_machine(id)) {
      // Given away by our own commit, idle; or released. Nothing of ours is on it.
      if (auto reply = o.take_deferred(id)) reply(503, "");
      o.core->remove_machine(id);
    }
  }
}

// The cluster leader's advice. Invariant 3: only the leader gives machines away, idle, under guard.
// Those that go are decided as a class, in as few transactions as the state store allows.
void PartitionLeader::transfer_machines(const peer_rpc::TransferRequest& m) {
  LedPartition* o = acting_partition(m.partition);
  if (!o || m.to == m.partition || m.to >= settings_.partition_count) return;
  std::vector<std::string> batch;
  for (const auto& id : o->core->idle_machines(m.spot, m.cpus, m.to < 0, runtime_.now())) {
    if (!state_store_.view().machines.count(id) || !o->core->begin_transfer(id)) continue;
    batch.push_back(id);
    if (static_cast<int>(batch.size()) < settings_.batch()) continue;
    transfer(m.partition, m.to, std::move(batch));
    batch.clear();
  }
  if (!batch.empty()) transfer(m.partition, m.to, std::move(batch));
}

void PartitionLeader::transfer(int partition, int to, const std::vector<std::string>& machines) {
  const ClusterView& v = state_store_.view();
  const std::uint64_t fencing_token = led_partitions_.at(partition).core->fencing_token();
  CompareAndSwap c;
  c.request_priority = RequestPriority::fleet;
  c.nonce = state_store_.nonce();
  c.preconditions = {{codec::partition_key(partition), fencing_token}};
  for (const auto& id : machines) {
    const auto& m = v.machines.at(id);
    codec::MachineRecord record = m.record;
    record.partition = to;
    c.preconditions.push_back({codec::machine_key(id), m.revision});
    c.writes.push_back({codec::machine_key(id), codec::encode(record, c.nonce), false});
    spdlog::info("machine transfer machine={} from={} to={} fencing_token={}", id, partition, to,
                 fencing_token);
  }
  send_transfer(partition, fencing_token, machines, std::move(c));
}

// In doubt they stay on their way out, and the same commit is tried until it is proven done
// or undone. A later try that was refused once let their leader use them again; then the first
// landed after all, and their tasks were started a second time while they still ran.
void PartitionLeader::send_transfer(int partition, std::uint64_t fencing_token,
                                    const std::vector<std::string>& machines, CompareAndSwap c) {
  c.done = [this, partition, fencing_token, machines, again = c](CasOutcome out,
                                                                 std::uint64_t) mutable {
    LedPartition* o = led_partition(partition);
    if (!o || o->core->fencing_token() != fencing_token) return;
    again.doubt = true;
    if (out == CasOutcome::unknown)
      return retry_transfer(partition, fencing_token, machines, again);
    for (const auto& id : machines) o->core->end_transfer(id);
  };
  state_store_.compare_and_swap(std::move(c));
}

void PartitionLeader::retry_transfer(int partition, std::uint64_t fencing_token,
                                     const std::vector<std::string>& machines,
                                     const CompareAndSwap& c) {
  runtime_.after(k::kRetryMs, [this, partition, fencing_token, machines, c] {
    LedPartition* o = led_partition(partition);
    if (!o || o->core->fencing_token() != fencing_token) return;
    if (acting(partition))
      send_transfer(partition, fencing_token, machines, c);
    else
      retry_transfer(partition, fencing_token, machines, c);
  });
}

void PartitionLeader::cordon(const peer_rpc::CordonRequest& s) {
  if (LedPartition* o = acting_partition(s.partition))
    o->core->cordon(s.cpus, s.drain, runtime_.now());
}

// --------------------------------------------------------------------------------- pace

void PartitionLeader::types_known(const std::vector<MachineType>& types) {
  types_ = types;
  for (auto& [partition, o] : led_partitions_) o.core->set_types(types_);
}

void PartitionLeader::peer_status(const std::string& node, const peer_rpc::PeerStatus& s) {
  peers_[node] = {runtime_.now(), s};
  state_store_.peer_use(node, s.use);
}

void PartitionLeader::tick() {
  probe_workers();
  claim_vacant_partitions();
  fail_back();
  relinquish_if_workers_lost();
  request_votes();
  release_held_heartbeats();
  const Ms now = runtime_.now();
  for (auto& [partition, o] : led_partitions_) {
    if (!o.active) continue;
    const bool acts = acting(partition);
    for (const auto& id : o.core->tick(now)) {
      if (!acts) continue;  // they send heartbeats to somebody else
      ++counters_.lease_expiries;
      spdlog::info("machine lost machine={} partition={} fencing_token={} proof=lease-expiry", id,
                   partition, o.core->fencing_token_of(id));
    }
    if (!acts) {
      // Not entitled at the moment: those who wait are sent on, nothing is started.
      auto deferred = std::move(o.deferred);
      o.deferred.clear();
      for (auto& [id, p] : deferred) p.reply(503, "");
      continue;
    }
    send_kills(o);
    answer_deferred(o);
    persist(partition, o);
  }
  if (now - last_status_ >= k::kStatusEveryMs) {
    last_status_ = now;
    peer_rpc::PeerStatus s;
    for (const auto& [partition, o] : led_partitions_)
      if (acting(partition)) s.partition_loads.emplace_back(partition, o.core->load(now));
    s.use = state_store_.use();
    s.hears_workers = hears_workers();
    s.features = k::kFeatures;
    s.conversion = conversion();
    hooks_.broadcast(s);
  }
}

}  // namespace eiderreel
