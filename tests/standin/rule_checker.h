// Checks the rules of the protocol on the events of the simulated cluster.
#pragma once
#include <map>
#include <set>
#include <string>
#include <vector>

#include "config/settings.h"
#include "model/job.h"

namespace eiderreel::standin {

class RuleChecker {
 public:
  RuleChecker(std::vector<Team> teams, double cancel_s)
      : teams_(std::move(teams)), cancel_s_(cancel_s) {}

  // --- requests of users and their replies ---
  void on_submission(const JobSpec& spec) { jobs_[spec.id].spec = spec; }
  void on_submit_reply(double now, const std::string& id, int status);
  // The reply to a submission that must be rejected because it can never run or lacks a field.
  void on_invalid_submission_reply(double now, const std::string& what, int status);
  void on_cancel_request(const std::string& id) { jobs_[id].cancel_requested = true; }
  // The phase in a reply about a job; empty if the reply was a 404.
  void on_phase_reply(double now, const std::string& id, const std::string& phase);
  // A poll of a job has finished; `answered` tells whether it got a 200 or 404.
  void on_poll(double now, const std::string& id, bool answered);
  // A controller accepted a heartbeat although it has neither a lease nor the votes of its peers.
  void on_reply_without_lease(double now, const std::string& what) {
    add_violation(now, "answered_without_lease", what);
  }
  // A rule of cluster versions was violated.
  void on_version_violation(double now, const std::string& what) {
    add_violation(now, "cluster_version", what);
  }
  // No more faults are injected; from now on every job must be reported on and scheduled in time.
  void on_faults_ended(double now) { faults_ended_at_ = now; }
  // Whether a suitable machine has room for a waiting task of the job and the quota of its team
  // allows the task. Must be called periodically.
  void on_schedulable(double now, const std::string& id, bool is_schedulable);
  // The run has ended: checks that each job started in time, and that at least half of the jobs of
  // each team, of each class and among the largest jobs of each class were started.
  void on_run_end(double now);

  // --- events on machines ---
  struct Placement {
    std::string machine, type, zone;
    bool spot = false;
  };
  void on_task_started(double now, const Placement& placement, const std::string& job,
                       std::uint32_t index);
  void on_task_stopped(const std::string& machine, const std::string& job, std::uint32_t index);
  void on_task_done(double now, const std::string& job, std::uint32_t index);
  // Whether all direct prerequisites of the job are done.
  bool prerequisites_done(const std::string& id) const;

  // Reports jobs that have exceeded a time limit without a new event. Must be called periodically.
  void check_timeouts(double now);

  const std::vector<std::string>& violations() const { return violations_; }
  std::size_t starts() const { return starts_; }
  // Starts of tasks after the cancellation of their job was reported to the user.
  std::size_t starts_after_cancel() const { return starts_after_cancel_; }

 private:
  struct Job {
    JobSpec spec;
    bool accepted = false, cancel_requested = false;
    std::string final_phase;
    double cancelled_at = -1, accepted_at = -1, started_at = -1;
    double cancel_reported_at = -1;
    double done_at = -1;
    double schedulable_since = -1;
    double unanswered_since = -1;  // first unanswered poll since the last answered one
    std::set<std::uint32_t> done_tasks;
    // By task index and machine id.
    std::map<std::uint32_t, std::map<std::string, Placement>> running_on;
  };
  void add_violation(double now, const char* rule, const std::string& what);
  // All direct and indirect prerequisites of a job.
  std::vector<const Job*> prerequisites_of(const Job& job) const;
  bool cancel_requested(const Job& job) const;  // of the job or one of its prerequisites
  void check_orphaned(double now, const std::string& id, const Job& job);
  double prerequisites_done_at(const Job& job) const;

  std::vector<Team> teams_;
  double cancel_s_;
  std::map<std::string, Job> jobs_;
  std::map<std::string, double> team_cpus_;
  std::vector<std::string> violations_;
  std::size_t starts_ = 0, starts_after_cancel_ = 0;
  double faults_ended_at_ = -1;
};

}  // namespace eiderreel::standin
