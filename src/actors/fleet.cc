#include "actors/fleet.h"

#include <spdlog/spdlog.h>

#include <cmath>

namespace eiderreel {

namespace k = constants;

Fleet::Fleet(Runtime& rt, const Settings& s, Registrar& registrar, Owner& owner)
    : rt_(rt), s_(s), registrar_(registrar), owner_(owner) {}

void Fleet::start(Hooks hooks) {
  hooks_ = std::move(hooks);
  refilled_ = rt_.now();
  tokens_ = s_.cloud_rps / 2;
  get_catalog();
}

const MachineType* Fleet::type(const std::string& name) const {
  for (const auto& t : types_)
    if (t.name == name) return &t;
  return nullptr;
}

// Calls over the budget are refused here as the cloud would; their callers try again.
void Fleet::call(HttpRequest r, std::function<void(HttpReply)> done) {
  const Ms now = rt_.now();
  tokens_ = std::min(s_.cloud_rps, tokens_ + static_cast<double>(now - refilled_) / 1000.0 *
                                                 s_.cloud_rps * k::kBudgetShare);
  refilled_ = now;
  if (tokens_ < 1) {
    rt_.after(k::kRetryMs, [done = std::move(done)] { done({429, ""}); });
    return;
  }
  tokens_ -= 1;
  r.addr = s_.cloud_addr;
  r.timeout = k::kCloudTimeoutMs;
  rt_.http(std::move(r), [this, done = std::move(done)](HttpReply reply) {
    ++counters_.replies[reply.status];
    done(std::move(reply));
  });
}

void Fleet::get_catalog() {
  catalog_asked_ = true;
  call({"", "GET", "/catalog", "", 0}, [this](HttpReply r) {
    catalog_asked_ = false;
    catalog_at_ = rt_.now();
    auto types = r.status == 200 ? codec::parse_catalog(r.body) : std::nullopt;
    if (!types) return;
    types_ = *types;
    hooks_.types_known(types_);
  });
}

// --------------------------------------------------------------------------- assignment

double Fleet::weight(int part) const {
  double w = 0;
  for (const auto& t : s_.teams_of(part)) w += t.cpus;
  return std::max(w, 1.0);
}

double Fleet::assigned_cpus(int part, bool ordinary_only) const {
  double sum = 0;
  auto add = [&](const codec::MachineRecord& r) {
    if (r.part != part || (ordinary_only && r.spot)) return;
    if (const MachineType* t = type(r.type)) sum += t->cpus;
  };
  for (const auto& [id, m] : registrar_.view().machines) add(m.record);
  for (const auto& [id, a] : assigning_) add(a.record);
  return sum;
}

// A new machine goes where most is asked for what is there. Ordinary machines are dealt out by
// what cannot run on spot ones, above all services; the guarantees count as a base, so that no
// part is left bare.
int Fleet::part_for(const std::string& type_name, bool spot) const {
  const auto needs = owner_.needs();
  const MachineType* t = type(type_name);
  const double cpus = t ? t->cpus : 1;
  double all_weights = 0, all_cpus = cpus;
  for (int p = 0; p < s_.parts; ++p) {
    all_weights += weight(p);
    all_cpus += assigned_cpus(p, !spot);
  }
  int best = 0;
  double best_ratio = -1;
  for (int p = 0; p < s_.parts; ++p) {
    PartNeed n;
    if (auto it = needs.find(p); it != needs.end()) n = it->second;
    const double asked = spot ? n.used_cpus + n.waiting_cpus
                              : (n.used_service_cpus + n.waiting_service_cpus) * k::kServiceRoom +
                                    n.waiting_cpus - n.waiting_spot_cpus;
    const double base = k::kBaseShare * all_cpus * weight(p) / all_weights;
    const double ratio = (asked + base) / (assigned_cpus(p, !spot) + cpus);
    if (ratio > best_ratio) {
      best = p;
      best_ratio = ratio;
    }
  }
  return best;
}

void Fleet::assign(const Report& r, Reply reply) {
  if (auto it = assigning_.find(r.machine); it != assigning_.end()) {
    auto old = std::move(it->second.reply);
    it->second.reply = std::move(reply);
    old(503, "");
    return;
  }
  if (types_.empty()) return reply(503, "");
  const codec::MachineRecord record{part_for(r.type, r.spot), r.type, r.zone, r.addr, r.spot};
  assigning_[r.machine] = {std::move(reply), record};
  Commit c;
  c.pace = Pace::fleet;
  c.nonce = registrar_.nonce();
  c.guards = {{codec::machine_key(r.machine), 0}};
  c.writes = {{codec::machine_key(r.machine), codec::encode(record, c.nonce), false}};
  c.done = [this, r, record](Outcome o, std::uint64_t) {
    auto it = assigning_.find(r.machine);
    Reply waiting = std::move(it->second.reply);
    assigning_.erase(it);
    rented_.erase(r.machine);
    if (o != Outcome::ok) return waiting(503, "");
    spdlog::info("machine assigned machine={} part={} type={} zone={} spot={}", r.machine,
                 record.part, r.type, r.zone, r.spot);
    owner_.report(r, std::move(waiting));
  };
  registrar_.commit(std::move(c));
}

// ------------------------------------------------------------------------------ balance

void Fleet::advise(const std::string& machine, int to) {
  auto m = registrar_.view().machines.find(machine);
  if (m == registrar_.view().machines.end() || m->second.record.part < 0) return;
  auto p = registrar_.view().parts.find(m->second.record.part);
  if (p == registrar_.view().parts.end()) return;
  ++counters_.moves;
  if (p->second.owner == s_.node)
    owner_.move({machine, to});
  else
    hooks_.send(p->second.owner, mesh::Move{machine, to});
}

// Idle machines move from parts where nothing waits to the part in need.
void Fleet::balance() {
  auto needs = owner_.needs();
  for (auto& [to, need] : needs) {
    double want = need.waiting_cpus;
    for (auto& [from, other] : needs) {
      if (from == to || other.waiting_cpus > need.waiting_cpus * k::kGiverWaits) continue;
      while (want > 0 && !other.idle.empty()) {
        const std::string id = other.idle.back();
        other.idle.pop_back();
        auto m = registrar_.view().machines.find(id);
        if (m == registrar_.view().machines.end()) continue;
        const MachineType* t = type(m->second.record.type);
        if (!t || (m->second.record.spot && need.waiting_spot_cpus <= 0)) continue;
        advise(id, to);
        want -= t->cpus;
      }
    }
  }
  // A part with free room but no idle machine lets some run empty for the one that waits most.
  for (auto& [to, need] : needs) {
    double want = need.waiting_cpus;
    for (auto& [from, other] : needs) {
      if (from == to || want < k::kShedLeast ||
          other.waiting_cpus > need.waiting_cpus * k::kGiverWaits)
        continue;
      const double give = std::min(want, (other.total_cpus - other.used_cpus) * k::kShedShare);
      auto p = registrar_.view().parts.find(from);
      if (give < k::kShedLeast || p == registrar_.view().parts.end()) continue;
      want -= give;
      other.used_cpus += give;
      if (p->second.owner == s_.node)
        owner_.shed({from, give});
      else
        hooks_.send(p->second.owner, mesh::Shed{from, give});
    }
  }
}

// ------------------------------------------------------------------------- rent and return

void Fleet::scale() {
  const Ms now = rt_.now();
  const auto needs = owner_.needs();
  if (static_cast<int>(needs.size()) < s_.parts) return;  // without news nothing is concluded
  double waiting = 0, waiting_spot = 0, waiting_service = 0, work = 0, idle = 0, coming = 0;
  double total = 0, used = 0, slack = 0;
  for (const auto& [p, n] : needs) {
    waiting += n.waiting_cpus;
    waiting_spot += n.waiting_spot_cpus;
    waiting_service += n.waiting_service_cpus;
    work += n.waiting_core_s;
    total += n.total_cpus;
    used += n.used_cpus;
    slack = std::max(slack, n.slack_s);
    for (const auto& id : n.idle)
      if (auto m = registrar_.view().machines.find(id); m != registrar_.view().machines.end())
        if (const MachineType* t = type(m->second.record.type)) idle += t->cpus;
  }
  for (const auto& [id, r] : rented_)
    if (const MachineType* t = type(r.type)) coming += t->cpus;
  double boot = 0;
  for (const auto& t : types_) boot = std::max(boot, t.boot_s);
  // Where the usual slack before a deadline is long beside a boot time, thrift costs little:
  // enough is rented for the queue to be worked off within a part of the slack. (What is done
  // during a boot is not taken off: while work keeps coming, as much is added.) Services wait for
  // nothing. Elsewhere all that waits is rented for.
  const bool thrift = slack >= k::kThriftBoots * boot;
  const double asked =
      thrift ? std::min(waiting, std::max(work / (slack * k::kPatience) - total, waiting_service))
             : waiting;
  for (const auto& [p, n] : needs)
    spdlog::debug(
        "part need part={} waiting={:.0f} used={:.0f} services={:.0f} total={:.0f} idle={}", p,
        n.waiting_cpus, n.used_cpus, n.used_service_cpus, n.total_cpus, n.idle.size());
  const double lack = asked - idle - coming;
  spdlog::debug(
      "fleet asked={:.0f} waiting={:.0f} work={:.0f} used={:.0f} idle={:.0f} coming={:.0f} "
      "total={:.0f} "
      "slack={:.1f}",
      asked, waiting, work, used, idle, coming, total, slack);
  if (lack <= 0) {
    short_since_ = 0;
  } else if (short_since_ == 0) {
    short_since_ = now;
  }
  if (lack > 0 && now - short_since_ >= k::kNeedLastsMs && !renting_) {
    // The cheapest core first; what may run on spot machines is rented there.
    struct Offer {
      const MachineType* t;
      std::string zone;
      bool spot;
      double price;
    };
    std::vector<Offer> offers;
    const bool spot_helps = waiting_spot > coming;
    for (const auto& t : types_)
      for (const auto& zone : t.zones)
        for (bool spot : {true, false}) {
          if (spot && !spot_helps) continue;
          auto pause = refused_.find(t.name + "/" + zone + (spot ? "/spot" : "/"));
          if (pause != refused_.end() && pause->second > now) continue;
          offers.push_back({&t, zone, spot, (spot ? t.spot_price : t.price) / t.cpus});
        }
    auto best = std::min_element(offers.begin(), offers.end(),
                                 [](const auto& a, const auto& b) { return a.price < b.price; });
    if (best != offers.end()) {
      const int count =
          std::clamp(static_cast<int>(std::ceil(lack / best->t->cpus)), 1, k::kRentMost);
      rent(*best->t, best->zone, best->spot, count);
    }
  }
  // Machines idle for long are released, the dearest first, while nothing waits.
  for (auto it = idle_since_.begin(); it != idle_since_.end();) {
    bool still = false;
    for (const auto& [p, n] : needs)
      still |= std::find(n.idle.begin(), n.idle.end(), it->first) != n.idle.end();
    it = still ? std::next(it) : idle_since_.erase(it);
  }
  for (const auto& [p, n] : needs)
    for (const auto& id : n.idle) idle_since_.emplace(id, now);
  // Where the usual slack is short beside a boot time, a machine let go is missed: it is kept.
  std::string dearest;
  double price = -1;
  for (const auto& [id, since] : idle_since_) {
    auto m = registrar_.view().machines.find(id);
    if (m == registrar_.view().machines.end()) continue;
    const MachineType* t = type(m->second.record.type);
    const Ms keep = thrift ? k::kIdleReturnMs : k::kIdleKeepMs;
    if (now - since < keep || (t && idle - t->cpus < waiting)) continue;
    const double p = !t ? 0 : m->second.record.spot ? t->spot_price : t->price;
    if (p > price) {
      price = p;
      dearest = id;
    }
  }
  if (!dearest.empty()) advise(dearest, -1);
}

void Fleet::rent(const MachineType& t, const std::string& zone, bool spot, int count) {
  // Invariant 10: the stamp of our claim is never given twice, and the counter not within it.
  auto part = registrar_.view().parts.find(0);
  if (part == registrar_.view().parts.end() || part->second.owner != s_.node) return;
  renting_ = true;
  send_charter(t, zone, spot, count,
               "r-" + std::to_string(part->second.stamp) + "-" + std::to_string(++charter_counter_),
               k::kCommitTries);
}

void Fleet::send_charter(const MachineType& t, const std::string& zone, bool spot, int count,
                         const std::string& charter, int tries) {
  const std::string slot = t.name + "/" + zone + (spot ? "/spot" : "/");
  call({"", "POST", "/machines", codec::rent_body(charter, t.name, zone, spot, count), 0},
       [=, this, t = t](HttpReply r) {
         if (r.status == 200) {
           auto ids = codec::parse_rented(r.body).value_or(std::vector<std::string>{});
           for (const auto& id : ids) rented_[id] = {t.name, zone, spot, rt_.now()};
           counters_.rented += ids.size();
           spdlog::info("machines rented charter={} type={} zone={} spot={} asked={} got={}",
                        charter, t.name, zone, spot, count, ids.size());
           if (static_cast<int>(ids.size()) < count)
             refused_[slot] = rt_.now() + k::kNoCapacityPauseMs;
         } else if (r.status == 503 || r.status == 400) {
           refused_[slot] = rt_.now() + k::kNoCapacityPauseMs;
         } else if (tries > 1) {
           // Without an answer the same charter is asked again: it rents once at most.
           rt_.after(k::kRetryMs,
                     [=, this] { send_charter(t, zone, spot, count, charter, tries - 1); });
           return;
         }
         renting_ = false;
       });
}

void Fleet::list(const std::string& since) {
  listing_ = true;
  std::string path = "/machines?page=" + std::to_string(k::kListPage);
  if (!since.empty()) path += "&since=" + since;
  if (since.empty()) {
    in_list_.clear();
    list_sent_ = rt_.now();
  }
  call({"", "GET", path, "", 0}, [this](HttpReply r) {
    auto page = r.status == 200 ? codec::parse_machines(r.body) : std::nullopt;
    if (!page) {
      listing_ = false;
      listed_at_ = rt_.now();
      return;
    }
    const Ms now = rt_.now();
    for (const auto& m : page->machines) {
      in_list_.insert(m.id);
      auto& e = known_[m.id];
      e.last_seen = now;
      e.listed = m;
    }
    if (page->more && !page->machines.empty()) {
      list(page->machines.back().id);
      return;
    }
    listing_ = false;
    listed_at_ = now;
    listed_all();
  });
}

void Fleet::listed_all() {
  const Ms now = rt_.now();
  const View& v = registrar_.view();
  const Ms lag = static_cast<Ms>(s_.list_lag_s * 2000 * (1 + k::kDrift));
  for (auto it = known_.begin(); it != known_.end();) {
    const std::string id = it->first;
    const Known& e = it->second;
    // Once listed a machine stays listed until it is gone. This list describes a moment not
    // earlier than `lag` before it was asked for, so it is newer than the last that had it.
    if (!in_list_.count(id) && list_sent_ - lag > e.last_seen) {
      forget(id);
      rented_.erase(id);
      it = known_.erase(it);
      continue;
    }
    const MachineType* t = type(e.listed.type);
    const bool stuck =
        e.listed.phase == "starting" && t && e.listed.held_s > t->boot_s * k::kStuckBoots;
    if ((e.listed.phase == "failed" || stuck) && in_list_.count(id)) {
      auto m = v.machines.find(id);
      codec::MachineRecord record{-1, e.listed.type, e.listed.zone, e.listed.addr, e.listed.spot};
      if (m == v.machines.end())
        release(id, record, 0);
      else if (m->second.record.part >= 0 && e.listed.phase == "failed")
        release(id, record, m->second.stamp);
    }
    ++it;
  }
  for (auto it = rented_.begin(); it != rented_.end();) {
    const bool up = v.machines.count(it->first) > 0;
    const bool lost = !known_.count(it->first) && now - it->second.at > 4 * lag;
    it = up || lost ? rented_.erase(it) : std::next(it);
  }
}

// Invariant 10: released durably first. A machine that stopped by itself holds nothing that
// could run, so its owner need not be asked; one that never came up has no owner.
void Fleet::release(const std::string& id, const codec::MachineRecord& record,
                    std::uint64_t stamp) {
  if (!changing_.insert(id).second) return;
  Commit c;
  c.pace = Pace::fleet;
  c.nonce = registrar_.nonce();
  c.guards = {{codec::machine_key(id), stamp}};
  codec::MachineRecord released = record;
  released.part = -1;
  c.writes = {{codec::machine_key(id), codec::encode(released, c.nonce), false}};
  c.done = [this, id](Outcome, std::uint64_t) { changing_.erase(id); };
  spdlog::info("machine released machine={}", id);
  registrar_.commit(std::move(c));
}

// The key of a machine that is gone is of no use.
void Fleet::forget(const std::string& id) {
  auto m = registrar_.view().machines.find(id);
  if (m == registrar_.view().machines.end() || !changing_.insert(id).second) return;
  Commit c;
  c.pace = Pace::fleet;
  c.nonce = registrar_.nonce();
  c.guards = {{codec::machine_key(id), m->second.stamp}};
  c.writes = {{codec::machine_key(id), "", false}};
  c.done = [this, id](Outcome, std::uint64_t) { changing_.erase(id); };
  spdlog::info("machine forgotten machine={}", id);
  registrar_.commit(std::move(c));
}

void Fleet::return_released() {
  if (returning_) return;
  std::vector<std::string> ids;
  for (const auto& [id, m] : registrar_.view().machines)
    if (m.record.part < 0 && !changing_.count(id) && ids.size() < 100) ids.push_back(id);
  if (ids.empty()) return;
  returning_ = true;
  call({"", "POST", "/machines/return", codec::return_body(ids), 0}, [this, ids](HttpReply r) {
    returning_ = false;
    if (r.status != 200) return;
    counters_.returned += ids.size();
    hooks_.machines_gone(ids);
    for (const auto& id : ids) {
      spdlog::info("machine returned machine={}", id);
      rented_.erase(id);
      idle_since_.erase(id);
      forget(id);
    }
  });
}

void Fleet::tick() {
  const Ms now = rt_.now();
  if (!catalog_asked_ && now - catalog_at_ >= (types_.empty() ? k::kRetryMs : k::kCatalogEveryMs))
    get_catalog();
  if (!owner_.leading() || types_.empty()) {
    was_leading_ = false;
    return;
  }
  if (!was_leading_) {
    was_leading_ = true;
    leading_since_ = now;
    short_since_ = 0;
    idle_since_.clear();
    rented_.clear();
    known_.clear();
  }
  if (!listing_ && now - listed_at_ >= k::kListEveryMs) list("");
  if (now - balanced_at_ >= k::kBalanceEveryMs) {
    balanced_at_ = now;
    balance();
    return_released();
  }
  if (now - scaled_at_ >= k::kFleetEveryMs && now - leading_since_ >= k::kLeaderSettlesMs) {
    scaled_at_ = now;
    scale();
  }
}

}  // namespace eiderreel
