// The jobs of the owner's parts: questions about them, progress and final records.
#include <spdlog/spdlog.h>

#include "actors/owner.h"

namespace eiderreel {

namespace k = constants;

void Owner::job_opened(const std::string& id) {
  const auto& j = state_store_.view().jobs.at(id);
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
    pump(o);
  }
}

void Owner::ask(const mesh::Ask& a, Reply reply) {
  const int part = part_of_job(a.job);
  Owned* o = part < 0 ? nullptr : acting_owned(part);
  auto status = o ? o->core->status(a.job) : std::nullopt;
  if (!status) return reply(0, "");
  if (!a.cancel) {
    // Guard: while a final commit may have landed, a peer may have read it and told its users. What
    // we hold to be open would then go back on that; the state service alone can tell.
    auto f = o->flushes.find(a.job);
    if (f != o->flushes.end() && f->second.final_commit) return reply(0, "");
    return reply(200, codec::job_status(a.job, *status));
  }
  // Its tasks are of no use to anyone from now on. Guard: killed only after the commit, they went
  // on for as long as its outcome was in doubt.
  o->core->cancel_job(a.job);
  send_kills(*o);
  finish(part, a.job, std::move(reply));
}

std::vector<codec::Guard> Owner::job_guards(int part, const std::string& id) const {
  const Part& core = *owned_.at(part).core;
  return {{codec::part_key(part), core.term()}, {codec::job_key(id), core.job_stamp(id)}};
}

// Invariant 7: done and cancelled are told only after this commit. It is tried until its outcome
// is proven, for as long as we are the owner, and nothing of the job is started. A job whose tasks
// are all done is done, also for a user who calls it off.
void Owner::finish(int part, const std::string& id, Reply reply) {
  Owned& o = owned_.at(part);
  Flush& f = o.flushes[id];
  if (f.in_flight) return reply(503, codec::error_body("the job is changing"));
  f.in_flight = true;
  o.core->hold_job(id);
  const std::uint64_t term = o.core->term();
  if (!f.final_commit) {
    Commit c;
    c.nonce = state_store_.nonce();
    c.guards = job_guards(part, id);
    const JobPhase phase = o.core->complete(id) ? JobPhase::done : JobPhase::cancelled;
    c.writes = {{codec::final_key(id), codec::encode_final(phase, c.nonce), false},
                {codec::job_key(id), "", false}};
    for (const auto& [chunk, stamp] : f.chunk_stamps)
      c.writes.push_back({codec::done_key(part, id, chunk), "", false});
    f.final_commit = {phase, std::move(c)};
  }
  Commit c = f.final_commit->commit;
  c.done = [this, part, id, term, reply, phase = f.final_commit->phase](
               Outcome out, std::uint64_t) { finished(part, id, term, out, phase, reply); };
  state_store_.commit(std::move(c));
}

// Guard: in doubt it stays in doubt. A later try of it that was refused once let the job's tasks
// start again; then the first landed after all, and another node said "cancelled" while they ran.
void Owner::finished(int part, const std::string& id, std::uint64_t term, Outcome out,
                     JobPhase phase, const Reply& reply) {
  if (out == Outcome::ok) {
    spdlog::info("job {} job={} term={}", codec::phase_name(phase), id, term);
    return reply(200, codec::job_answer(id, phase));
  }
  Owned* o = owned(part);
  if (o && o->core->term() == term)
    if (auto f = o->flushes.find(id); f != o->flushes.end()) {
      f->second.in_flight = false;
      f->second.last = rt_.now();
      if (out == Outcome::unknown)
        f->second.final_commit->commit.doubt = true;
      else
        f->second.final_commit.reset();
    }
  spdlog::warn("job not-final job={} phase={} term={} outcome={}", id, codec::phase_name(phase),
               term, static_cast<int>(out));
  reply(503, codec::error_body("the state service did not confirm; ask again"));
}

void Owner::flush(int part, Owned& o) {
  const Ms now = rt_.now();
  // While it is silent, users alone are a reason to try; it is asked for the grant all the time.
  const bool silent = now - state_store_.last_good() >= k::kStateSilentMs;
  for (const auto& id : o.core->jobs_to_record()) {
    Flush& f = o.flushes[id];
    if (f.in_flight) continue;
    if (o.core->held(id) || o.core->complete(id)) {
      if (now - f.last >= k::kFinishRetryMs && !silent) finish(part, id, [](int, std::string) {});
    } else if (now - f.last >= k::kDoneBatchMs) {
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
  c.nonce = state_store_.nonce();
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
        state_store_.read(codec::done_key(part, id, chunk),
                          [this, part, id, term, chunk](auto row) {
                            Owned* o = owned(part);
                            if (!row || !o || o->core->term() != term) return;
                            auto f = o->flushes.find(id);
                            if (f != o->flushes.end()) f->second.chunk_stamps[chunk] = row->stamp;
                          });
    }
  };
  state_store_.commit(std::move(c));
}

}  // namespace eiderreel
