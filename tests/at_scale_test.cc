// More machines and jobs than in the other tests, under the rate limits of the state store.
#include <array>
#include <cmath>

#include "trace/fault_trace.h"

using namespace eiderreel;
using namespace eiderreel::standin;

namespace {

// All controllers crash at once, and a single one serves all partitions until the others restart.
// Then 40 machines fail together, as in the failure of a rack, and their replacements boot
// together. No lease may expire except on the failed machines, every job must be
// done, and every controller must report its phase.
TEST(AtScale, OneControllerServesAllAndARackFails) {
  Options options;
  options.initial_machines = 120;
  options.rentable_machines = 40;
  options.enforce_limits = true;
  options.state_rps = 180;
  options.state_write_rps = 60;
  options.teams = {{"red", 320, 640, 0, 0}, {"blue", 320, 640, 0, 0}, {"gold", 320, 640, 0, 0}};
  SimulatedCluster cluster(options);
  std::vector<std::string> ids;
  for (int i = 0; i < 90; ++i) {
    ids.push_back("run-" + std::to_string(i));
    const char* team = std::array{"red", "blue", "gold"}[static_cast<std::size_t>(i % 3)];
    cluster.at(15 + i * 0.5, [&cluster, id = ids.back(), team] {
      cluster.submit(cluster.job(id, team, 20, 1, 10));
    });
  }
  cluster.at(25, [&] {
    cluster.crash(0, 20);
    cluster.crash(1, 20);
    cluster.crash(2, 0.3);
  });
  cluster.run_until(50);
  expect_no_lease_expired(cluster);
  for (int i = 0; i < 40; ++i) cluster.kill_machine(machine_id(i));
  cluster.run_until(150);
  cluster.checker().on_faults_ended(60);
  expect_rules_kept(cluster);
  for (const auto& id : ids) EXPECT_EQ(cluster.phase(id), "done") << id;
  expect_all_answered(cluster, ids);
}

// The state store rejects requests over its rate limits. Machines that boot together must cost few
// transactions, and the progress records of arrays must not delay user requests.
struct RateLimitCase {
  double max_changes_per_s, max_acceptance_s;
  std::size_t max_refused;
};

class TokenBucket : public testing::TestWithParam<RateLimitCase> {};

TEST_P(TokenBucket, UserRequestsTakePrecedenceOverProgress) {
  Options options;
  options.initial_machines = 90;
  options.enforce_limits = true;
  options.state_write_rps = GetParam().max_changes_per_s;
  options.state_rps = 60;
  options.teams = {{"red", 160, 240, 0, 0}, {"blue", 160, 240, 0, 0}, {"gold", 160, 240, 0, 0}};
  SimulatedCluster cluster(options);
  cluster.run_until(25);
  EXPECT_LT(cluster.commits(), 60u);  // for 90 machines, 3 partitions and 3 nodes
  int n = 0;
  for (int time_s = 25; time_s < 85; ++time_s)
    for (const char* team : {"red", "blue", "gold"}) {
      const std::string id = "run-" + std::to_string(++n);
      if (n % 4 == 0)
        cluster.at(time_s,
                   [&cluster, id, team] { cluster.submit(cluster.job(id, team, 40, 1, 10)); });
    }
  cluster.run_until(140);
  expect_rules_kept(cluster);
  EXPECT_LT(cluster.max_acceptance_s(), GetParam().max_acceptance_s);
  EXPECT_LT(cluster.commits_rate_limited(), GetParam().max_refused);
  for (int i = 4; i <= n; i += 4) EXPECT_EQ(cluster.phase("run-" + std::to_string(i)), "done") << i;
}

// At 12 changes a second progress records alone exceed the rate: an acceptance takes 1.2 s if they
// have precedence.
INSTANTIATE_TEST_SUITE_P(Rates, TokenBucket,
                         testing::Values(RateLimitCase{20, 0.3, 30}, RateLimitCase{12, 0.9, 60}),
                         [](const auto& info) {
                           return std::to_string(std::lround(info.param.max_changes_per_s)) +
                                  "ChangesPerSecond";
                         });

}  // namespace
