#include "fleet/machine_assigner.h"

#include <spdlog/spdlog.h>

#include <utility>

namespace eiderreel {

namespace k = constants;

double guaranteed_cpus(const Settings& s, int part) {
  double cpus = 0;
  for (const auto& team : s.teams_of(part)) cpus += team.cpus;
  return std::max(cpus, 1.0);
}

void MachineAssigner::add(const Report& r, Reply reply) {
  auto [it, fresh] = assigning_.try_emplace(r.machine);
  Reply old = std::exchange(it->second.reply, std::move(reply));
  it->second.report = r;
  if (!fresh) old(503, "");
}

// What each partition has and asks for, of ordinary and of spot machines.
std::vector<MachineAssigner::Share> MachineAssigner::shares() const {
  std::vector<Share> out(static_cast<std::size_t>(s_.parts));
  auto add = [&](const codec::MachineRecord& r) {
    const MachineType* t = find_type(types_, r.type);
    if (r.part < 0 || r.part >= s_.parts || !t) return;
    Share& d = out[static_cast<std::size_t>(r.part)];
    d.cpus[1] += t->cpus;
    if (!r.spot) d.cpus[0] += t->cpus;
  };
  for (const auto& [id, m] : state_store_.view().machines) add(m.record);
  for (const auto& [id, a] : assigning_)
    if (a.sent) add(a.record);
  const auto needs = owner_.needs();
  for (int p = 0; p < s_.parts; ++p) {
    Share& d = out[static_cast<std::size_t>(p)];
    d.weight = guaranteed_cpus(s_, p);
    auto it = needs.find(p);
    if (it == needs.end()) continue;
    const PartNeed& n = it->second;
    d.asked[0] = (n.used_service_cpus + n.waiting_service_cpus) * k::kServiceRoom + n.waiting_cpus -
                 n.waiting_spot_cpus;
    d.asked[1] = n.used_cpus + n.waiting_cpus;
  }
  return out;
}

// A new machine goes where most is asked for what is there. Ordinary machines are dealt out by
// what cannot run on spot ones, above all services; the guarantees count as a base, so that no
// partition is left bare.
int MachineAssigner::part_for(std::vector<Share>& shares, double cpus, bool spot) {
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
  for (auto& [id, a] : assigning_) {
    if (a.sent) continue;
    if (dealt.empty()) dealt = shares();
    const Report& r = a.report;
    const MachineType* t = find_type(types_, r.type);
    a.record = {part_for(dealt, t ? t->cpus : 1, r.spot), r.type, r.zone, r.addr, r.spot};
    a.sent = true;
    batch.push_back(id);
    if (static_cast<int>(batch.size()) < s_.batch()) continue;
    send(std::move(batch));
    batch.clear();
  }
  if (!batch.empty()) send(std::move(batch));
}

void MachineAssigner::send(std::vector<std::string> ids) {
  Commit c;
  c.pace = Pace::fleet;
  c.nonce = state_store_.nonce();
  for (const auto& id : ids) {
    c.preconditions.push_back({codec::machine_key(id), 0});
    c.writes.push_back(
        {codec::machine_key(id), codec::encode(assigning_.at(id).record, c.nonce), false});
  }
  c.done = [this, ids](Outcome o, std::uint64_t) {
    // One that was assigned before holds up the others: each goes alone then.
    if ((o == Outcome::conflict || o == Outcome::superseded) && ids.size() > 1) {
      for (const auto& id : ids) send({id});
      return;
    }
    for (const auto& id : ids) end(id, o);
  };
  state_store_.commit(std::move(c));
}

void MachineAssigner::end(const std::string& machine, Outcome outcome) {
  auto it = assigning_.find(machine);
  Assigning a = std::move(it->second);
  assigning_.erase(it);
  ended_(machine);
  if (outcome != Outcome::ok) return a.reply(503, "");
  spdlog::info("machine assigned machine={} part={} type={} zone={} spot={}", machine,
               a.record.part, a.record.type, a.record.zone, a.record.spot);
  owner_.report(a.report, std::move(a.reply));
}

}  // namespace eiderreel
