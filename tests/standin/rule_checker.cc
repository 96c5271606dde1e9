#include "standin/rule_checker.h"

#include <algorithm>

namespace eiderreel::standin {

namespace {
constexpr double kMaxUnansweredS = 75;        // without a reply, after the faults have ended
constexpr double kMaxSchedulableWaitS = 90;   // while a machine has room, after the faults ended
constexpr double kMaxStartDelayS = 240;       // every job, of any size, starts within four minutes
constexpr double kLargestJobsFraction = 0.2;  // of the jobs of a class, by number of tasks
}  // namespace

void RuleChecker::add_violation(double now, const char* rule, const std::string& what) {
  violations_.push_back(std::to_string(now) + " " + rule + ": " + what);
}

// -------------------------------------------------------------------- jobs with prerequisites

bool RuleChecker::prerequisites_done(const std::string& id) const {
  const auto job = jobs_.find(id);
  if (job == jobs_.end()) return true;
  return std::all_of(job->second.spec.prerequisites.begin(), job->second.spec.prerequisites.end(),
                     [&](const std::string& prerequisite) {
                       const auto it = jobs_.find(prerequisite);
                       return it != jobs_.end() && it->second.done_at >= 0;
                     });
}

double RuleChecker::prerequisites_done_at(const Job& job) const {
  double at = job.accepted_at;
  for (const auto& id : job.spec.prerequisites) at = std::max(at, jobs_.at(id).done_at);
  return at;
}

std::vector<const RuleChecker::Job*> RuleChecker::prerequisites_of(const Job& job) const {
  std::vector<const Job*> result;
  std::set<std::string> visited;
  std::vector<std::string> pending = job.spec.prerequisites;
  while (!pending.empty()) {
    const std::string id = pending.back();
    pending.pop_back();
    const auto prerequisite = jobs_.find(id);
    if (prerequisite == jobs_.end() || !visited.insert(id).second) continue;
    result.push_back(&prerequisite->second);
    const auto& more = prerequisite->second.spec.prerequisites;
    pending.insert(pending.end(), more.begin(), more.end());
  }
  return result;
}

bool RuleChecker::cancel_requested(const Job& job) const {
  const auto prerequisites = prerequisites_of(job);
  return job.cancel_requested ||
         std::any_of(prerequisites.begin(), prerequisites.end(),
                     [](const Job* other) { return other->cancel_requested; });
}

// Detects a job that is still reported as queued or running more than `cancel_s_` after a
// prerequisite was reported as cancelled, or after its own acceptance if that was later.
void RuleChecker::check_orphaned(double now, const std::string& id, const Job& job) {
  if (!job.accepted) return;
  for (const Job* prerequisite : prerequisites_of(job))
    if (prerequisite->cancel_reported_at >= 0 &&
        now > std::max(prerequisite->cancel_reported_at, job.accepted_at) + cancel_s_)
      return add_violation(now, "orphaned", id + " needs " + prerequisite->spec.id);
}

void RuleChecker::on_task_done(double now, const std::string& id, std::uint32_t index) {
  Job& job = jobs_[id];
  job.done_tasks.insert(index);
  if (job.done_tasks.size() == job.spec.tasks && job.done_at < 0) job.done_at = now;
}

void RuleChecker::on_submit_reply(double now, const std::string& id, int status) {
  Job& job = jobs_[id];
  if (status == 200 || status == 201) {
    job.accepted = true;
    if (job.accepted_at < 0) job.accepted_at = now;
  }
  if (job.accepted && (status == 400 || status == 422))
    add_violation(now, "forgotten", id + " is refused");
}

void RuleChecker::on_invalid_submission_reply(double now, const std::string& what, int status) {
  if (status == 200 || status == 201) add_violation(now, "accepted", what);
}

void RuleChecker::on_phase_reply(double now, const std::string& id, const std::string& phase) {
  auto it = jobs_.find(id);
  if (phase.empty()) {
    if (it != jobs_.end() && it->second.accepted) add_violation(now, "forgotten", id + " gets 404");
    return;
  }
  if (it == jobs_.end() || it->second.spec.id.empty())
    return add_violation(now, "invented", id + " is " + phase);
  Job& job = it->second;
  job.accepted = true;
  if (!job.final_phase.empty() && phase != job.final_phase)
    return add_violation(now, "went_back", id + " was " + job.final_phase + ", is " + phase);
  if (phase == "queued" || phase == "running") check_orphaned(now, id, job);
  if (phase == "cancelled" && !cancel_requested(job))
    add_violation(now, "went_back", id + " cancelled by nobody");
  if (phase == "done" && job.done_tasks.size() < job.spec.tasks) add_violation(now, "not_done", id);
  if (phase == "done" || phase == "cancelled") {
    if (job.final_phase.empty() && phase == "cancelled")
      job.cancelled_at = job.cancel_reported_at = now;
    job.final_phase = phase;
  }
}

void RuleChecker::on_task_started(double now, const Placement& placement, const std::string& id,
                                  std::uint32_t index) {
  ++starts_;
  Job& job = jobs_[id];
  if (!prerequisites_done(id))
    add_violation(now, "too_early", id + "/" + std::to_string(index) + " on " + placement.machine);
  if (job.started_at < 0) job.started_at = now;
  const std::string name = id + "/" + std::to_string(index);
  if (!job.running_on[index].empty())
    add_violation(now, "ran_twice", name + " on " + placement.machine);
  const JobSpec& spec = job.spec;
  const bool type_ok = spec.types.empty() || std::find(spec.types.begin(), spec.types.end(),
                                                       placement.type) != spec.types.end();
  if (!type_ok || (!spec.zone.empty() && spec.zone != placement.zone) ||
      (placement.spot && !spec.spot))
    add_violation(now, "wrong_place", name + " on " + placement.machine);
  std::uint32_t tasks_in_zone = 1;
  for (const auto& [other, placements] : job.running_on)
    for (const auto& [machine, other_placement] : placements) {
      if (spec.one_zone && other_placement.zone != placement.zone)
        add_violation(now, "wrong_place", name + " in a second zone");
      if (other_placement.zone == placement.zone) ++tasks_in_zone;
    }
  if (spec.spread && tasks_in_zone > (spec.tasks + 1) / 2)
    add_violation(now, "wrong_place", name + " not apart");
  if (job.cancelled_at >= 0) ++starts_after_cancel_;
  if (job.cancelled_at >= 0 && now > job.cancelled_at + cancel_s_)
    add_violation(now, "ran_cancelled", name + " starts");
  job.running_on[index][placement.machine] = placement;
  double& cpus = team_cpus_[spec.team];
  cpus += spec.cpus;
  for (const auto& team : teams_)
    if (team.name == spec.team && cpus > team.quota_cpus + 1e-6)
      add_violation(now, "quota", spec.team + " uses " + std::to_string(cpus));
}

void RuleChecker::on_task_stopped(const std::string& machine, const std::string& id,
                                  std::uint32_t index) {
  Job& job = jobs_[id];
  if (job.running_on[index].erase(machine) > 0) team_cpus_[job.spec.team] -= job.spec.cpus;
  if (job.running_on[index].empty()) job.running_on.erase(index);
}

void RuleChecker::on_poll(double now, const std::string& id, bool answered) {
  Job& job = jobs_[id];
  if (answered)
    job.unanswered_since = -1;
  else if (job.unanswered_since < 0)
    job.unanswered_since = now;
}

void RuleChecker::on_schedulable(double now, const std::string& id, bool is_schedulable) {
  Job& job = jobs_[id];
  if (!is_schedulable || faults_ended_at_ < 0 || !job.accepted || cancel_requested(job) ||
      !prerequisites_done(id)) {
    job.schedulable_since = -1;
    return;
  }
  if (job.schedulable_since < 0) job.schedulable_since = std::max(now, faults_ended_at_);
  if (now - job.schedulable_since <= kMaxSchedulableWaitS) return;
  add_violation(now, "left_waiting", id);
  job.schedulable_since = now + 1e9;  // report only once
}

void RuleChecker::on_run_end(double now) {
  struct Count {
    std::size_t jobs = 0, served = 0;
    void add(bool is_served) { ++jobs, served += is_served; }
  };
  std::map<std::string, Count> counts;
  std::map<std::string, std::vector<const Job*>> classes;
  for (const auto& [id, job] : jobs_) {
    if (!job.accepted || cancel_requested(job) || !prerequisites_done(id)) continue;
    const double start_deadline = prerequisites_done_at(job) + kMaxStartDelayS;
    const bool started_late =
        job.started_at < 0 ? now > start_deadline : job.started_at > start_deadline;
    if (started_late) add_violation(now, "starved", id);
    counts["team " + job.spec.team].add(job.started_at >= 0);
    classes[job.spec.jobclass].push_back(&job);
  }
  for (auto& [name, jobs] : classes) {
    std::sort(jobs.begin(), jobs.end(), [](const Job* left, const Job* right) {
      return left->spec.tasks > right->spec.tasks;
    });
    const auto largest =
        static_cast<std::size_t>(static_cast<double>(jobs.size()) * kLargestJobsFraction);
    for (std::size_t i = 0; i < jobs.size(); ++i) {
      counts["class " + name].add(jobs[i]->started_at >= 0);
      if (i <= largest) counts["largest of " + name].add(jobs[i]->started_at >= 0);
    }
  }
  for (const auto& [name, count] : counts)
    if (count.served * 2 < count.jobs) add_violation(now, "unserved", name);
}

void RuleChecker::check_timeouts(double now) {
  for (auto& [id, job] : jobs_) {
    if (!job.accepted || job.unanswered_since < 0 || faults_ended_at_ < 0) continue;
    if (now - std::max(job.unanswered_since, faults_ended_at_) <= kMaxUnansweredS) continue;
    add_violation(now, "forgotten", id + " is not answered for");
    job.unanswered_since = now + 1e9;  // report only once
  }
  for (auto& [id, job] : jobs_)
    if (job.cancelled_at >= 0 && now > job.cancelled_at + cancel_s_ && !job.running_on.empty()) {
      add_violation(now, "ran_cancelled", id + " still runs");
      job.cancelled_at = now + 1e9;  // report only once
    }
}

}  // namespace eiderreel::standin
