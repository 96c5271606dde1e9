// Helpers for the tests of the simulated cluster: machine ids, worker addresses, and the check that
// no rule of the protocol was violated.
#pragma once
#include <gtest/gtest.h>

#include <string>

#include "standin/simulated_cluster.h"

namespace eiderreel::standin {

// The id of the n-th machine of a simulated cluster, and the address of its worker.
inline std::string machine_id(int n) {
  const std::string digits = std::to_string(n);
  return "m-" + std::string(6 - digits.size(), '0') + digits;
}
inline std::string worker_address(const std::string& machine) { return "w-" + machine; }

// Names the instances of a parameterized test by their seeds.
inline std::string seed_name(const testing::TestParamInfo<std::uint64_t>& info) {
  return "Seed" + std::to_string(info.param);
}

// Expects that no rule was violated and that at least one task was started.
inline void expect_rules_kept(SimulatedCluster& cluster, const std::string& day = "") {
  for (const auto& rule : cluster.checker().violations())
    ADD_FAILURE() << day << " rule broken: " << rule;
  EXPECT_GT(cluster.checker().starts(), 0u);
}

}  // namespace eiderreel::standin
