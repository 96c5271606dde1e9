// Whose part is whose: claims, promises, activation, hand-back and loss. What an owner does with
// the machines of a part stands in owner.cc, what it does with its jobs in owner_jobs.cc.
#include <spdlog/spdlog.h>

#include "leadership/partition_leader.h"

namespace eiderreel {

namespace k = constants;

// Invariant 6: whoever is not surely the owner does nothing. Sure is who has a live grant, or,
// while nobody reaches the state service, the promises of all peers not to claim its parts.
bool Owner::entitled() const {
  if (state_store_.grant_alive()) return true;
  if (state_store_.grant() == 0 || s_.peers.empty()) return false;
  const Ms now = rt_.now();
  return std::all_of(s_.peers.begin(), s_.peers.end(), [&](const Peer& p) {
    auto it = peer_promises_.find(p.name);
    return it != peer_promises_.end() && now < it->second;
  });
}

bool Owner::acting(int part) const {
  auto it = owned_.find(part);
  return it != owned_.end() && it->second.active && entitled();
}

// Asked as soon as the state service is silent, so that the promises are there when the grant
// can no longer be sure. A promise counts from the sending of the question.
void Owner::request_promises() {
  const Ms now = rt_.now();
  if (owned_.empty() || now - state_store_.last_good() < k::kStateSilentMs ||
      now - promises_requested_at_ < k::kPromiseRequestEveryMs)
    return;
  promises_requested_at_ = now;
  mesh::PromiseRequest a;
  a.number = ++next_promise_request_;
  a.life = k::kPromiseMs;
  a.store_revision = state_store_.view().store_revision;
  for (const auto& [part, o] : owned_) a.parts.emplace_back(part, o.core->term());
  promise_requests_[a.number] = now;
  while (promise_requests_.size() > k::kPromiseRequestsOpen)
    promise_requests_.erase(promise_requests_.begin());
  hooks_.broadcast(a);
}

void Owner::take_promise(const std::string& node, const mesh::Promise& p) {
  auto asked = promise_requests_.find(p.number);
  if (asked == promise_requests_.end() || !p.given) return;
  // Guard: our view stands still while promises keep us acting. What the peer may have told its
  // users we must know first: such a job's tasks went on for as long as the state service was down.
  state_store_.replica().take_closed(p.closed);
  const Ms until =
      asked->second + static_cast<Ms>(k::kPromiseMs * (1 - k::kDrift)) - k::kGrantMarginMs;
  Ms& held = peer_promises_[node];
  held = std::max(held, until);
}

// We promise only while we do not reach the state service either, and only to the owner that we
// last saw there. A claim of ours that may still land forbids it. An earlier process of this
// node had a grant that is ended before we have one, so none of its claims can land any more.
bool Owner::may_promise(const std::string& node, const mesh::PromiseRequest& a) const {
  const View& v = state_store_.view();
  const Ms now = rt_.now();
  if (!v.ready || state_store_.grant() == 0 || a.life > k::kPromiseMs ||
      now - state_store_.last_good() < k::kStateSilentMs)
    return false;
  for (const auto& [part, revision] : a.parts) {
    auto it = v.parts.find(part);
    if (it == v.parts.end() || it->second.owner != node || it->second.revision != revision ||
        claiming_.count(part) || in_doubt_.count(part) || owned_.count(part))
      return false;
  }
  return true;
}

// With the promise goes every end of a job that the asker's view may lack; a node that has not
// followed for as long as that cannot know them all, and promises nothing.
mesh::Promise Owner::give_promise(const std::string& node, const mesh::PromiseRequest& a) {
  // Guard: a node that the state service refused alone, before the outage, has not seen the claim
  // of the part that it lost. It promised nothing then, and all leases of the part ended.
  for (const auto& [part, revision] : a.parts)
    state_store_.replica().take_claim(part, node, revision);
  auto closed = state_store_.replica().closed_since(a.store_revision);
  if (!closed || !may_promise(node, a)) return {a.number, false, {}};
  const Ms until = rt_.now() + static_cast<Ms>(a.life * (1 + k::kDrift));
  for (const auto& [part, revision] : a.parts)
    promised_to_peers_[part] = std::max(promised_to_peers_[part], until);
  return {a.number, true, std::move(*closed)};
}

// ----------------------------------------------------------- claims, hand-back and loss

void Owner::claim_vacant() {
  const View& v = state_store_.view();
  if (!v.ready || !state_store_.grant_alive()) return;
  const Ms now = rt_.now();
  for (int part = 0; part < s_.parts; ++part) {
    if (v.parts.count(part) || claiming_.count(part)) {
      vacant_since_.erase(part);
      continue;
    }
    const Ms since = vacant_since_.emplace(part, now).first->second;
    // Invariant 6: a promise is kept, also one that an earlier process of this node has given.
    if (now < promised_to_peers_[part]) continue;
    const auto last = last_owner_.find(part);
    const bool ours = last != last_owner_.end() && last->second == s_.node;
    if (!ours && now - started_ < k::kPromiseMs + k::kGrantMarginMs) continue;
    const std::string home = s_.home_of(part);
    Ms wait = 0;
    if (home != s_.node)
      wait =
          v.nodes.count(home) && !has_lost_workers(home) ? k::kClaimHomeAliveMs : k::kClaimOtherMs;
    if (!hears()) wait += k::kClaimWorkersLostMs;
    if (now - since >= wait) claim(part);
  }
}

void Owner::claim(int part) {
  claiming_.insert(part);
  Commit c;
  c.nonce = state_store_.nonce();
  c.preconditions = {{codec::part_key(part), 0}};
  c.writes = {{codec::part_key(part),
               codec::encode(codec::PartRecord{s_.node, state_store_.grant()}, c.nonce), true}};
  c.pace = Pace::urgent;
  const std::uint64_t grant = state_store_.grant();
  c.done = [this, part, grant](Outcome o, std::uint64_t revision) {
    if (o == Outcome::ok && grant == state_store_.grant()) activate(part, revision);
    // In doubt it may still land: the part's key will tell (see part_changed). Guard: it may also
    // never land, so the part is claimed again; a part nobody may claim stays without owner.
    // Guard: that another claim stands there now says nothing of an earlier try without answer.
    if ((o == Outcome::unknown || o == Outcome::superseded) && grant == state_store_.grant())
      in_doubt_.insert(part);
    rt_.after(o == Outcome::refused ? k::kOverLimitMs : 0, [this, part] { claiming_.erase(part); });
  };
  state_store_.commit(std::move(c));
}

void Owner::activate(int part, std::uint64_t revision) {
  if (owned_.count(part)) return;
  ++counters_.claims;
  spdlog::info("part claimed part={} term={} node={}", part, revision, s_.node);
  Owned& o = owned_[part];
  o.core = std::make_unique<Part>(
      part, revision, rt_.now(),
      PartLimits{static_cast<Ms>(s_.lease_s * 1000), static_cast<Ms>(s_.report_s * 1000),
                 s_.finish_aims, s_.wait_aims, static_cast<Ms>(s_.guarantee_s * 1000)},
      s_.teams_of(part));
  o.core->set_types(types_);
  // The picture is whole once the view has our claim: nothing of the part's changes after it
  // without us, but for new jobs and machines, which the view will tell.
  state_store_.when_seen(revision, [this, part, revision] { load_done(part, revision); });
}

void Owner::load_done(int part, std::uint64_t revision) {
  Owned* o = owned(part);
  if (!o || o->core->term() != revision) return;
  state_store_.list(codec::done_prefix(part), [this, part, revision](auto rows) {
    Owned* o = owned(part);
    if (!o || o->core->term() != revision) return;
    if (!rows) {
      rt_.after(k::kRetryMs, [this, part, revision] { load_done(part, revision); });
      return;
    }
    const View& v = state_store_.view();
    std::map<std::string, std::vector<std::uint32_t>> done;
    for (const auto& r : *rows) {
      const std::string job = codec::done_key_job(r.key);
      // Progress is written under a claim: of a job accepted before ours, so one that is not open
      // is over.
      if (!v.jobs.count(job)) o->unused_keys.push_back(r.key);
      if (!v.jobs.count(job)) continue;
      auto& stored = o->persistence[job].progress[r.key];
      stored = upgrade::stored_progress(r);
      if (stored.unreadable) {
        spdlog::error("progress unreadable key={}", r.key);
        continue;
      }
      done[job].insert(done[job].end(), r.done->tasks.begin(), r.done->tasks.end());
    }
    const Ms now = rt_.now();
    for (const auto& [id, m] : v.machines)
      if (m.record.part == part) o->core->add_machine(id, m.revision, m.revision > revision, now);
    for (const auto& [id, j] : v.jobs)
      if (s_.part_of_team(j.spec.team) == part && !v.dependencies.waits(id))
        open_in(*o, id, done[id]);
    o->active = true;
    spdlog::info("part active part={} term={} jobs={} machines={}", part, revision,
                 o->core->job_count(), o->core->machine_names().size());
  });
}

void Owner::drop(int part, const char* reason) {
  auto it = owned_.find(part);
  if (it == owned_.end()) return;
  spdlog::info("part dropped part={} term={} reason={}", part, it->second.core->term(), reason);
  auto deferred = std::move(it->second.deferred);
  owned_.erase(it);
  for (auto& [id, p] : deferred) p.reply(503, "");
}

void Owner::grant_lost() {
  in_doubt_.clear();  // what is tethered to a grant that is over cannot land any more
  while (!owned_.empty()) drop(owned_.begin()->first, "grant-lost");
}

void Owner::part_changed(int part) {
  Owned* o = owned(part);
  auto it = state_store_.view().parts.find(part);
  if (it != state_store_.view().parts.end()) {
    last_owner_[part] = it->second.owner;
    // A claim of ours has landed, perhaps one that was in doubt.
    auto left = giving_up_.find(part);
    if (!o && it->second.owner == s_.node && it->second.grant == state_store_.grant() &&
        (left == giving_up_.end() || left->second != it->second.revision))
      return activate(part, it->second.revision);
  }
  if (!o) return;
  const bool ours = it != state_store_.view().parts.end() && it->second.owner == s_.node &&
                    it->second.revision == o->core->term();
  if (!ours) drop(part, "key-changed");
}

// Whether a part may be given up now: the state service surely hears of it.
bool Owner::settled() const {
  return state_store_.grant_alive() && rt_.now() - state_store_.last_good() < k::kStateSilentMs;
}

// The key of a part is deleted under guard, and another node claims it. We stop acting before the
// commit is sent, since it may land unanswered.
void Owner::hand_over(int part, const char* reason) {
  const std::uint64_t revision = owned_.at(part).core->term();
  drop(part, reason);
  ++counters_.handed_back;
  giving_up_[part] = revision;
  give_up(part, revision);
}

// A part whose home node is up again, and hears workers, goes back to it.
void Owner::hand_back() {
  const View& v = state_store_.view();
  const Ms now = rt_.now();
  for (auto& [part, o] : owned_) {
    const std::string home = s_.home_of(part);
    if (home == s_.node || !o.active || !settled()) continue;
    auto node = v.nodes.find(home);
    if (node == v.nodes.end() || now - node->second.seen < k::kHandBackAfterMs ||
        !peer_alive(home) || has_lost_workers(home))
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
  const auto& machines = state_store_.view().machines;
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
bool Owner::has_lost_workers(const std::string& node) const {
  auto it = peers_.find(node);
  return it != peers_.end() && !it->second.status.hears && peer_alive(node);
}

// Guard: a controller that has lost its workers alone keeps its grant, and would keep its parts;
// their leases would end, all of them together. It gives the parts to a peer that hears workers,
// in time for them to find it.
void Owner::hand_over_if_workers_lost() {
  if (hears() || !settled()) return;
  const bool heard = std::any_of(s_.peers.begin(), s_.peers.end(), [&](const Peer& p) {
    return peer_alive(p.name) && !has_lost_workers(p.name) &&
           state_store_.view().nodes.count(p.name);
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
void Owner::give_up(int part, std::uint64_t revision) {
  Commit c;
  c.nonce = state_store_.nonce();
  c.preconditions = {{codec::part_key(part), revision}};
  c.writes = {{codec::part_key(part), "", false}};
  c.pace = Pace::urgent;
  c.done = [this, part, revision](Outcome o, std::uint64_t) {
    const auto& parts = state_store_.view().parts;
    auto it = parts.find(part);
    if (o == Outcome::ok || o == Outcome::conflict || it == parts.end() ||
        it->second.revision != revision) {
      giving_up_.erase(part);
      return;
    }
    rt_.after(k::kRetryMs, [this, part, revision] { give_up(part, revision); });
  };
  state_store_.commit(std::move(c));
}

}  // namespace eiderreel
