#include "fleet/machine_assigner.h"

#include <spdlog/spdlog.h>

#include <utility>

namespace eiderreel {

namespace k = constants;

double fair_share_cpus_of(const Settings& s, int partition) {
  double cpus = 0;
  for (const auto& team : s.teams_of(partition)) cpus += team.fair_share_cpus;
  return std::max(cpus, 1.0);
}

void MachineAssigner::add(const Heartbeat& r, Reply reply) {
  auto [it, fresh] = pending_assignments_.try_emplace(r.machine);
  Reply old = std::exchange(it->second.reply, std::move(reply));
  it->second.heartbeat = r;
  if (!fresh) old(503, "");
}

// What each partition has and asks for, of ordinary and of spot machines.
std::vector<MachineAssigner::Share> MachineAssigner::shares() const {
  std::vector<Share> out(static_cast<std::size_t>(settings_.partition_count));
  auto add = [&](const codec::MachineRecord& r) {
    const MachineType* t = find_type(types_, r.type);
    if (r.partition < 0 || r.partition >= settings_.partition_count || !t) return;
    Share& d = out[static_cast<std::size_t>(r.partition)];
    d.cpus[1] += t->cpus;
    if (!r.spot) d.cpus[0] += t->cpus;
  };
  for (const auto& [id, m] : state_store_.view().machines) add(m.record);
  for (const auto& [id, a] : pending_assignments_)
    if (a.sent) add(a.record);
  const auto partition_loads = partition_leader_.partition_loads();
  for (int p = 0; p < settings_.partition_count; ++p) {
    Share& d = out[static_cast<std::size_t>(p)];
    d.weight = fair_share_cpus_of(settings_, p);
    auto it = partition_loads.find(p);
    if (it == partition_loads.end()) continue;
    const PartitionLoad& n = it->second;
    d.asked[0] = (n.used_service_cpus + n.waiting_service_cpus) * k::kServiceRoom + n.waiting_cpus -
                 n.waiting_spot_cpus;
    d.asked[1] = n.used_cpus + n.waiting_cpus;
  }
  return out;
}

// A new machine goes where most is asked for what is there. Ordinary machines are dealt out by
// what cannot run on spot ones, above all services; the fair shares count as a base, so that no
// partition is left bare.
int MachineAssigner::choose_partition(std::vector<Share>& shares, double cpus, bool spot) {
  double all_weights = 0, all_cpus = cpus;
  for (const Share& d : shares) {
    all_weights += d.weight;
    all_cpus += d.cpus[spot];
  }
  std::size_t best = 0;
  double best_ratio = -1;
  for (std::size_t p = 0; p < shares.size(); ++p) {
    const Share& d = shares[p];
    const double base = k::kBaseShare * all_cpus * d.weight / all_weights;
    const double ratio = (d.asked[spot] + base) / (d.cpus[spot] + cpus);
    if (ratio <= best_ratio) continue;
    best = p;
    best_ratio = ratio;
  }
  shares[best].cpus[1] += cpus;
  if (!spot) shares[best].cpus[0] += cpus;
  return static_cast<int>(best);
}

void MachineAssigner::assign_all() {
  std::vector<std::string> batch;
  std::vector<Share> dealt;
  for (auto& [id, a] : pending_assignments_) {
    if (a.sent) continue;
    if (dealt.empty()) dealt = shares();
    const Heartbeat& r = a.heartbeat;
    const MachineType* t = find_type(types_, r.type);
    a.record = {choose_partition(dealt, t ? t->cpus : 1, r.spot), r.type, r.zone, r.addr, r.spot};
    a.sent = true;
    batch.push_back(id);
    if (static_cast<int>(batch.size()) < settings_.batch()) continue;
    send(std::move(batch));
    batch.clear();
  }
  if (!batch.empty()) send(std::move(batch));
}

void MachineAssigner::send(std::vector<std::string> ids) {
  CompareAndSwap c;
  c.request_priority = RequestPriority::fleet;
  c.nonce = state_store_.nonce();
  for (const auto& id : ids) {
    c.preconditions.push_back({codec::machine_key(id), 0});
    c.writes.push_back({codec::machine_key(id),
                        codec::encode(pending_assignments_.at(id).record, c.nonce), false});
  }
  c.done = [this, ids](CasOutcome o, std::uint64_t) {
    // One that was assigned before holds up the others: each goes alone then.
    if ((o == CasOutcome::conflict || o == CasOutcome::superseded) && ids.size() > 1) {
      for (const auto& id : ids) send({id});
      return;
    }
    for (const auto& id : ids) end(id, o);
  };
  state_store_.compare_and_swap(std::move(c));
}

void MachineAssigner::end(const std::string& machine, CasOutcome outcome) {
  auto it = pending_assignments_.find(machine);
  PendingAssignment a = std::move(it->second);
  pending_assignments_.erase(it);
  ended_(machine);
  if (outcome != CasOutcome::ok) return a.reply(503, "");
  spdlog::info("machine assigned machine={} partition={} type={} zone={} spot={}", machine,
               a.record.partition, a.record.type, a.record.zone, a.record.spot);
  partition_leader_.heartbeat(a.heartbeat, std::move(a.reply));
}

}  // namespace eiderreel
