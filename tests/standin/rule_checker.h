// The rules of the protocol, checked on what really happens in the stand-in world.
#pragma once
#include <map>
#include <set>
#include <string>
#include <vector>

#include "config/settings.h"
#include "model/job.h"

namespace eiderreel::standin {

class Checker {
 public:
  Checker(std::vector<Team> teams, double cancel_s)
      : teams_(std::move(teams)), cancel_s_(cancel_s) {}

  // --- what users do and hear ---
  void submitted(const JobSpec& spec) { jobs_[spec.id].spec = spec; }
  void submit_answer(double t, const std::string& id, int status);
  // A submission that must not be accepted: it can never run, or lacks a field.
  void odd_answer(double t, const std::string& what, int status);
  void cancel_asked(const std::string& id) { jobs_[id].cancel_asked = true; }
  // `phase` empty: 404.
  void told(double t, const std::string& id, const std::string& phase);
  // A question about a job, and whether it was answered at all.
  void asked(double t, const std::string& id, bool answered);
  // A controller that neither holds a lease nor has the votes of its peers answered a worker.
  void answered_without_lease(double t, const std::string& what) {
    broke(t, "answered_without_lease", what);
  }
  // A rule of cluster versions.
  void version_rule(double t, const std::string& what) { broke(t, "cluster_version", what); }
  // From now on every job must be answered for.
  void troubles_over(double t) { over_at_ = t; }
  // Whether a machine that fits has room for a waiting task of the job, and its team is under its
  // limit; to be told now and then.
  void could_run(double t, const std::string& id, bool could);
  // The end of the day: of each class, each team and each class's largest jobs half is served.
  void day_over(double t);

  // --- what machines do ---
  struct Place {
    std::string machine, type, zone;
    bool spot = false;
  };
  void task_on(double t, const Place& p, const std::string& job, std::uint32_t index);
  void task_off(const std::string& machine, const std::string& job, std::uint32_t index);
  void task_done(double t, const std::string& job, std::uint32_t index);
  // Whether all jobs that this one needs are done.
  bool ready(const std::string& id) const;

  const std::vector<std::string>& broken() const { return broken_; }
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
  void broke(double t, const char* rule, const std::string& what);
  // All jobs that a job needs, directly or through others.
  std::vector<const Job*> needed_by(const Job& j) const;
  bool cancel_asked(const Job& j) const;  // of it, or of a job that it needs
  void check_orphaned(double t, const std::string& id, const Job& j);
  double ready_at(const Job& j) const;

  std::vector<Team> teams_;
  double cancel_s_;
  std::map<std::string, Job> jobs_;
  std::map<std::string, double> team_cpus_;
  std::vector<std::string> broken_;
  std::size_t starts_ = 0, starts_after_cancel_ = 0;
  double over_at_ = -1;

 public:
  // To be called now and then: what stays too long shows only with time.
  void look(double t);
};

}  // namespace eiderreel::standin
