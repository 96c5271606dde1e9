#include "standin/rule_checker.h"

#include <algorithm>

namespace eiderreel::standin {

namespace {
constexpr double kForgottenS = 75;     // without any answer, once all faults are over
constexpr double kLeftS = 90;          // beside room, once all faults are over
constexpr double kBeginsS = 240;       // every job begins in four minutes, the largest too
constexpr double kLargestShare = 0.2;  // of a class's jobs, by their tasks
}  // namespace

void RuleChecker::violated(double now, const char* rule, const std::string& what) {
  violations_.push_back(std::to_string(now) + " " + rule + ": " + what);
}

// -------------------------------------------------------------------- jobs that need others

bool RuleChecker::ready(const std::string& id) const {
  const auto job = jobs_.find(id);
  if (job == jobs_.end()) return true;
  return std::all_of(job->second.spec.prerequisites.begin(), job->second.spec.prerequisites.end(),
                     [&](const std::string& needed) {
                       const auto it = jobs_.find(needed);
                       return it != jobs_.end() && it->second.done_at >= 0;
                     });
}

double RuleChecker::ready_at(const Job& job) const {
  double at = job.accepted_at;
  for (const auto& id : job.spec.prerequisites) at = std::max(at, jobs_.at(id).done_at);
  return at;
}

std::vector<const RuleChecker::Job*> RuleChecker::needed_by(const Job& job) const {
  std::vector<const Job*> out;
  std::set<std::string> seen;
  std::vector<std::string> left = job.spec.prerequisites;
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

bool RuleChecker::cancel_asked(const Job& job) const {
  const auto needed = needed_by(job);
  return job.cancel_asked || std::any_of(needed.begin(), needed.end(),
                                         [](const Job* other) { return other->cancel_asked; });
}

// A job is still called open long after its user was told that a job before it is cancelled.
void RuleChecker::check_orphaned(double now, const std::string& id, const Job& job) {
  if (!job.accepted) return;
  for (const Job* needed : needed_by(job))
    if (needed->told_cancelled_at >= 0 &&
        now > std::max(needed->told_cancelled_at, job.accepted_at) + cancel_s_)
      return violated(now, "orphaned", id + " needs " + needed->spec.id);
}

void RuleChecker::task_done(double now, const std::string& id, std::uint32_t index) {
  Job& job = jobs_[id];
  job.done.insert(index);
  if (job.done.size() == job.spec.tasks && job.done_at < 0) job.done_at = now;
}

void RuleChecker::submit_answer(double now, const std::string& id, int status) {
  Job& job = jobs_[id];
  if (status == 200 || status == 201) {
    job.accepted = true;
    if (job.accepted_at < 0) job.accepted_at = now;
  }
  if (job.accepted && (status == 400 || status == 422))
    violated(now, "forgotten", id + " is refused");
}

void RuleChecker::invalid_answer(double now, const std::string& what, int status) {
  if (status == 200 || status == 201) violated(now, "accepted", what);
}

void RuleChecker::phase_answered(double now, const std::string& id, const std::string& phase) {
  auto it = jobs_.find(id);
  if (phase.empty()) {
    if (it != jobs_.end() && it->second.accepted) violated(now, "forgotten", id + " gets 404");
    return;
  }
  if (it == jobs_.end() || it->second.spec.id.empty())
    return violated(now, "invented", id + " is " + phase);
  Job& job = it->second;
  job.accepted = true;
  if (!job.final_phase.empty() && phase != job.final_phase)
    return violated(now, "went_back", id + " was " + job.final_phase + ", is " + phase);
  if (phase == "queued" || phase == "running") check_orphaned(now, id, job);
  if (phase == "cancelled" && !cancel_asked(job))
    violated(now, "went_back", id + " cancelled by nobody");
  if (phase == "done" && job.done.size() < job.spec.tasks) violated(now, "not_done", id);
  if (phase == "done" || phase == "cancelled") {
    if (job.final_phase.empty() && phase == "cancelled")
      job.cancelled_at = job.told_cancelled_at = now;
    job.final_phase = phase;
  }
}

void RuleChecker::task_on(double now, const Place& place, const std::string& id,
                          std::uint32_t index) {
  ++starts_;
  Job& job = jobs_[id];
  if (!ready(id))
    violated(now, "too_early", id + "/" + std::to_string(index) + " on " + place.machine);
  if (job.begun_at < 0) job.begun_at = now;
  const std::string name = id + "/" + std::to_string(index);
  if (!job.on[index].empty()) violated(now, "ran_twice", name + " on " + place.machine);
  const JobSpec& spec = job.spec;
  const bool type_ok = spec.types.empty() || std::find(spec.types.begin(), spec.types.end(),
                                                       place.type) != spec.types.end();
  if (!type_ok || (!spec.zone.empty() && spec.zone != place.zone) || (place.spot && !spec.spot))
    violated(now, "wrong_place", name + " on " + place.machine);
  std::uint32_t here = 1;
  for (const auto& [other, places] : job.on)
    for (const auto& [machine, other_place] : places) {
      if (spec.one_zone && other_place.zone != place.zone)
        violated(now, "wrong_place", name + " in a second zone");
      if (other_place.zone == place.zone) ++here;
    }
  if (spec.spread && here > (spec.tasks + 1) / 2) violated(now, "wrong_place", name + " not apart");
  if (job.cancelled_at >= 0) ++starts_after_cancel_;
  if (job.cancelled_at >= 0 && now > job.cancelled_at + cancel_s_)
    violated(now, "ran_cancelled", name + " starts");
  job.on[index][place.machine] = place;
  double& cpus = team_cpus_[spec.team];
  cpus += spec.cpus;
  for (const auto& team : teams_)
    if (team.name == spec.team && cpus > team.quota_cpus + 1e-6)
      violated(now, "quota", spec.team + " uses " + std::to_string(cpus));
}

void RuleChecker::task_off(const std::string& machine, const std::string& id, std::uint32_t index) {
  Job& job = jobs_[id];
  if (job.on[index].erase(machine) > 0) team_cpus_[job.spec.team] -= job.spec.cpus;
  if (job.on[index].empty()) job.on.erase(index);
}

void RuleChecker::asked(double now, const std::string& id, bool answered) {
  Job& job = jobs_[id];
  if (answered)
    job.unanswered_since = -1;
  else if (job.unanswered_since < 0)
    job.unanswered_since = now;
}

void RuleChecker::could_run(double now, const std::string& id, bool could) {
  Job& job = jobs_[id];
  if (!could || over_at_ < 0 || !job.accepted || cancel_asked(job) || !ready(id)) {
    job.could_run_since = -1;
    return;
  }
  if (job.could_run_since < 0) job.could_run_since = std::max(now, over_at_);
  if (now - job.could_run_since <= kLeftS) return;
  violated(now, "left_waiting", id);
  job.could_run_since = now + 1e9;  // told once
}

void RuleChecker::day_over(double now) {
  struct Count {
    std::size_t jobs = 0, served = 0;
    void add(bool is_served) { ++jobs, served += is_served; }
  };
  std::map<std::string, Count> counts;
  std::map<std::string, std::vector<const Job*>> classes;
  for (const auto& [id, j] : jobs_) {
    if (!j.accepted || cancel_asked(j) || !ready(id)) continue;
    const double begins_by = ready_at(j) + kBeginsS;
    const bool late = j.begun_at < 0 ? now > begins_by : j.begun_at > begins_by;
    if (late) violated(now, "starved", id);
    counts["team " + j.spec.team].add(j.begun_at >= 0);
    classes[j.spec.jobclass].push_back(&j);
  }
  for (auto& [name, jobs] : classes) {
    std::sort(jobs.begin(), jobs.end(), [](const Job* left, const Job* right) {
      return left->spec.tasks > right->spec.tasks;
    });
    const auto largest = static_cast<std::size_t>(static_cast<double>(jobs.size()) * kLargestShare);
    for (std::size_t i = 0; i < jobs.size(); ++i) {
      counts["class " + name].add(jobs[i]->begun_at >= 0);
      if (i <= largest) counts["largest of " + name].add(jobs[i]->begun_at >= 0);
    }
  }
  for (const auto& [name, count] : counts)
    if (count.served * 2 < count.jobs) violated(now, "unserved", name);
}

void RuleChecker::look(double now) {
  for (auto& [id, j] : jobs_) {
    if (!j.accepted || j.unanswered_since < 0 || over_at_ < 0) continue;
    if (now - std::max(j.unanswered_since, over_at_) <= kForgottenS) continue;
    violated(now, "forgotten", id + " is not answered for");
    j.unanswered_since = now + 1e9;  // told once
  }
  for (auto& [id, j] : jobs_)
    if (j.cancelled_at >= 0 && now > j.cancelled_at + cancel_s_ && !j.on.empty()) {
      violated(now, "ran_cancelled", id + " still runs");
      j.cancelled_at = now + 1e9;  // told once
    }
}

}  // namespace eiderreel::standin
