// The rules of the protocol, checked on what really happens in the stand-in world.
#pragma once
#include <map>
#include <set>
#include <string>
#include <vector>

#include "actors/settings.h"
#include "core/types.h"

namespace eiderreel::standin {

class Checker {
 public:
  Checker(std::vector<Team> teams, double cancel_s)
      : teams_(std::move(teams)), cancel_s_(cancel_s) {}

  // --- what users do and hear ---
  void submitted(const JobSpec& spec) { jobs_[spec.id].spec = spec; }
  void submit_answer(double t, const std::string& id, int status);
  void cancel_asked(const std::string& id) { jobs_[id].cancel_asked = true; }
  // `phase` empty: 404.
  void told(double t, const std::string& id, const std::string& phase);

  // --- what machines do ---
  struct Place {
    std::string machine, type, zone;
    bool spot = false;
  };
  void task_on(double t, const Place& p, const std::string& job, std::uint32_t index);
  void task_off(const std::string& machine, const std::string& job, std::uint32_t index);
  void task_done(const std::string& job, std::uint32_t index) { jobs_[job].done.insert(index); }

  const std::vector<std::string>& broken() const { return broken_; }
  std::size_t starts() const { return starts_; }

 private:
  struct Job {
    JobSpec spec;
    bool accepted = false, cancel_asked = false;
    std::string final_phase;
    double cancelled_at = -1;
    std::set<std::uint32_t> done;
    std::map<std::uint32_t, std::map<std::string, Place>> on;  // task -> machines
  };
  void broke(double t, const char* rule, const std::string& what);

  std::vector<Team> teams_;
  double cancel_s_;
  std::map<std::string, Job> jobs_;
  std::map<std::string, double> team_cpus_;
  std::vector<std::string> broken_;
  std::size_t starts_ = 0;

 public:
  // To be called now and then: what stays too long shows only with time.
  void look(double t);
};

}  // namespace eiderreel::standin
