#include "leadership/partition_leader.h"

#include <spdlog/spdlog.h>

namespace eiderreel {

namespace k = constants;

Owner::Owner(Runtime& rt, const Settings& s, StateStoreClient& state_store)
    : rt_(rt),
      s_(s),
      state_store_(state_store),
      started_(rt.now()),
      next_promise_request_(static_cast<std::uint64_t>(rt.random() * 9e15)),
      conversion_pace_(s.upgrade.conversion_share * s.state_write_rps /
                       static_cast<double>(s.peers.size() + 1)) {}

Reply Owner::Owned::take_deferred(const std::string& machine) {
  auto it = deferred.find(machine);
  if (it == deferred.end()) return nullptr;
  Reply reply = std::move(it->second.reply);
  deferred.erase(it);
  return reply;
}

Owner::Owned* Owner::owned(int part) {
  auto it = owned_.find(part);
  return it == owned_.end() ? nullptr : &it->second;
}

Owner::Owned* Owner::acting_owned(int part) { return acting(part) ? owned(part) : nullptr; }

int Owner::part_of_job(const std::string& id) const {
  auto it = state_store_.view().jobs.find(id);
  return it == state_store_.view().jobs.end() ? -1 : s_.part_of_team(it->second.spec.team);
}

bool Owner::peer_alive(const std::string& node) const {
  auto it = peers_.find(node);
  return it != peers_.end() && rt_.now() - it->second.at < k::kStatusStaleMs;
}

bool Owner::has_old_peer() const {
  const auto& nodes = state_store_.view().nodes;
  return std::any_of(s_.peers.begin(), s_.peers.end(), [&](const Peer& p) {
    const auto node = nodes.find(p.name);
    const auto peer = peers_.find(p.name);
    return (node != nodes.end() && node->second.record.features == 0) ||
           (peer_alive(p.name) && peer->second.status.features == 0);
  });
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

std::vector<int> Owner::unheard_parts() const {
  const auto heard = needs();
  std::vector<int> out;
  for (int part = 0; part < s_.parts; ++part)
    if (!heard.count(part)) out.push_back(part);
  return out;
}

std::map<int, const Part*> Owner::parts() const {
  std::map<int, const Part*> out;
  for (const auto& [part, o] : owned_) out[part] = o.core.get();
  return out;
}

// ------------------------------------------------------------------------------ reports

void Owner::report(const Report& r, Reply reply) {
  ++counters_.reports;
  silent_ = 0;
  // A newer report of the worker: it no longer waits for the answer to the held one.
  if (auto held = held_reports_.find(r.machine); held != held_reports_.end()) {
    auto old = std::move(held->second.reply);
    held_reports_.erase(held);
    old(503, "");
  }
  dispatch(r, std::move(reply));
}

void Owner::dispatch(const Report& r, Reply reply) {
  const View& v = state_store_.view();
  if (!v.ready) return reply(503, "");
  auto m = v.machines.find(r.machine);
  if (m == v.machines.end()) {
    if (leading()) return hooks_.assign(r, std::move(reply));
    return redirect(r, 0, std::move(reply));
  }
  if (m->second.record.part < 0) return reply(503, "");  // released; it is being returned
  Owned* o = acting_owned(m->second.record.part);
  if (!o) return redirect(r, m->second.record.part, std::move(reply));
  // A newer report of the worker: it no longer waits for the answer to the deferred one.
  if (auto old = o->take_deferred(r.machine)) old(503, "");
  const Ms now = rt_.now();
  Answer a = o->core->on_report(r, now);
  if (a.verdict == Verdict::stale) {
    ++counters_.stale_reports;
    return reply(503, "");
  }
  if (r.term < a.term) return answer(*o, r.machine, std::move(a.commands), std::move(reply));
  auto starts = o->core->place(r.machine, now);
  a.commands.insert(a.commands.end(), starts.begin(), starts.end());
  const Ms defer = a.commands.empty() ? o->core->defer_ms(r.machine) : 0;
  if (defer > 0) {
    ++counters_.deferred;
    o->deferred[r.machine] = {std::move(reply), now + defer};
    return;
  }
  answer(*o, r.machine, std::move(a.commands), std::move(reply));
}

// Whether the node that owns a part, or owned it last, is a peer that is not heard of.
bool Owner::owner_silent(int part) const {
  const auto owner = last_owner_.find(part);
  return owner != last_owner_.end() && owner->second != s_.node && !peer_alive(owner->second);
}

// Guard: a worker that is sent to an owner that has stopped waits 4 s for it, for the second time,
// and its lease ends. Where the owner is silent, the report is held for a takeover.
void Owner::redirect(const Report& r, int part, Reply reply) {
  if (!owner_silent(part)) return name_owner(part, reply);
  held_reports_[r.machine] = {r, part, std::move(reply), rt_.now() + k::kHoldReportMs};
}

void Owner::name_owner(int part, const Reply& reply) const {
  const auto& parts = state_store_.view().parts;
  auto it = parts.find(part);
  if (it == parts.end() || it->second.owner == s_.node) return reply(503, "");
  reply(421, codec::upstream_body(it->second.owner));
}

// Held reports go where they belong once that is known. Silence is no proof that the owner has
// stopped, so in the end its name is told all the same.
void Owner::release_held_reports() {
  std::vector<HeldReport> ready;
  for (auto it = held_reports_.begin(); it != held_reports_.end();) {
    if (owner_silent(it->second.part) && rt_.now() < it->second.until) {
      ++it;
      continue;
    }
    ready.push_back(std::move(it->second));
    it = held_reports_.erase(it);
  }
  for (HeldReport& held : ready) {
    if (owner_silent(held.part))
      name_owner(held.part, held.reply);
    else
      dispatch(held.report, std::move(held.reply));
  }
}

void Owner::answer(Owned& o, const std::string& machine, std::vector<Command> commands,
                   Reply reply) {
  counters_.preemptions += o.core->take_preemptions();
  for (const auto& order : commands)
    if (order.verb == Verb::launch) {
      ++counters_.starts;
      spdlog::debug("task start job={} task={} try={} machine={} term={}", order.job, order.index,
                    order.attempt, machine, o.core->term_of(machine));
    }
  o.core->answered(machine, rt_.now());
  reply(200, codec::report_answer(o.core->term_of(machine), commands));
}

// Work has come or room has freed: the deferred machines are looked at, one by one. Invariant 6,
// guard: whoever has stood still finds changes of the state service before its own pace, and the
// lease may be over by then.
void Owner::pump(Owned& o) {
  if (!acting(o.core->index())) return;
  const Ms now = rt_.now();
  std::vector<std::pair<std::string, std::vector<Command>>> ready;
  const bool waiting = o.core->has_waiting();
  std::vector<std::string> ids;
  for (const auto& [id, p] : o.deferred) ids.push_back(id);
  if (waiting) ids = o.core->fullest_first(std::move(ids));
  for (const auto& id : ids) {
    const DeferredReply& p = o.deferred.at(id);
    auto starts = waiting ? o.core->place(id, now) : std::vector<Command>{};
    if (!starts.empty() || p.until <= now) ready.emplace_back(id, std::move(starts));
  }
  for (auto& [id, starts] : ready) {
    answer(o, id, std::move(starts), o.take_deferred(id));
  }
}

// Invariant 6: without a lease they are kept until the owner is sure of it again, or drops the
// part.
void Owner::send_kills(Owned& o) {
  if (!acting(o.core->index())) return;
  for (auto& kill : o.core->take_kills()) {
    // A worker that waits for its answer hears of it there; the others by /commands.
    if (auto reply = o.take_deferred(kill.machine)) {
      answer(o, kill.machine, std::move(kill.commands), std::move(reply));
      continue;
    }
    const int part = o.core->index();
    rt_.http(
        {kill.addr, "POST", "/commands",
         codec::commands_body(kill.term, kill.session, kill.commands), k::kCommandTimeoutMs, true},
        [this, part, machine = kill.machine, term = o.core->term()](HttpReply r) {
          // Its next report tells what came of it. Guard: without an answer it may be mute, and
          // hear of the kill in no other way.
          if (r.status == 0) kill_again(part, term, machine);
        });
  }
}

void Owner::kill_again(int part, std::uint64_t term, const std::string& machine) {
  rt_.after(k::kRetryMs, [this, part, term, machine] {
    Owned* o = acting_owned(part);
    if (!o || o->core->term() != term) return;
    o->core->kill_again(machine);
    send_kills(*o);
  });
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
  const View& v = state_store_.view();
  auto it = v.machines.find(id);
  const int part = it == v.machines.end() ? -1 : it->second.record.part;
  for (auto& [p, o] : owned_) {
    if (!o.active) continue;  // it will read the view
    if (p == part) {
      o.core->add_machine(id, it->second.revision, it->second.revision > o.core->term(), rt_.now());
    } else if (o.core->has_machine(id)) {
      // Given away by our own commit, idle; or released. Nothing of ours is on it.
      if (auto reply = o.take_deferred(id)) reply(503, "");
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
    if (!state_store_.view().machines.count(id) || !o->core->begin_leave(id)) continue;
    batch.push_back(id);
    if (static_cast<int>(batch.size()) < s_.batch()) continue;
    give_away(m.part, m.to, std::move(batch));
    batch.clear();
  }
  if (!batch.empty()) give_away(m.part, m.to, std::move(batch));
}

void Owner::give_away(int part, int to, const std::vector<std::string>& machines) {
  const View& v = state_store_.view();
  const std::uint64_t term = owned_.at(part).core->term();
  Commit c;
  c.pace = Pace::fleet;
  c.nonce = state_store_.nonce();
  c.preconditions = {{codec::part_key(part), term}};
  for (const auto& id : machines) {
    const auto& m = v.machines.at(id);
    codec::MachineRecord record = m.record;
    record.part = to;
    c.preconditions.push_back({codec::machine_key(id), m.revision});
    c.writes.push_back({codec::machine_key(id), codec::encode(record, c.nonce), false});
    spdlog::info("machine moves machine={} from={} to={} term={}", id, part, to, term);
  }
  send_move(part, term, machines, std::move(c));
}

// Guard: in doubt they stay on their way out, and the same commit is tried until it is proven done
// or undone. A later try that was refused once let their owner use them again; then the first
// landed after all, and their tasks were started a second time while they still ran.
void Owner::send_move(int part, std::uint64_t term, const std::vector<std::string>& machines,
                      Commit c) {
  c.done = [this, part, term, machines, again = c](Outcome out, std::uint64_t) mutable {
    Owned* o = owned(part);
    if (!o || o->core->term() != term) return;
    again.doubt = true;
    if (out == Outcome::unknown) return move_again(part, term, machines, again);
    for (const auto& id : machines) o->core->end_leave(id);
  };
  state_store_.commit(std::move(c));
}

void Owner::move_again(int part, std::uint64_t term, const std::vector<std::string>& machines,
                       const Commit& c) {
  rt_.after(k::kRetryMs, [this, part, term, machines, c] {
    Owned* o = owned(part);
    if (!o || o->core->term() != term) return;
    if (acting(part))
      send_move(part, term, machines, c);
    else
      move_again(part, term, machines, c);
  });
}

void Owner::shed(const mesh::Shed& s) {
  if (Owned* o = acting_owned(s.part)) o->core->shed(s.cpus, s.drain, rt_.now());
}

// --------------------------------------------------------------------------------- pace

void Owner::types_known(const std::vector<MachineType>& types) {
  types_ = types;
  for (auto& [part, o] : owned_) o.core->set_types(types_);
}

void Owner::peer_status(const std::string& node, const mesh::Status& s) {
  peers_[node] = {rt_.now(), s};
  state_store_.peer_use(node, s.use);
}

void Owner::tick() {
  listen();
  claim_vacant();
  hand_back();
  hand_over_if_workers_lost();
  request_promises();
  release_held_reports();
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
      auto deferred = std::move(o.deferred);
      o.deferred.clear();
      for (auto& [id, p] : deferred) p.reply(503, "");
      continue;
    }
    send_kills(o);
    pump(o);
    persist(part, o);
  }
  if (now - last_status_ >= k::kStatusEveryMs) {
    last_status_ = now;
    mesh::Status s;
    for (const auto& [part, o] : owned_)
      if (acting(part)) s.parts.emplace_back(part, o.core->need(now));
    s.use = state_store_.use();
    s.hears = hears();
    s.features = k::kFeatures;
    s.conversion = conversion();
    hooks_.broadcast(s);
  }
}

}  // namespace eiderreel
