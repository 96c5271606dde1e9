// Scenarios in the simulated cluster whose traces are compared in full with those in tests/traces/,
// which are also meant for reading. Each scenario checks the rules of the protocol too. After a
// change of behaviour, write the traces again and review the difference:
//
//   EIDERREEL_WRITE_TRACES=1 target/tests/eiderreel_tests
#pragma once
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

#include "standin/expectations.h"

namespace eiderreel::standin {

// No lease of a machine with tasks has expired.
inline void expect_no_lease_expired(const SimulatedCluster& cluster) {
  for (const auto& line : cluster.trace())
    EXPECT_EQ(line.find("lease expired"), std::string::npos) << line;
}

class FaultTrace : public testing::Test {
 protected:
  // No rule is violated, and the trace equals tests/traces/NAME.txt.
  void expect_trace_equals(SimulatedCluster& cluster, const std::string& name) {
    expect_rules_kept(cluster);
    std::string text;
    for (const auto& line : cluster.trace()) text += line + "\n";
    const std::string path = std::string(EIDERREEL_SOURCE_DIR) + "/tests/traces/" + name + ".txt";
    if (std::getenv("EIDERREEL_WRITE_TRACES")) {
      std::ofstream(path) << text;
      return;
    }
    std::ifstream in(path);
    std::stringstream expected;
    expected << in.rdbuf();
    EXPECT_EQ(expected.str(), text) << "the trace differs from " << path;
  }
  // Submits a service and an array of each team.
  static void submit_usual_load(SimulatedCluster& cluster, double time_s) {
    int n = 100;
    for (const char* team : {"red", "blue", "gold"}) {
      const std::string service = "run-" + std::to_string(++n);
      const std::string array = "run-" + std::to_string(++n);
      cluster.at(time_s, [&cluster, service, array, team] {
        cluster.submit(cluster.service(service, team, 1, 2));
        cluster.submit(cluster.job(array, team, 12, 1, 8));
      });
    }
  }
  static void expect_usual_load_finished(SimulatedCluster& cluster) {
    for (const char* id : {"run-102", "run-104", "run-106"})
      EXPECT_EQ(cluster.phase(id), "done") << id;
    for (const char* id : {"run-101", "run-103", "run-105"})
      EXPECT_EQ(cluster.tasks_on(id), 1u) << id;
  }
};

// Once the faults are over, every controller must answer a poll for each job within 2 s.
inline void expect_all_answered(SimulatedCluster& cluster, const std::vector<std::string>& ids) {
  std::size_t answered = 0;
  for (const auto& id : ids)
    for (int n = 0; n < 3; ++n)
      cluster.poll_once(n, id, [&](int status, const std::string&) { answered += status == 200; });
  cluster.run_until(cluster.now() + 2);
  EXPECT_EQ(answered, ids.size() * 3);
}

// The jobs of submit_usual_load().
inline const std::vector<std::string> kUsualLoadJobs = {"run-101", "run-102", "run-103",
                                                        "run-104", "run-105", "run-106"};

}  // namespace eiderreel::standin
