#include "standin/checker.h"

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
  if (phase == "cancelled" && !j.cancel_asked) broke(t, "went_back", id + " cancelled by nobody");
  if (phase == "done" && j.done.size() < j.spec.tasks) broke(t, "not_done", id);
  if (phase == "done" || phase == "cancelled") {
    if (j.final_phase.empty() && phase == "cancelled") j.cancelled_at = t;
    j.final_phase = phase;
  }
}

void Checker::task_on(double t, const Place& p, const std::string& id, std::uint32_t index) {
  ++starts_;
  Job& j = jobs_[id];
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
    if (team.name == s.team && cpus > team.cpus_max + 1e-6)
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
  if (!could || over_at_ < 0 || !j.accepted || j.cancel_asked) {
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
    if (!j.accepted || j.cancel_asked) continue;
    const bool late =
        j.begun_at < 0 ? t > j.accepted_at + kBeginsS : j.begun_at > j.accepted_at + kBeginsS;
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
