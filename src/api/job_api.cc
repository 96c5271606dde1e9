#include "api/job_api.h"

#include <spdlog/spdlog.h>

namespace eiderreel {

namespace k = constants;

namespace {

void refuse(const Reply& reply, const char* why) {
  spdlog::debug("request refused why=\"{}\"", why);
  reply(503, codec::error_body(why));
}

}  // namespace

JobApi::JobApi(Runtime& rt, const Settings& s, StateStoreClient& state_store, Owner& owner)
    : rt_(rt),
      s_(s),
      state_store_(state_store),
      owner_(owner),
      acceptor_(s, state_store),
      // Answers may come late, even to a process started since: no number is used twice.
      next_ask_(static_cast<std::uint64_t>(rt.random() * 9e15)) {}

Reply JobApi::counted(std::map<int, std::uint64_t>& by_status, Latency& latency, Reply reply) {
  return [this, &by_status, &latency, began = rt_.now(), reply = std::move(reply)](
             int status, std::string body) {
    ++by_status[status];
    latency.add(rt_.now() - began);
    reply(status, std::move(body));
  };
}

std::string JobApi::can_never_run(const JobSpec& j) const {
  const Team* team = nullptr;
  for (const auto& t : s_.teams)
    if (t.name == j.team) team = &t;
  if (!team) return "unknown team";
  // An array needs room for one task within the limit, a service for all of them.
  const double n = j.kind == Kind::service ? j.tasks : 1;
  if (j.cpus * n > team->cpus_max || j.gpus * n > team->gpus_max)
    return "the job needs more than the team's limit";
  for (const auto& t : types_)
    for (const auto& zone : t.zones)
      if (allowed(j, t, zone, false)) return "";
  return "a task fits no allowed machine type";
}

void JobApi::submit(const std::string& body, Reply r) {
  Reply reply = counted(counters_.submits, counters_.submit_latency, std::move(r));
  auto parsed = codec::parse_job(body);
  if (!parsed.spec) return reply(400, codec::error_body(parsed.error));
  JobSpec& j = *parsed.spec;
  j.accepted_at = rt_.wall();
  const View& v = state_store_.view();
  if (!v.ready) return refuse(reply, "not ready yet");
  if (v.finals.count(j.id) || v.jobs.count(j.id)) return look_up(j.id, false, std::move(reply));
  if (!parsed.error.empty()) return refuse_if_unknown(j.id, parsed.error, std::move(reply));
  if (types_.empty()) return refuse(reply, "the machine types are not known yet");
  if (!state_store_.stands_aside().empty())
    return refuse(reply, "this controller's build does not act under the cluster version");
  if (auto why = can_never_run(j); !why.empty()) {
    spdlog::info("job refused job={} team={} why={}", j.id, j.team, why);
    return reply(422, codec::error_body(why));
  }
  // Guard: a build that knows no prerequisites would not wait for them.
  if (!j.prerequisites.empty() && owner_.has_old_peer())
    return refuse(reply, "a controller of an earlier version is still running");
  spdlog::debug(
      "job submitted job={} team={} class={} tasks={} image={} image_gb={} estimate_s={} "
      "deadline_s={}",
      j.id, j.team, j.jobclass, j.tasks, j.image, j.image_gb, j.estimate_s,
      j.deadline_s.value_or(0));
  acceptor_.accept(j, [this, id = j.id, reply](Acceptance acceptance) {
    tell_acceptance(id, acceptance, reply);
  });
}

void JobApi::tell_acceptance(const std::string& id, Acceptance acceptance, const Reply& reply) {
  switch (acceptance) {
    case Acceptance::accepted:
      return reply(201, codec::job_answer(id, JobPhase::queued));
    case Acceptance::known:
      return look_up(id, false, reply);
    case Acceptance::unknown_prerequisite:
      spdlog::info("job refused job={} why=unknown-prerequisite", id);
      return reply(422, codec::error_body("a job that it awaits was never accepted"));
    case Acceptance::too_large:
      return reply(400, codec::error_body("the job is too large to be kept"));
    case Acceptance::unconfirmed:
      return refuse(reply, "the state service did not confirm; try again");
  }
}

// Guard: a known job is not refused, whatever the prerequisites of a repeated submission say.
void JobApi::refuse_if_unknown(const std::string& id, std::string error, Reply reply) {
  state_store_.find_accepted({id}, [this, id, error = std::move(error), reply](auto found) {
    if (!found) return refuse(reply, "the state service does not answer");
    if (found->empty()) return reply(400, codec::error_body(error));
    look_up(id, false, reply);
  });
}

void JobApi::poll(const std::string& id, Reply r) {
  Reply reply = counted(counters_.polls, counters_.poll_latency, std::move(r));
  if (!codec::valid_job_id(id)) return reply(404, codec::error_body("no such job"));
  if (!state_store_.view().ready) return refuse(reply, "not ready yet");
  look_up(id, false, std::move(reply));
}

void JobApi::cancel(const std::string& id, Reply r) {
  Reply reply = counted(counters_.cancels, counters_.cancel_latency, std::move(r));
  if (!codec::valid_job_id(id)) return reply(404, codec::error_body("no such job"));
  if (!state_store_.view().ready) return refuse(reply, "not ready yet");
  look_up(id, true, std::move(reply));
}

// Invariant 8: what is final stays so and may be told from the cache. For an open job only its
// owner, while its grant is alive, or the state service itself can speak.
void JobApi::look_up(const std::string& id, bool cancel, Reply reply) {
  const View& v = state_store_.view();
  if (auto final_phase = v.finals.find(id); final_phase != v.finals.end())
    return tell_final(id, final_phase->second.phase, cancel, reply);
  if (!v.jobs.count(id)) return read_open(id, cancel, std::move(reply));
  const Ms asked_at = rt_.now();
  ask_owner(id, cancel, [this, id, cancel, asked_at, reply](int status, std::string body) {
    if (status == 0) return read_open(id, cancel, reply);
    tell_open(id, cancel, {asked_at, status, std::move(body)}, reply);
  });
}

void JobApi::tell_final(const std::string& id, JobPhase phase, bool cancel,
                        const Reply& reply) const {
  reply(200, cancel ? codec::job_answer(id, phase) : codec::job_status(id, {phase, 0, 0}));
}

// What the owner or the state service said of an open job may have been long on its way. Guard:
// another node may have told the user of its end meanwhile; an older answer would go back on that.
// Guard: a controller that stood still finds such an answer before any change that came meanwhile.
void JobApi::tell_open(const std::string& id, bool cancel, OpenAnswer answer,
                       const Reply& reply) const {
  const auto& finals = state_store_.view().finals;
  if (auto end = finals.find(id); end != finals.end())
    return tell_final(id, end->second.phase, cancel, reply);
  if (!cancel && rt_.now() - answer.asked_at > k::kOpenAnswerMs)
    return refuse(reply, "the answer took too long; ask again");
  reply(answer.status, std::move(answer.body));
}

// The job's record first, then its final one: it moves from the first to the second only.
void JobApi::read_open(const std::string& id, bool cancel, Reply reply) {
  const Ms asked_at = rt_.now();
  state_store_.read(codec::job_key(id), [this, id, cancel, asked_at, reply](auto row) {
    if (!row) return refuse(reply, "the state service does not answer");
    if (row->revision != 0) {
      if (cancel) return refuse(reply, "the job's owner cannot be reached; try again");
      if (row->has_prerequisites()) return tell_waiting(id, reply);
      return tell_open(id, cancel, {asked_at, 200, codec::job_status(id, {JobPhase::queued, 0, 0})},
                       reply);
    }
    state_store_.read(codec::final_key(id), [this, id, cancel, reply](auto row) {
      if (!row) return refuse(reply, "the state service does not answer");
      if (row->revision == 0 || !row->final_phase)
        return reply(404, codec::error_body("no such job"));
      state_store_.replica().apply(*row, true);
      tell_final(id, *row->final_phase, cancel, reply);
    });
  });
}

// Its record is there, but a prerequisite may be cancelled, and with it the job. Only a view that
// is as new as the question can tell. Guard: its owner may not know yet what this view knows of a
// cancelled prerequisite, so that is told by the owner alone, or by the job's own final record.
void JobApi::tell_waiting(const std::string& id, const Reply& reply) {
  state_store_.catch_up([this, id, asked_at = rt_.now(), reply](bool caught_up) {
    const View& v = state_store_.view();
    const bool ended = v.finals.count(id) > 0;
    if (!ended && (!caught_up || !v.jobs.count(id) || v.dependencies.cancelled(id) ||
                   state_store_.replica().is_unresolved(id)))
      return refuse(reply, "the job's owner cannot be reached; ask again");
    tell_open(id, false, {asked_at, 200, codec::job_status(id, {JobPhase::queued, 0, 0})}, reply);
  });
}

void JobApi::ask_owner(const std::string& id, bool cancel, Reply reply) {
  const View& v = state_store_.view();
  auto part = v.parts.find(s_.part_of_team(v.jobs.at(id).spec.team));
  if (part == v.parts.end()) return reply(0, "");
  if (part->second.owner == s_.node) return owner_.ask({0, cancel, id}, std::move(reply));
  if (!owner_.peer_alive(part->second.owner)) return reply(0, "");
  const std::uint64_t number = ++next_ask_;
  asks_[number] = std::move(reply);
  hooks_.ask_peer(part->second.owner, {number, cancel, id});
  rt_.after(k::kMeshAskMs, [this, number] { peer_answer({number, 0, ""}); });
}

void JobApi::peer_answer(const mesh::Answer& a) {
  auto it = asks_.find(a.number);
  if (it == asks_.end()) return;
  Reply reply = std::move(it->second);
  asks_.erase(it);
  reply(a.status, a.body);
}

}  // namespace eiderreel
