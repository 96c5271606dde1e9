// Helpers for the tests of jobs with prerequisites: job ids, a pipeline of jobs of three teams, and
// checks of the job phases that the API reports to users.
#pragma once
#include <string>
#include <utility>
#include <vector>

#include "standin/expectations.h"

namespace eiderreel::standin {

using SeededTest = testing::TestWithParam<std::uint64_t>;

inline JobSpec with_prerequisites(JobSpec spec, std::vector<std::string> prerequisites) {
  spec.prerequisites = std::move(prerequisites);
  return spec;
}

inline std::string job_id(int n) { return "run-" + std::to_string(n); }

inline Options options_with_seed(std::uint64_t seed) {
  Options options;
  options.seed = seed;
  return options;
}

// Submits run-1 (team red) <- run-2 (blue) <- run-3 (gold), each with the prerequisite on its left.
// Every task runs for `run_s` seconds.
inline void submit_pipeline(SimulatedCluster& cluster, double run_s) {
  cluster.submit(cluster.job("run-1", "red", 4, 1, run_s));
  cluster.submit_after_prerequisites(
      with_prerequisites(cluster.job("run-2", "blue", 4, 1, run_s), {"run-1"}));
  cluster.submit_after_prerequisites(
      with_prerequisites(cluster.job("run-3", "gold", 4, 1, run_s), {"run-2"}));
}

// Polls a job at one node and stores the phase from the reply in `phase`, or the HTTP status as
// text if the reply is not a 200.
inline void poll_phase(SimulatedCluster& cluster, int node, const std::string& job,
                       std::string& phase) {
  cluster.poll_once(node, job, [&phase](int status, const std::string& reported_phase) {
    phase = status == 200 ? reported_phase : std::to_string(status);
  });
}

inline void expect_phase(SimulatedCluster& cluster, const std::vector<std::string>& ids,
                         const std::string& phase) {
  for (const auto& job : ids) EXPECT_EQ(cluster.phase(job), phase) << job;
}

}  // namespace eiderreel::standin
