#include "actors/owner.h"

#include <spdlog/spdlog.h>

namespace eiderreel {

namespace k = constants;

Owner::Owner(Runtime& rt, const Settings& s, Registrar& registrar)
    : rt_(rt),
      s_(s),
      registrar_(registrar),
      started_(rt.now()),
      next_pledge_(static_cast<std::uint64_t>(rt.random() * 9e15)) {}

Owner::Owned* Owner::owned(int part) {
  auto it = owned_.find(part);
  return it == owned_.end() ? nullptr : &it->second;
}

// Invariant 6: whoever is not surely the owner does nothing. Sure is who has a live grant, or,
// while nobody reaches the state service, the pledges of all peers not to claim its parts.
bool Owner::entitled() const {
  if (registrar_.grant_alive()) return true;
  if (registrar_.grant() == 0 || s_.peers.empty()) return false;
  const Ms now = rt_.now();
  return std::all_of(s_.peers.begin(), s_.peers.end(), [&](const Peer& p) {
    auto it = pledge_until_.find(p.name);
    return it != pledge_until_.end() && now < it->second;
  });
}

bool Owner::acting(int part) const {
  auto it = owned_.find(part);
  return it != owned_.end() && it->second.active && entitled();
}

// Asked as soon as the state service is silent, so that the pledges are there when the grant
// can no longer be sure. A pledge counts from the sending of the question.
void Owner::ask_pledges() {
  const Ms now = rt_.now();
  if (owned_.empty() || now - registrar_.last_good() < k::kStateSilentMs ||
      now - pledge_asked_at_ < k::kPledgeEveryMs)
    return;
  pledge_asked_at_ = now;
  mesh::PledgeAsk a;
  a.number = ++next_pledge_;
  a.life = k::kPledgeMs;
  for (const auto& [part, o] : owned_) a.parts.emplace_back(part, o.core->term());
  pledge_asked_[a.number] = now;
  while (pledge_asked_.size() > k::kPledgesOpen) pledge_asked_.erase(pledge_asked_.begin());
  hooks_.broadcast(a);
}

void Owner::pledged(const std::string& node, const mesh::Pledge& p) {
  auto asked = pledge_asked_.find(p.number);
  if (asked == pledge_asked_.end() || !p.given) return;
  const Ms until =
      asked->second + static_cast<Ms>(k::kPledgeMs * (1 - k::kDrift)) - k::kGrantMarginMs;
  Ms& held = pledge_until_[node];
  held = std::max(held, until);
}

// We promise only while we do not reach the state service either, and only to the owner that we
// last saw there. A claim of ours that may still land forbids it. An earlier process of this
// node had a grant that is ended before we have one, so none of its claims can land any more.
bool Owner::pledge(const std::string& node, const mesh::PledgeAsk& a) {
  const View& v = registrar_.view();
  const Ms now = rt_.now();
  if (!v.ready || registrar_.grant() == 0 || a.life > k::kPledgeMs ||
      now - registrar_.last_good() < k::kStateSilentMs)
    return false;
  for (const auto& [part, stamp] : a.parts) {
    auto it = v.parts.find(part);
    if (it == v.parts.end() || it->second.owner != node || it->second.stamp != stamp ||
        claiming_.count(part) || in_doubt_.count(part) || owned_.count(part))
      return false;
  }
  for (const auto& [part, stamp] : a.parts)
    promised_[part] = std::max(promised_[part], now + static_cast<Ms>(a.life * (1 + k::kDrift)));
  return true;
}

Owner::Owned* Owner::acting_owned(int part) { return acting(part) ? owned(part) : nullptr; }

int Owner::part_of_job(const std::string& id) const {
  auto it = registrar_.view().jobs.find(id);
  return it == registrar_.view().jobs.end() ? -1 : s_.part_of_team(it->second.spec.team);
}

bool Owner::peer_alive(const std::string& node) const {
  auto it = peers_.find(node);
  return it != peers_.end() && rt_.now() - it->second.at < k::kStatusStaleMs;
}

std::map<int, PartNeed> Owner::needs() const {
  std::map<int, PartNeed> out;
  const Ms now = rt_.now();
  for (const auto& [name, p] : peers_)
    if (now - p.at < k::kStatusStaleMs)
      for (const auto& [part, n] : p.status.parts) out[part] = n;
  for (const auto& [part, o] : owned_)
    if (acting(part)) out[part] = o.core->need(now);
  return out;
}

std::map<int, const Part*> Owner::parts() const {
  std::map<int, const Part*> out;
  for (const auto& [part, o] : owned_) out[part] = o.core.get();
  return out;
}

// ----------------------------------------------------------- claims, hand-back and loss

void Owner::claim_vacant() {
  const View& v = registrar_.view();
  if (!v.ready || !registrar_.grant_alive()) return;
  const Ms now = rt_.now();
  for (int part = 0; part < s_.parts; ++part) {
    if (v.parts.count(part) || claiming_.count(part)) {
      vacant_since_.erase(part);
      continue;
    }
    const Ms since = vacant_since_.emplace(part, now).first->second;
    // Invariant 6: a promise is kept, also one that an earlier process of this node has given.
    if (now < promised_[part]) continue;
    if (last_owner_[part] != s_.node && now - started_ < k::kPledgeMs + k::kGrantMarginMs) continue;
    const std::string home = s_.home_of(part);
    Ms wait = 0;
    if (home != s_.node)
      wait = v.nodes.count(home) && !unheard(home) ? k::kClaimHomeAliveMs : k::kClaimOtherMs;
    if (!hears()) wait += k::kClaimUnheardMs;
    if (now - since >= wait) claim(part);
  }
}

void Owner::claim(int part) {
  claiming_.insert(part);
  Commit c;
  c.nonce = registrar_.nonce();
  c.guards = {{codec::part_key(part), 0}};
  c.writes = {{codec::part_key(part),
               codec::encode(codec::PartRecord{s_.node, registrar_.grant()}, c.nonce), true}};
  c.pace = Pace::urgent;
  const std::uint64_t grant = registrar_.grant();
  c.done = [this, part, grant](Outcome o, std::uint64_t stamp) {
    if (o == Outcome::ok && grant == registrar_.grant()) activate(part, stamp);
    // In doubt it may still land: the part's key will tell (see part_changed). Guard: it may also
    // never land, so the part is claimed again; a part nobody may claim stays without owner.
    if (o == Outcome::unknown && grant == registrar_.grant()) in_doubt_.insert(part);
    rt_.after(o == Outcome::refused ? k::kOverLimitMs : 0, [this, part] { claiming_.erase(part); });
  };
  registrar_.commit(std::move(c));
}

void Owner::activate(int part, std::uint64_t stamp) {
  if (owned_.count(part)) return;
  ++counters_.claims;
  spdlog::info("part claimed part={} term={} node={}", part, stamp, s_.node);
  Owned& o = owned_[part];
  o.core = std::make_unique<Part>(
      part, stamp, rt_.now(),
      PartLimits{static_cast<Ms>(s_.lease_s * 1000), static_cast<Ms>(s_.report_s * 1000),
                 s_.finish_aims, s_.wait_aims},
      s_.teams_of(part));
  o.core->set_types(types_);
  // The picture is whole once the view has our claim: nothing of the part's changes after it
  // without us, but for new jobs and machines, which the view will tell.
  registrar_.when_seen(stamp, [this, part, stamp] { load_done(part, stamp); });
}

void Owner::load_done(int part, std::uint64_t stamp) {
  Owned* o = owned(part);
  if (!o || o->core->term() != stamp) return;
  registrar_.list(codec::done_prefix(part), [this, part, stamp](auto rows) {
    Owned* o = owned(part);
    if (!o || o->core->term() != stamp) return;
    if (!rows) {
      rt_.after(k::kRetryMs, [this, part, stamp] { load_done(part, stamp); });
      return;
    }
    const View& v = registrar_.view();
    std::map<std::string, std::vector<std::uint32_t>> done;
    for (const auto& r : *rows) {
      const std::string job = codec::done_key_job(r.key);
      if (!v.jobs.count(job) || !r.done) continue;
      done[job].insert(done[job].end(), r.done->tasks.begin(), r.done->tasks.end());
      const auto chunk = static_cast<std::uint32_t>(std::stoul(codec::key_name(r.key)));
      o->flushes[job].chunk_stamps[chunk] = r.stamp;
    }
    const Ms now = rt_.now();
    for (const auto& [id, m] : v.machines)
      if (m.record.part == part) o->core->add_machine(id, m.stamp, m.stamp > stamp, now);
    for (const auto& [id, j] : v.jobs)
      if (s_.part_of_team(j.spec.team) == part)
        o->core->open_job(j.spec, j.stamp, j.stamp < stamp, done[id],
                          std::max<Ms>(0, rt_.wall() - j.spec.accepted_at));
    o->active = true;
    spdlog::info("part active part={} term={} jobs={} machines={}", part, stamp,
                 o->core->job_count(), o->core->machine_names().size());
  });
}

void Owner::drop(int part, const char* reason) {
  auto it = owned_.find(part);
  if (it == owned_.end()) return;
  spdlog::info("part dropped part={} term={} reason={}", part, it->second.core->term(), reason);
  auto parked = std::move(it->second.parked);
  owned_.erase(it);
  for (auto& [id, p] : parked) p.reply(503, "");
}

void Owner::grant_lost() {
  in_doubt_.clear();  // what is tethered to a grant that is over cannot land any more
  while (!owned_.empty()) drop(owned_.begin()->first, "grant-lost");
}

void Owner::part_changed(int part) {
  Owned* o = owned(part);
  auto it = registrar_.view().parts.find(part);
  if (it != registrar_.view().parts.end()) {
    last_owner_[part] = it->second.owner;
    // A claim of ours has landed, perhaps one that was in doubt.
    auto left = giving_up_.find(part);
    if (!o && it->second.owner == s_.node && it->second.grant == registrar_.grant() &&
        (left == giving_up_.end() || left->second != it->second.stamp))
      return activate(part, it->second.stamp);
  }
  if (!o) return;
  const bool ours = it != registrar_.view().parts.end() && it->second.owner == s_.node &&
                    it->second.stamp == o->core->term();
  if (!ours) drop(part, "key-changed");
}

// Whether a part may be given up now: the state service surely hears of it.
bool Owner::settled() const {
  return registrar_.grant_alive() && rt_.now() - registrar_.last_good() < k::kStateSilentMs;
}

// The key of a part is deleted under guard, and another node claims it. We stop acting before the
// commit is sent, since it may land unanswered.
void Owner::hand_over(int part, const char* reason) {
  const std::uint64_t stamp = owned_.at(part).core->term();
  drop(part, reason);
  ++counters_.handed_back;
  giving_up_[part] = stamp;
  give_up(part, stamp);
}

// A part whose home node is up again, and hears workers, goes back to it.
void Owner::hand_back() {
  const View& v = registrar_.view();
  const Ms now = rt_.now();
  for (auto& [part, o] : owned_) {
    const std::string home = s_.home_of(part);
    if (home == s_.node || !o.active || !settled()) continue;
    auto node = v.nodes.find(home);
    if (node == v.nodes.end() || now - node->second.seen < k::kHandBackAfterMs ||
        !peer_alive(home) || unheard(home))
      continue;
    hand_over(part, "handed-back");
    return;  // the map has changed; one a tick is enough
  }
}

// How long no worker has been heard of. Counted by ticks, so that a process which stood still does
// not take its own absence for theirs. A node that has heard none for a moment, perhaps since it
// owns no machines, asks any of all machines.
void Owner::listen() {
  const Ms now = rt_.now();
  silent_ += std::min(now - std::exchange(listened_at_, now), 2 * k::kTickMs);
  const auto& machines = registrar_.view().machines;
  if (machines.empty()) silent_ = 0;
  if (silent_ < static_cast<Ms>(s_.report_s * 1000 / 2) || now - probed_at_ < k::kProbeEveryMs)
    return;
  probed_at_ = now;
  const auto any = static_cast<std::ptrdiff_t>(rt_.random() * static_cast<double>(machines.size()));
  rt_.http({std::next(machines.begin(), any)->second.record.addr, "GET", "/inspect", "",
            k::kCommandTimeoutMs, true},
           [this](HttpReply r) {
             if (r.status == 200) silent_ = 0;
           });
}

bool Owner::hears() const {
  return silent_ < static_cast<Ms>(s_.report_s * 1000 * 5 / 4) + k::kSilenceMs;
}

// Whether a peer says that it hears no worker.
bool Owner::unheard(const std::string& node) const {
  auto it = peers_.find(node);
  return it != peers_.end() && !it->second.status.hears && peer_alive(node);
}

// Guard: a controller that has lost its workers alone keeps its grant, and would keep its parts;
// their leases would end, all of them together. It gives the parts to a peer that hears workers,
// in time for them to find it.
void Owner::leave_unheard() {
  if (hears() || !settled()) return;
  const bool heard = std::any_of(s_.peers.begin(), s_.peers.end(), [&](const Peer& p) {
    return peer_alive(p.name) && !unheard(p.name) && registrar_.view().nodes.count(p.name);
  });
  if (!heard) return;
  for (const auto& [part, o] : owned_)
    if (o.active) {
      last_status_ = 0;  // peers should know before they see the key go
      return hand_over(part, "workers-lost");
    }
}

// Guard: until the deletion has surely landed the key says that the part is ours, while nobody acts
// for it. Refused once and not sent again, it stood there for ever: all machines of the part were
// sent from node to node and back, and no task of it started any more.
void Owner::give_up(int part, std::uint64_t stamp) {
  Commit c;
  c.nonce = registrar_.nonce();
  c.guards = {{codec::part_key(part), stamp}};
  c.writes = {{codec::part_key(part), "", false}};
  c.pace = Pace::urgent;
  c.done = [this, part, stamp](Outcome o, std::uint64_t) {
    const auto& parts = registrar_.view().parts;
    auto it = parts.find(part);
    if (o == Outcome::ok || o == Outcome::conflict || it == parts.end() ||
        it->second.stamp != stamp) {
      giving_up_.erase(part);
      return;
    }
    rt_.after(k::kRetryMs, [this, part, stamp] { give_up(part, stamp); });
  };
  registrar_.commit(std::move(c));
}

// ------------------------------------------------------------------------------ reports

void Owner::report(const Report& r, Reply reply) {
  ++counters_.reports;
  silent_ = 0;
  const View& v = registrar_.view();
  if (!v.ready) return reply(503, "");
  auto upstream = [&](int part) {
    auto it = v.parts.find(part);
    if (it == v.parts.end() || it->second.owner == s_.node) return reply(503, "");
    reply(421, codec::upstream_body(it->second.owner));
  };
  auto m = v.machines.find(r.machine);
  if (m == v.machines.end()) {
    if (leading()) return hooks_.assign(r, std::move(reply));
    return upstream(0);
  }
  if (m->second.record.part < 0) return reply(503, "");  // released; it is being returned
  Owned* o = acting_owned(m->second.record.part);
  if (!o) return upstream(m->second.record.part);
  // A newer report of the worker: it no longer waits for the answer to the parked one.
  if (auto p = o->parked.find(r.machine); p != o->parked.end()) {
    auto old = std::move(p->second.reply);
    o->parked.erase(p);
    old(503, "");
  }
  const Ms now = rt_.now();
  Answer a = o->core->on_report(r, now);
  if (a.verdict == Verdict::stale) {
    ++counters_.stale_reports;
    return reply(503, "");
  }
  if (r.term < a.term) return answer(*o, r.machine, std::move(a.orders), std::move(reply));
  auto starts = o->core->place(r.machine, now);
  a.orders.insert(a.orders.end(), starts.begin(), starts.end());
  const Ms park = a.orders.empty() ? o->core->park_ms(r.machine) : 0;
  if (park > 0) {
    ++counters_.parked;
    o->parked[r.machine] = {std::move(reply), now + park};
    return;
  }
  answer(*o, r.machine, std::move(a.orders), std::move(reply));
}

void Owner::answer(Owned& o, const std::string& machine, std::vector<Order> orders, Reply reply) {
  counters_.preemptions += o.core->take_preemptions();
  for (const auto& order : orders)
    if (order.verb == Verb::launch) {
      ++counters_.starts;
      spdlog::debug("task start job={} task={} try={} machine={} term={}", order.job, order.index,
                    order.attempt, machine, o.core->term_of(machine));
    }
  o.core->answered(machine, rt_.now());
  reply(200, codec::report_answer(o.core->term_of(machine), orders));
}

// Work has come or room has freed: the parked machines are looked at, one by one.
void Owner::pump(Owned& o) {
  const Ms now = rt_.now();
  std::vector<std::pair<std::string, std::vector<Order>>> ready;
  const bool waiting = o.core->has_waiting();
  std::vector<std::string> ids;
  for (const auto& [id, p] : o.parked) ids.push_back(id);
  if (waiting) ids = o.core->fullest_first(std::move(ids));
  for (const auto& id : ids) {
    const Parked& p = o.parked.at(id);
    auto starts = waiting ? o.core->place(id, now) : std::vector<Order>{};
    if (!starts.empty() || p.until <= now) ready.emplace_back(id, std::move(starts));
  }
  for (auto& [id, starts] : ready) {
    auto reply = std::move(o.parked[id].reply);
    o.parked.erase(id);
    answer(o, id, std::move(starts), std::move(reply));
  }
}

void Owner::send_kills(Owned& o) {
  for (auto& kill : o.core->take_kills()) {
    // A worker that waits for its answer hears of it there; the others by /commands.
    if (auto p = o.parked.find(kill.machine); p != o.parked.end()) {
      auto reply = std::move(p->second.reply);
      o.parked.erase(p);
      answer(o, kill.machine, std::move(kill.orders), std::move(reply));
      continue;
    }
    rt_.http(
        {kill.addr, "POST", "/commands", codec::commands_body(kill.term, kill.tenure, kill.orders),
         k::kCommandTimeoutMs, true},
        [](HttpReply) {});  // its next report tells what came of it
  }
}

void Owner::machines_gone(const std::vector<std::string>& machines) {
  for (auto& [part, o] : owned_)
    for (const auto& id : machines)
      if (o.core->has_machine(id)) {
        spdlog::info("machine gone machine={} part={} proof=cloud", id, part);
        o.core->machine_gone(id, rt_.now());
      }
}

void Owner::machine_changed(const std::string& id) {
  const View& v = registrar_.view();
  auto it = v.machines.find(id);
  const int part = it == v.machines.end() ? -1 : it->second.record.part;
  for (auto& [p, o] : owned_) {
    if (!o.active) continue;  // it will read the view
    if (p == part) {
      o.core->add_machine(id, it->second.stamp, it->second.stamp > o.core->term(), rt_.now());
    } else if (o.core->has_machine(id)) {
      // Given away by our own commit, idle; or released. Nothing of ours is on it.
      if (auto parked = o.parked.find(id); parked != o.parked.end()) {
        auto reply = std::move(parked->second.reply);
        o.parked.erase(parked);
        reply(503, "");
      }
      o.core->remove_machine(id);
    }
  }
}

// The leader's advice. Invariant 3: only the owner gives machines away, idle, under guard. Those
// that go are decided as a class, in as few transactions as the state service allows.
void Owner::move(const mesh::Move& m) {
  Owned* o = acting_owned(m.part);
  if (!o || m.to == m.part || m.to >= s_.parts) return;
  std::vector<std::string> batch;
  for (const auto& id : o->core->idle_machines(m.spot, m.cpus, m.to < 0, rt_.now())) {
    if (!registrar_.view().machines.count(id) || !o->core->begin_leave(id)) continue;
    batch.push_back(id);
    if (static_cast<int>(batch.size()) < s_.batch()) continue;
    give_away(m.part, m.to, std::move(batch));
    batch.clear();
  }
  if (!batch.empty()) give_away(m.part, m.to, std::move(batch));
}

void Owner::give_away(int part, int to, std::vector<std::string> machines) {
  const View& v = registrar_.view();
  const std::uint64_t term = owned_.at(part).core->term();
  Commit c;
  c.pace = Pace::fleet;
  c.nonce = registrar_.nonce();
  c.guards = {{codec::part_key(part), term}};
  for (const auto& id : machines) {
    const auto& m = v.machines.at(id);
    codec::MachineRecord record = m.record;
    record.part = to;
    c.guards.push_back({codec::machine_key(id), m.stamp});
    c.writes.push_back({codec::machine_key(id), codec::encode(record, c.nonce), false});
    spdlog::info("machine moves machine={} from={} to={} term={}", id, part, to, term);
  }
  c.done = [this, part, to, term, machines](Outcome out, std::uint64_t) {
    Owned* o = owned(part);
    if (!o || o->core->term() != term) return;
    // In doubt they stay on their way out, since the commit may still land, and are tried again.
    if (out == Outcome::unknown) return try_again(part, to, term, machines);
    for (const auto& id : machines) o->core->end_leave(id);
  };
  registrar_.commit(std::move(c));
}

void Owner::try_again(int part, int to, std::uint64_t term, std::vector<std::string> machines) {
  rt_.after(k::kRetryMs, [this, part, to, term, machines] {
    Owned* o = owned(part);
    if (!o || o->core->term() != term) return;
    std::vector<std::string> still;
    for (const auto& id : machines)
      if (o->core->has_machine(id) && registrar_.view().machines.count(id)) still.push_back(id);
    if (still.empty()) return;
    if (!acting(part)) return try_again(part, to, term, std::move(still));
    give_away(part, to, std::move(still));
  });
}

void Owner::shed(const mesh::Shed& s) {
  if (Owned* o = acting_owned(s.part)) o->core->shed(s.cpus, rt_.now());
}

// --------------------------------------------------------------------------------- jobs

void Owner::job_opened(const std::string& id) {
  const auto& j = registrar_.view().jobs.at(id);
  Owned* o = owned(s_.part_of_team(j.spec.team));
  if (!o || !o->active) return;  // it will read the view
  o->core->open_job(j.spec, j.stamp, j.stamp < o->core->term(), {});
  pump(*o);
}

void Owner::job_closed(const std::string& id) {
  for (auto& [part, o] : owned_) {
    o.flushes.erase(id);
    if (!o.core->has_job(id)) continue;
    o.core->close_job(id);
    send_kills(o);
    if (o.active) pump(o);
  }
}

void Owner::ask(const mesh::Ask& a, Reply reply) {
  const int part = part_of_job(a.job);
  Owned* o = part < 0 ? nullptr : acting_owned(part);
  auto status = o ? o->core->status(a.job) : std::nullopt;
  if (!status) return reply(0, "");
  if (!a.cancel) return reply(200, codec::job_status(a.job, *status));
  finish(part, a.job, JobPhase::cancelled, std::move(reply));
}

std::vector<codec::Guard> Owner::job_guards(int part, const std::string& id) const {
  const Part& core = *owned_.at(part).core;
  return {{codec::part_key(part), core.term()}, {codec::job_key(id), core.job_stamp(id)}};
}

// Invariant 7: done and cancelled are told only after this commit. Until its outcome is known
// nothing of the job is started; in doubt it is tried again for as long as we are the owner.
void Owner::finish(int part, const std::string& id, JobPhase phase, Reply reply) {
  Owned& o = owned_.at(part);
  Flush& f = o.flushes[id];
  if (f.in_flight) return reply(503, codec::error_body("the job is changing"));
  f.in_flight = true;
  o.core->hold_job(id);
  Commit c;
  c.nonce = registrar_.nonce();
  c.guards = job_guards(part, id);
  c.writes = {{codec::final_key(id), codec::encode_final(phase, c.nonce), false},
              {codec::job_key(id), "", false}};
  for (const auto& [chunk, stamp] : f.chunk_stamps)
    c.writes.push_back({codec::done_key(part, id, chunk), "", false});
  const std::uint64_t term = o.core->term();
  c.done = [this, part, id, phase, term, reply](Outcome out, std::uint64_t) {
    Owned* o = owned(part);
    const bool still = o && o->core->term() == term;
    if (out == Outcome::ok) {
      spdlog::info("job {} job={} term={}", codec::phase_name(phase), id, term);
      reply(200, codec::job_answer(id, phase));
      return;
    }
    if (still) {
      auto f = o->flushes.find(id);
      if (f != o->flushes.end()) {
        f->second.in_flight = false;
        f->second.last = rt_.now();
      }
      if (out == Outcome::refused && phase == JobPhase::cancelled) o->core->release_job(id);
    }
    spdlog::warn("job not-final job={} phase={} term={} outcome={}", id, codec::phase_name(phase),
                 term, static_cast<int>(out));
    reply(503, codec::error_body("the state service did not confirm; ask again"));
    if (still && out == Outcome::unknown && phase == JobPhase::cancelled)
      rt_.after(k::kRetryMs, [this, part, id, term] {
        Owned* o = acting_owned(part);
        if (o && o->core->term() == term && o->core->has_job(id))
          finish(part, id, JobPhase::cancelled, [](int, std::string) {});
      });
  };
  registrar_.commit(std::move(c));
}

void Owner::flush(int part, Owned& o) {
  const Ms now = rt_.now();
  for (const auto& id : o.core->jobs_to_record()) {
    Flush& f = o.flushes[id];
    if (f.in_flight) continue;
    if (o.core->complete(id)) {
      if (now - f.last >= k::kFinishRetryMs)
        finish(part, id, JobPhase::done, [](int, std::string) {});
    } else if (!o.core->held(id) && now - f.last >= k::kDoneBatchMs) {
      flush_job(part, o, id);
    }
  }
}

// The done tasks of one job, in one batch. A chunk is guarded by its own stamp, so a late copy
// of an earlier batch cannot undo a later one.
void Owner::flush_job(int part, Owned& o, const std::string& id) {
  Flush& f = o.flushes[id];
  f.in_flight = true;
  f.last = rt_.now();
  const auto tasks = o.core->unrecorded(id);
  std::set<std::uint32_t> chunks;
  for (auto t : tasks) chunks.insert(t / k::kDoneChunk);
  Commit c;
  c.pace = Pace::progress;
  c.nonce = registrar_.nonce();
  c.guards = job_guards(part, id);
  for (auto chunk : chunks) {
    auto stamp = f.chunk_stamps.find(chunk);
    const std::string key = codec::done_key(part, id, chunk);
    c.guards.push_back({key, stamp == f.chunk_stamps.end() ? 0 : stamp->second});
    c.writes.push_back(
        {key, codec::encode_done(o.core->done_in_chunk(id, chunk), chunk, c.nonce), false});
  }
  const std::uint64_t term = o.core->term();
  c.done = [this, part, id, term, tasks, chunks](Outcome out, std::uint64_t stamp) {
    Owned* o = owned(part);
    if (!o || o->core->term() != term) return;
    auto f = o->flushes.find(id);
    if (f == o->flushes.end()) return;
    f->second.in_flight = false;
    if (out == Outcome::ok) {
      for (auto chunk : chunks) f->second.chunk_stamps[chunk] = stamp;
      o->core->mark_recorded(id, tasks);
    } else if (out != Outcome::refused) {
      // Which batch stands there is not known: read the stamps before the next one.
      for (auto chunk : chunks)
        registrar_.read(codec::done_key(part, id, chunk), [this, part, id, term, chunk](auto row) {
          Owned* o = owned(part);
          if (!row || !o || o->core->term() != term) return;
          auto f = o->flushes.find(id);
          if (f != o->flushes.end()) f->second.chunk_stamps[chunk] = row->stamp;
        });
    }
  };
  registrar_.commit(std::move(c));
}

// --------------------------------------------------------------------------------- pace

void Owner::types_known(const std::vector<MachineType>& types) {
  types_ = types;
  for (auto& [part, o] : owned_) o.core->set_types(types_);
}

void Owner::peer_status(const std::string& node, const mesh::Status& s) {
  peers_[node] = {rt_.now(), s};
  registrar_.peer_use(node, s.use);
}

void Owner::tick() {
  listen();
  claim_vacant();
  hand_back();
  leave_unheard();
  ask_pledges();
  const Ms now = rt_.now();
  for (auto& [part, o] : owned_) {
    if (!o.active) continue;
    const bool acts = acting(part);
    for (const auto& id : o.core->tick(now)) {
      if (!acts) continue;  // they report to somebody else
      ++counters_.leases_over;
      spdlog::info("machine gone machine={} part={} term={} proof=lease", id, part,
                   o.core->term_of(id));
    }
    if (!acts) {
      // Not entitled at the moment: those who wait are sent on, nothing is started.
      auto parked = std::move(o.parked);
      o.parked.clear();
      for (auto& [id, p] : parked) p.reply(503, "");
      continue;
    }
    pump(o);
    flush(part, o);
  }
  if (now - last_status_ >= k::kStatusEveryMs) {
    last_status_ = now;
    mesh::Status s;
    for (const auto& [part, o] : owned_)
      if (acting(part)) s.parts.emplace_back(part, o.core->need(now));
    s.use = registrar_.use();
    s.hears = hears();
    hooks_.broadcast(s);
  }
}

}  // namespace eiderreel
