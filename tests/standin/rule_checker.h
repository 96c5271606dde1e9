// The rules of the protocol, checked on what really happens in the simulated cluster.
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

  // --- what users do and hear ---
  void submitted(const JobSpec& spec) { jobs_[spec.id].spec = spec; }
  void submit_answer(double now, const std::string& id, int status);
  // A submission that must not be accepted: it can never run, or lacks a field.
  void invalid_answer(double now, const std::string& what, int status);
  void cancel_asked(const std::string& id) { jobs_[id].cancel_asked = true; }
  // `phase` empty: 404.
  void phase_answered(double now, const std::string& id, const std::string& phase);
  // A question about a job, and whether it was answered at all.
  void asked(double now, const std::string& id, bool answered);
  // A controller that neither holds a lease nor has the votes of its peers answered a worker.
  void answered_without_lease(double now, const std::string& what) {
    violated(now, "answered_without_lease", what);
  }
  // A rule of cluster versions.
  void version_rule(double now, const std::string& what) { violated(now, "cluster_version", what); }
  // From now on every job must be answered for.
  void faults_over(double now) { over_at_ = now; }
  // Whether a machine that fits has room for a waiting task of the job, and its team is under its
  // limit; to be told now and then.
  void could_run(double now, const std::string& id, bool could);
  // The end of the day: of each class, each team and each class's largest jobs half is served.
  void day_over(double now);

  // --- what machines do ---
  struct Place {
    std::string machine, type, zone;
    bool spot = false;
  };
  void task_on(double now, const Place& place, const std::string& job, std::uint32_t index);
  void task_off(const std::string& machine, const std::string& job, std::uint32_t index);
  void task_done(double now, const std::string& job, std::uint32_t index);
  // Whether all jobs that this one needs are done.
  bool ready(const std::string& id) const;

  // To be called now and then: what stays too long shows only with time.
  void look(double now);

  const std::vector<std::string>& violations() const { return violations_; }
  std::size_t starts() const { return starts_; }
  // Starts of tasks whose user had been told that the job is cancelled.
  std::size_t starts_after_cancel() const { return starts_after_cancel_; }

 private:
  struct Job {
    JobSpec spec;
    bool accepted = false, cancel_asked = false;
    std::string final_phase;
    double cancelled_at = -1, accepted_at = -1, begun_at = -1;
    double told_cancelled_at = -1;
    double done_at = -1;
    double could_run_since = -1;
    double unanswered_since = -1;  // the first question without an answer after the last answer
    std::set<std::uint32_t> done;
    std::map<std::uint32_t, std::map<std::string, Place>> on;  // task -> machines
  };
  void violated(double now, const char* rule, const std::string& what);
  // All jobs that a job needs, directly or through others.
  std::vector<const Job*> needed_by(const Job& job) const;
  bool cancel_asked(const Job& job) const;  // of it, or of a job that it needs
  void check_orphaned(double now, const std::string& id, const Job& job);
  double ready_at(const Job& job) const;

  std::vector<Team> teams_;
  double cancel_s_;
  std::map<std::string, Job> jobs_;
  std::map<std::string, double> team_cpus_;
  std::vector<std::string> violations_;
  std::size_t starts_ = 0, starts_after_cancel_ = 0;
  double over_at_ = -1;
};

}  // namespace eiderreel::standin
