#include "fleet/fleet_manager.h"

#include <spdlog/spdlog.h>

#include <cmath>
#include <utility>

#include "codec/cloud_json.h"

namespace eiderreel {

namespace k = constants;

FleetManager::FleetManager(Runtime& runtime, const Settings& settings,
                           StateStoreClient& state_store, PartitionLeader& partition_leader)
    : runtime_(runtime),
      settings_(settings),
      state_store_(state_store),
      partition_leader_(partition_leader),
      cloud_(runtime, settings),
      assigner_(settings, state_store, partition_leader),
      provisioner_(runtime, settings, state_store, cloud_) {}

void FleetManager::start(Hooks hooks) {
  hooks_ = std::move(hooks);
  cloud_.start();
  assigner_.start([this](const std::string& machine) { provisioner_.forget(machine); });
  get_catalog();
}

void FleetManager::get_catalog() {
  catalog_asked_ = true;
  cloud_.call({"", "GET", "/catalog", "", 0}, [this](HttpReply r) {
    catalog_asked_ = false;
    catalog_at_ = runtime_.now();
    auto types = r.status == 200 ? codec::parse_catalog(r.body) : codec::status_error(r.status);
    if (!types) return;
    types_ = *types;
    assigner_.types_known(types_);
    provisioner_.types_known(types_);
    hooks_.types_known(types_);
  });
}

// --------------------------------------------------------------------------- assignment

void FleetManager::assign(const Heartbeat& r, Reply reply) {
  // A late copy of a heartbeat is no reason to assign a machine that is gone.
  if (types_.empty() || terminated_.count(r.machine)) return reply(503, "");
  assigner_.add(r, std::move(reply));
}

// ------------------------------------------------------------------------------ balance

void FleetManager::advise_transfer(int from, int to, double cpus, bool spot) {
  auto p = state_store_.view().partitions.find(from);
  if (p == state_store_.view().partitions.end()) return;
  ++counters_.moves;
  const peer_rpc::TransferRequest move{from, to, cpus, spot};
  if (p->second.leader == settings_.node)
    partition_leader_.transfer_machines(move);
  else
    hooks_.send(p->second.leader, move);
}

// Idle machines move from partitions where nothing waits to the partition in need.
void FleetManager::rebalance() {
  auto partition_loads = partition_leader_.partition_loads();
  double largest = 0;
  for (const auto& t : types_) largest = std::max(largest, t.cpus);
  for (auto& [to, load] : partition_loads) {
    double want = load.waiting_cpus;
    for (auto& [from, other] : partition_loads) {
      if (from == to || other.waiting_cpus > load.waiting_cpus * k::kGiverWaits) continue;
      for (bool spot : {true, false}) {
        double& idle = spot ? other.idle_spot_cpus : other.idle_cpus;
        const double most = spot ? std::min(want, load.waiting_spot_cpus) : want;
        if (most <= 0 || idle <= 0) continue;
        const double give = std::min(idle, std::max(most, largest));
        advise_transfer(from, to, give, spot);
        idle -= give;
        want -= give;
      }
    }
  }
  raise_to_fair_share(partition_loads, largest);
  drain_one_machine(partition_loads);
  // A partition with free room but no idle machine lets some run empty for the one that waits most.
  for (auto& [to, load] : partition_loads) {
    double want = load.waiting_cpus;
    for (auto& [from, other] : partition_loads) {
      if (from == to || want < k::kCordonLeastCpus ||
          other.waiting_cpus > load.waiting_cpus * k::kGiverWaits)
        continue;
      const double give = std::min(want, (other.total_cpus - other.used_cpus) * k::kCordonShare);
      if (give < k::kCordonLeastCpus) continue;
      want -= give;
      other.used_cpus += give;
      advise_cordon(from, give, false);
    }
  }
}

// A job must not wait beside room that services of other partitions keep from running empty. One
// machine at a time: to move services costs what users notice.
void FleetManager::drain_one_machine(const std::map<int, PartitionLoad>& partition_loads) {
  double smallest = types_.front().cpus;
  for (const auto& t : types_) smallest = std::min(smallest, t.cpus);
  for (const auto& [to, load] : partition_loads) {
    if (load.waited_s < k::kDrainAfterS) continue;
    for (const auto& [from, other] : partition_loads)
      if (from != to && other.waiting_cpus <= 0 && other.total_cpus - other.used_cpus >= smallest)
        return advise_cordon(from, smallest, true);
  }
}

void FleetManager::advise_cordon(int from, double cpus, bool drain) {
  auto p = state_store_.view().partitions.find(from);
  if (p == state_store_.view().partitions.end()) return;
  if (p->second.leader == settings_.node)
    partition_leader_.cordon({from, cpus, drain});
  else
    hooks_.send(p->second.leader, peer_rpc::CordonRequest{from, cpus, drain});
}

// A partition that has given its idle machines away is bare when its own work comes; while all
// others have work waiting too, nobody gave it any, and it starved for ever. Below its base by the
// fair shares it gets machines from the partition that is furthest above its own.
void FleetManager::raise_to_fair_share(const std::map<int, PartitionLoad>& partition_loads,
                                       double largest) {
  if (static_cast<int>(partition_loads.size()) < settings_.partition_count) return;
  double cpus = 0, weights = 0;
  for (const auto& [p, n] : partition_loads) {
    cpus += n.total_cpus;
    weights += fair_share_cpus_of(settings_, p);
  }
  auto above = [&](int p) {
    return partition_loads.at(p).total_cpus -
           k::kBaseShare * cpus * fair_share_cpus_of(settings_, p) / weights;
  };
  for (const auto& [to, load] : partition_loads) {
    if (load.waiting_cpus <= 0 || above(to) >= 0) continue;
    int from = to;
    for (const auto& [p, n] : partition_loads)
      if (above(p) > above(from)) from = p;
    const double give = std::max(-above(to), largest);
    if (above(from) < give) continue;
    advise_cordon(from, give, false);
    advise_transfer(from, to, give, false);
  }
}

// ------------------------------------------------------------------------- scale out and in

void FleetManager::scale_out_and_in() {
  const Ms now = runtime_.now();
  const auto partition_loads = partition_leader_.partition_loads();
  if (static_cast<int>(partition_loads.size()) < settings_.partition_count)
    return;  // without news nothing is concluded
  PartitionLoad all;
  for (const auto& [p, n] : partition_loads) {
    all.waiting_cpus += n.waiting_cpus;
    all.waiting_spot_cpus += n.waiting_spot_cpus;
    all.waiting_service_cpus += n.waiting_service_cpus;
    all.waiting_core_s += n.waiting_core_s;
    all.total_cpus += n.total_cpus;
    all.spot_cpus += n.spot_cpus;
    all.used_cpus += n.used_cpus;
    all.used_service_cpus += n.used_service_cpus;
    all.slack_s = std::max(all.slack_s, n.slack_s);
    if (n.wait_s > 0) all.wait_s = all.wait_s > 0 ? std::min(all.wait_s, n.wait_s) : n.wait_s;
    all.idle_cpus += n.idle_cpus + n.idle_spot_cpus;
    spdlog::debug(
        "partition load partition={} waiting={:.0f} used={:.0f} services={:.0f} total={:.0f} "
        "idle={}",
        p, n.waiting_cpus, n.used_cpus, n.used_service_cpus, n.total_cpus, n.idle_machines);
  }
  double coming_cpus = 0, coming_spot = 0, boot = 0;
  std::vector<PendingMachine> on_their_way = pending_machines();
  for (const PendingMachine& m : on_their_way) {
    coming_cpus += m.type->cpus;
    if (m.spot) coming_spot += m.type->cpus;
  }
  // Jobs bound to a zone whose machines were lost waited for ever while idle ones elsewhere
  // made up for them in the sums.
  for (const auto& [p, n] : partition_loads)
    for (const auto& [id, cpus] : n.unschedulable) {
      auto j = state_store_.view().jobs.find(id);
      if (j == state_store_.view().jobs.end()) continue;
      double unschedulable = cpus;
      std::erase_if(on_their_way, [&](const PendingMachine& m) {
        if (unschedulable <= 0 || !may_host(j->second.spec, *m.type, m.zone, m.spot)) return false;
        unschedulable -= m.type->cpus;
        return true;
      });
      if (unschedulable > 0)
        coming_cpus += provisioner_.provision_for(j->second.spec, unschedulable);
    }
  for (const auto& t : types_) boot = std::max(boot, t.boot_s);
  // Where the usual slack before a deadline is long beside a boot time, cost saving costs little:
  // enough is provisioned for the queue to be worked off within a part of the slack. (What is done
  // during a boot is not taken off: while work keeps coming, as much is added.) Services wait for
  // nothing. Elsewhere all that waits is provisioned for.
  const bool saves_cost = all.slack_s >= k::kCostSavingBoots * boot;
  // A small fleet evens out less, so its queue is given less time.
  const double machines = static_cast<double>(listed_machines_.size());
  const double patience = k::kPatience * machines / (machines + k::kEvenMachines);
  // Where arrays should start within a stated time, machines must be up well before it.
  const double queue_s =
      all.wait_s > 0 ? std::min(all.slack_s, all.wait_s * k::kWaitShare) : all.slack_s;
  const double asked =
      saves_cost ? std::min(all.waiting_cpus,
                            std::max(all.waiting_core_s / (queue_s * patience) - all.total_cpus,
                                     all.waiting_service_cpus))
                 : all.waiting_cpus;
  const double lack = asked - all.idle_cpus - coming_cpus;
  spdlog::debug(
      "fleet asked={:.0f} waiting={:.0f} work={:.0f} used={:.0f} idle={:.0f} pending={:.0f} "
      "total={:.0f} spot={:.0f} slack={:.1f}",
      asked, all.waiting_cpus, all.waiting_core_s, all.used_cpus, all.idle_cpus, coming_cpus,
      all.total_cpus, all.spot_cpus, all.slack_s);
  if (lack <= 0) {
    short_since_ = 0;
  } else if (short_since_ == 0) {
    short_since_ = now;
  }
  const bool lasts = lack > 0 && now - short_since_ >= k::kNeedLastsMs;
  // Where cost saving pays, what may run on spot machines is moved to them while there are any.
  const double cheaper = saves_cost ? all.used_cpus - all.used_service_cpus +
                                          all.waiting_spot_cpus - all.spot_cpus - coming_spot
                                    : 0;
  if (lasts || cheaper > 0)
    provisioner_.provision_cheapest(
        lasts ? lack : 0, std::max(cheaper, all.waiting_spot_cpus > coming_cpus ? lack : 0.0));
  // Machines idle for long are released while nothing waits, ordinary ones first: they are dearer.
  // Spot ones that dearer machines do the work of would be provisioned again at once.
  double surplus = all.idle_cpus - all.waiting_cpus;
  for (bool spot : {false, true}) {
    if (spot && saves_cost) surplus = std::min(surplus, -cheaper);
    for (const auto& [p, n] : partition_loads) {
      const double go = std::min(surplus, spot ? n.releasable_spot_cpus : n.releasable_cpus);
      if (go <= 0) continue;
      advise_transfer(p, -1, go, spot);
      surplus -= go;
    }
  }
}

std::vector<FleetManager::PendingMachine> FleetManager::pending_machines() const {
  std::vector<PendingMachine> out;
  for (const auto& [id, r] : provisioner_.provisioned())
    if (const MachineType* t = find_type(types_, r.type)) out.push_back({t, r.zone, r.spot});
  // At a start of the whole service hundreds of machines are up that no partition has yet.
  for (const auto& [id, m] : listed_machines_)
    if (m.listed.phase != "failed" && !provisioner_.provisioned().count(id) &&
        !state_store_.view().machines.count(id))
      if (const MachineType* t = find_type(types_, m.listed.type))
        out.push_back({t, m.listed.zone, m.listed.spot});
  return out;
}

void FleetManager::list_machines(const std::string& since) {
  listing_ = true;
  std::string path = "/machines?page=" + std::to_string(k::kListPage);
  if (!since.empty()) path += "&since=" + since;
  if (since.empty()) {
    in_list_.clear();
    list_sent_ = runtime_.now();
  }
  cloud_.call({"", "GET", path, "", 0}, [this, since](HttpReply r) {
    // A list of more pages than a moment's rate allows began anew for ever, and was never
    // read to its end.
    if (r.status == k::kOverLimit && !since.empty() && partition_leader_.is_cluster_leader()) {
      runtime_.after(k::kRetryMs, [this, since] { list_machines(since); });
      return;
    }
    auto page = r.status == 200 ? codec::parse_machines(r.body) : codec::status_error(r.status);
    if (!page) {
      listing_ = false;
      listed_at_ = runtime_.now();
      return;
    }
    const Ms now = runtime_.now();
    for (const auto& m : page->machines) {
      in_list_.insert(m.id);
      auto& e = listed_machines_[m.id];
      e.last_seen = now;
      e.listed = m;
    }
    if (page->more && !page->machines.empty()) {
      list_machines(page->machines.back().id);
      return;
    }
    listing_ = false;
    listed_at_ = now;
    on_list_complete();
  });
}

void FleetManager::on_list_complete() {
  const Ms now = runtime_.now();
  const ClusterView& v = state_store_.view();
  const Ms lag = static_cast<Ms>(settings_.list_lag_s * 2000 * (1 + k::kDrift));
  std::vector<std::string> terminated;
  // A key may stand for a machine that was gone before we led, and that a late copy of a
  // heartbeat brought back. It is known from now on, and forgotten when lists go on without it.
  for (const auto& [id, m] : v.machines)
    if (auto [e, fresh] = listed_machines_.try_emplace(id); fresh) {
      e->second.last_seen = now;
      e->second.listed = {id, m.record.addr, m.record.type, m.record.zone, "", m.record.spot, 0};
    }
  for (auto it = listed_machines_.begin(); it != listed_machines_.end();) {
    const std::string id = it->first;
    const ListedMachineEntry& e = it->second;
    // Once listed a machine stays listed until it is gone. This list describes a moment not
    // earlier than `lag` before it was asked for, so it is newer than the last that had it.
    if (!in_list_.count(id) && list_sent_ - lag > e.last_seen) {
      terminated.push_back(id);
      provisioner_.forget(id);
      it = listed_machines_.erase(it);
      continue;
    }
    const MachineType* t = find_type(types_, e.listed.type);
    const bool stuck =
        e.listed.phase == "starting" && t && e.listed.held_s > t->boot_s * k::kStuckBoots;
    if ((e.listed.phase == "failed" || stuck) && in_list_.count(id)) {
      auto m = v.machines.find(id);
      codec::MachineRecord record{-1, e.listed.type, e.listed.zone, e.listed.addr, e.listed.spot};
      if (m == v.machines.end())
        release(id, record, 0);
      else if (m->second.record.partition >= 0 && e.listed.phase == "failed")
        release(id, record, m->second.revision);
    }
    ++it;
  }
  forget(terminated);
  std::set<std::string> listed;
  for (const auto& [id, e] : listed_machines_) listed.insert(id);
  provisioner_.drop_lost(listed, 4 * lag);
}

// Invariant 10: released durably first. A machine that stopped by itself holds nothing that
// could run, so its leader need not be asked; one that never came up has no leader.
void FleetManager::release(const std::string& id, const codec::MachineRecord& record,
                           std::uint64_t revision) {
  if (!changing_.insert(id).second) return;
  CompareAndSwap c;
  c.request_priority = RequestPriority::fleet;
  c.nonce = state_store_.nonce();
  c.preconditions = {{codec::machine_key(id), revision}};
  codec::MachineRecord released = record;
  released.partition = -1;
  c.writes = {{codec::machine_key(id), codec::encode(released, c.nonce), false}};
  c.done = [this, id](CasOutcome, std::uint64_t) { changing_.erase(id); };
  spdlog::info("machine released machine={}", id);
  state_store_.compare_and_swap(std::move(c));
}

// The keys of machines that are gone are of no use.
void FleetManager::forget(const std::vector<std::string>& ids) {
  CompareAndSwap c;
  std::vector<std::string> mine;
  for (const auto& id : ids) {
    auto m = state_store_.view().machines.find(id);
    if (m == state_store_.view().machines.end() || !changing_.insert(id).second) continue;
    spdlog::info("machine forgotten machine={}", id);
    terminated_.insert(id);
    mine.push_back(id);
    c.preconditions.push_back({codec::machine_key(id), m->second.revision});
    c.writes.push_back({codec::machine_key(id), "", false});
    if (static_cast<int>(mine.size()) == settings_.batch()) break;
  }
  if (mine.empty()) return;
  c.request_priority = RequestPriority::fleet;
  c.nonce = state_store_.nonce();
  c.done = [this, mine](CasOutcome, std::uint64_t) {
    for (const auto& id : mine) changing_.erase(id);
  };
  state_store_.compare_and_swap(std::move(c));
  const std::vector<std::string> rest(std::find(ids.begin(), ids.end(), mine.back()) + 1,
                                      ids.end());
  if (!rest.empty()) forget(rest);
}

void FleetManager::terminate_released() {
  if (terminating_) return;
  std::vector<std::string> ids, again;
  for (const auto& [id, m] : state_store_.view().machines)
    if (m.record.partition < 0 && !changing_.count(id)) {
      if (terminated_.count(id))
        again.push_back(id);  // returned before, but its key is still there
      else if (ids.size() < k::kTerminateMost)
        ids.push_back(id);
    }
  forget(again);
  if (ids.empty()) return;
  terminating_ = true;
  cloud_.call({"", "POST", "/machines/return", codec::scale_in_body(ids), 0},
              [this, ids](HttpReply r) {
                terminating_ = false;
                if (r.status != 200) return;
                counters_.terminated += ids.size();
                hooks_.machines_terminated(ids);
                for (const auto& id : ids) {
                  spdlog::info("machine terminated machine={}", id);
                  provisioner_.forget(id);
                }
                forget(ids);
              });
}

void FleetManager::tick() {
  const Ms now = runtime_.now();
  if (!catalog_asked_ && now - catalog_at_ >= (types_.empty() ? k::kRetryMs : k::kCatalogEveryMs))
    get_catalog();
  if (!partition_leader_.is_cluster_leader() || types_.empty()) {
    was_cluster_leader_ = false;
    return;
  }
  if (!was_cluster_leader_) {
    was_cluster_leader_ = true;
    cluster_leader_since_ = now;
    short_since_ = 0;
    provisioner_.forget_all();
    listed_machines_.clear();
  }
  assigner_.assign_all();
  if (!listing_ && now - listed_at_ >= k::kListEveryMs) list_machines("");
  if (now - balanced_at_ >= k::kBalanceEveryMs) {
    balanced_at_ = now;
    rebalance();
    terminate_released();
  }
  if (now - scaled_at_ >= k::kFleetEveryMs && now - cluster_leader_since_ >= k::kLeaderSettlesMs) {
    scaled_at_ = now;
    scale_out_and_in();
  }
}

}  // namespace eiderreel
