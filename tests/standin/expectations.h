// What the tests of the simulated cluster share: names of its machines, and the rules that every
// day must keep.
#pragma once
#include <gtest/gtest.h>

#include <string>

#include "standin/simulated_cluster.h"

namespace eiderreel::standin {

// The n-th machine of a simulated cluster, and its address.
inline std::string machine(int n) {
  const std::string digits = std::to_string(n);
  return "m-" + std::string(6 - digits.size(), '0') + digits;
}
inline std::string address(const std::string& machine) { return "w-" + machine; }

// Names the cases of a suite by their seeds.
inline std::string seed_name(const testing::TestParamInfo<std::uint64_t>& info) {
  return "Seed" + std::to_string(info.param);
}

// No rule is broken, and the day was one on which tasks started.
inline void expect_rules_kept(SimulatedCluster& cluster, const std::string& day = "") {
  for (const auto& rule : cluster.checker().violations())
    ADD_FAILURE() << day << " rule broken: " << rule;
  EXPECT_GT(cluster.checker().starts(), 0u);
}

}  // namespace eiderreel::standin
