// What the tests of jobs that wait for others share: ids, a pipeline of three teams, and the phases
// that users were told.
#pragma once
#include <string>
#include <utility>
#include <vector>

#include "standin/expectations.h"

namespace eiderreel::standin {

using Seeds = testing::TestWithParam<std::uint64_t>;

inline JobSpec needing(JobSpec spec, std::vector<std::string> prerequisites) {
  spec.prerequisites = std::move(prerequisites);
  return spec;
}

inline std::string id(int n) { return "run-" + std::to_string(n); }

inline Options seeded(std::uint64_t seed) {
  Options options;
  options.seed = seed;
  return options;
}

// run-1 (red) <- run-2 (blue) <- run-3 (gold); each runs for `run_s`.
inline void submit_pipeline(SimulatedCluster& cluster, double run_s) {
  cluster.submit(cluster.job("run-1", "red", 4, 1, run_s));
  cluster.submit_chained(needing(cluster.job("run-2", "blue", 4, 1, run_s), {"run-1"}));
  cluster.submit_chained(needing(cluster.job("run-3", "gold", 4, 1, run_s), {"run-2"}));
}

// What a node answers to a poll now, by way of the test's own question.
inline void poll_into(SimulatedCluster& cluster, int node, const std::string& job,
                      std::string& phase) {
  cluster.poll_once(node, job, [&phase](int status, const std::string& told) {
    phase = status == 200 ? told : std::to_string(status);
  });
}

inline void expect_phase(SimulatedCluster& cluster, const std::vector<std::string>& ids,
                         const std::string& phase) {
  for (const auto& job : ids) EXPECT_EQ(cluster.phase(job), phase) << job;
}

}  // namespace eiderreel::standin
