#include "standin/rule_checker.h"

#include <algorithm>

namespace eiderreel::standin {

namespace {
constexpr double kForgottenS = 75;     // without any answer, once all troubles are over
constexpr double kLeftS = 90;          // beside room, once all troubles are over
constexpr double kBeginsS = 240;       // every job begins in four minutes, the largest too
constexpr double kLargestShare = 0.2;  // of a class's jobs, by their tasks
}  // namespace

void Checker::broke(double t, const char* rule, const std::string& what) {
  broken_.push_back(std::to_string(t) + " " + rule + ": " + what);
}

// -------------------------------------------------------------------- jobs that need others

bool Checker::ready(const std::string& id) const {
  const auto job = jobs_.find(id);
  if (job == jobs_.end()) return true;
  return std::all_of(job->second.spec.prerequisites.begin(), job->second.spec.prerequisites.end(),
                     [&](const std::string& needed) {
                       const auto it = jobs_.find(needed);
                       return it != jobs_.end() && it->second.done_at >= 0;
                     });
}

double Checker::ready_at(const Job& j) const {
  double at = j.accepted_at;
  for (const auto& id : j.spec.prerequisites) at = std::max(at, jobs_.at(id).done_at);
  return at;
}

std::vector<const Checker::Job*> Checker::needed_by(const Job& j) const {
  std::vector<const Job*> out;
  std::set<std::string> seen;
  std::vector<std::string> left = j.spec.prerequisites;
  while (!left.empty()) {
    const std::string id = left.back();
    left.pop_back();
    const auto needed = jobs_.find(id);
    if (needed == jobs_.end() || !seen.insert(id).second) continue;
    out.push_back(&needed->second);
    const auto& more = needed->second.spec.prerequisites;
    left.insert(left.end(), more.begin(), more.end());
  }
  return out;
}

bool Checker::cancel_asked(const Job& j) const {
  const auto needed = needed_by(j);
  return j.cancel_asked || std::any_of(needed.begin(), needed.end(),
                                       [](const Job* other) { return other->cancel_asked; });
}

// A job is still called open long after its user was told that a job before it is cancelled.
void Checker::check_orphaned(double t, const std::string& id, const Job& j) {
  if (!j.accepted) return;
  for (const Job* needed : needed_by(j))
    if (needed->told_cancelled_at >= 0 &&
        t > std::max(needed->told_cancelled_at, j.accepted_at) + cancel_s_)
      return broke(t, "orphaned", id + " needs " + needed->spec.id);
}

void Checker::task_done(double t, const std::string& id, std::uint32_t index) {
  Job& j = jobs_[id];
  j.done.insert(index);
  if (j.done.size() == j.spec.tasks && j.done_at < 0) j.done_at = t;
}

void Checker::submit_answer(double t, const std::string& id, int status) {
  Job& j = jobs_[id];
  if (status == 200 || status == 201) {
    j.accepted = true;
    if (j.accepted_at < 0) j.accepted_at = t;
  }
  if (j.accepted && (status == 400 || status == 422)) broke(t, "forgotten", id + " is refused");
}

void Checker::odd_answer(double t, const std::string& what, int status) {
  if (status == 200 || status == 201) broke(t, "accepted", what);
}

void Checker::told(double t, const std::string& id, const std::string& phase) {
  auto it = jobs_.find(id);
  if (phase.empty()) {
    if (it != jobs_.end() && it->second.accepted) broke(t, "forgotten", id + " gets 404");
    return;
  }
  if (it == jobs_.end() || it->second.spec.id.empty())
    return broke(t, "invented", id + " is " + phase);
  Job& j = it->second;
  j.accepted = true;
  if (!j.final_phase.empty() && phase != j.final_phase)
    return broke(t, "went_back", id + " was " + j.final_phase + ", is " + phase);
  if (phase == "queued" || phase == "running") check_orphaned(t, id, j);
  if (phase == "cancelled" && !cancel_asked(j)) broke(t, "went_back", id + " cancelled by nobody");
  if (phase == "done" && j.done.size() < j.spec.tasks) broke(t, "not_done", id);
  if (phase == "done" || phase == "cancelled") {
    if (j.final_phase.empty() && phase == "cancelled") j.cancelled_at = j.told_cancelled_at = t;
    j.final_phase = phase;
  }
}

void Checker::task_on(double t, const Place& p, const std::string& id, std::uint32_t index) {
  ++starts_;
  Job& j = jobs_[id];
  if (!ready(id)) broke(t, "too_early", id + "/" + std::to_string(index) + " on " + p.machine);
  if (j.begun_at < 0) j.begun_at = t;
  const std::string name = id + "/" + std::to_string(index);
  if (!j.on[index].empty()) broke(t, "ran_twice", name + " on " + p.machine);
  const JobSpec& s = j.spec;
  const bool type_ok =
      s.types.empty() || std::find(s.types.begin(), s.types.end(), p.type) != s.types.end();
  if (!type_ok || (!s.zone.empty() && s.zone != p.zone) || (p.spot && !s.spot))
    broke(t, "wrong_place", name + " on " + p.machine);
  std::uint32_t here = 1;
  for (const auto& [other, places] : j.on)
    for (const auto& [machine, place] : places) {
      if (s.one_zone && place.zone != p.zone) broke(t, "wrong_place", name + " in a second zone");
      if (place.zone == p.zone) ++here;
    }
  if (s.spread && here > (s.tasks + 1) / 2) broke(t, "wrong_place", name + " not apart");
  if (j.cancelled_at >= 0) ++starts_after_cancel_;
  if (j.cancelled_at >= 0 && t > j.cancelled_at + cancel_s_)
    broke(t, "ran_cancelled", name + " starts");
  j.on[index][p.machine] = p;
  double& cpus = team_cpus_[s.team];
  cpus += s.cpus;
  for (const auto& team : teams_)
    if (team.name == s.team && cpus > team.quota_cpus + 1e-6)
      broke(t, "quota", s.team + " uses " + std::to_string(cpus));
}

void Checker::task_off(const std::string& machine, const std::string& id, std::uint32_t index) {
  Job& j = jobs_[id];
  if (j.on[index].erase(machine) > 0) team_cpus_[j.spec.team] -= j.spec.cpus;
  if (j.on[index].empty()) j.on.erase(index);
}

void Checker::asked(double t, const std::string& id, bool answered) {
  Job& j = jobs_[id];
  if (answered)
    j.unanswered_since = -1;
  else if (j.unanswered_since < 0)
    j.unanswered_since = t;
}

void Checker::could_run(double t, const std::string& id, bool could) {
  Job& j = jobs_[id];
  if (!could || over_at_ < 0 || !j.accepted || cancel_asked(j) || !ready(id)) {
    j.could_run_since = -1;
    return;
  }
  if (j.could_run_since < 0) j.could_run_since = std::max(t, over_at_);
  if (t - j.could_run_since <= kLeftS) return;
  broke(t, "left_waiting", id);
  j.could_run_since = t + 1e9;  // told once
}

void Checker::day_over(double t) {
  struct Count {
    std::size_t jobs = 0, served = 0;
    void add(bool s) { ++jobs, served += s; }
  };
  std::map<std::string, Count> counts;
  std::map<std::string, std::vector<const Job*>> classes;
  for (const auto& [id, j] : jobs_) {
    if (!j.accepted || cancel_asked(j) || !ready(id)) continue;
    const double begins_by = ready_at(j) + kBeginsS;
    const bool late = j.begun_at < 0 ? t > begins_by : j.begun_at > begins_by;
    if (late) broke(t, "starved", id);
    counts["team " + j.spec.team].add(j.begun_at >= 0);
    classes[j.spec.jobclass].push_back(&j);
  }
  for (auto& [name, jobs] : classes) {
    std::sort(jobs.begin(), jobs.end(),
              [](const Job* a, const Job* b) { return a->spec.tasks > b->spec.tasks; });
    const auto largest = static_cast<std::size_t>(static_cast<double>(jobs.size()) * kLargestShare);
    for (std::size_t i = 0; i < jobs.size(); ++i) {
      counts["class " + name].add(jobs[i]->begun_at >= 0);
      if (i <= largest) counts["largest of " + name].add(jobs[i]->begun_at >= 0);
    }
  }
  for (const auto& [name, c] : counts)
    if (c.served * 2 < c.jobs) broke(t, "unserved", name);
}

void Checker::look(double t) {
  for (auto& [id, j] : jobs_) {
    if (!j.accepted || j.unanswered_since < 0 || over_at_ < 0) continue;
    if (t - std::max(j.unanswered_since, over_at_) <= kForgottenS) continue;
    broke(t, "forgotten", id + " is not answered for");
    j.unanswered_since = t + 1e9;  // told once
  }
  for (auto& [id, j] : jobs_)
    if (j.cancelled_at >= 0 && t > j.cancelled_at + cancel_s_ && !j.on.empty()) {
      broke(t, "ran_cancelled", id + " still runs");
      j.cancelled_at = t + 1e9;  // told once
    }
}

}  // namespace eiderreel::standin
