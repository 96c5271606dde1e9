// The upgrade from the build without prerequisites, with both builds running side by side.
#include <array>

#include "standin/chains.h"
#include "standin/text.h"

using namespace eiderreel;
using namespace eiderreel::standin;

namespace {

// ------------------------------------------------------------------------------------- upgrade

class PrerequisitesUpgrade : public SeededTest {
 protected:
  static Options old_build(std::uint64_t seed) {
    Options options = options_with_seed(seed);
    options.old_build_nodes = {0, 1, 2};
    options.announced_value_kb = 2;
    options.announced_txn_ops = 5;
    options.announced_write_rps = 60;
    return options;
  }
  // Jobs before, during and after the upgrade, some of them cancelled.
  static void submit_ordinary(SimulatedCluster& cluster) {
    for (int n = 0; n < 20; ++n) {
      cluster.at(5 + 2.5 * n, [&cluster, n] {
        const char* team = std::array{"red", "blue", "gold"}[static_cast<std::size_t>(n % 3)];
        cluster.submit(cluster.job(job_id(100 + n), team, 6, 1, 3 + n % 7));
      });
      if (n % 5 == 0) cluster.at(7 + 2.5 * n, [&cluster, n] { cluster.cancel(job_id(100 + n)); });
    }
  }
  static void expect_ordinary_ended(SimulatedCluster& cluster) {
    for (int n = 0; n < 20; ++n)
      EXPECT_EQ(cluster.phase(job_id(100 + n)), n % 5 ? "done" : "cancelled") << n;
  }
};

TEST_P(PrerequisitesUpgrade, RollsUnderLoadAndThenAcceptsChains) {
  SimulatedCluster cluster(old_build(GetParam()));
  std::map<int, int> mixed;
  submit_ordinary(cluster);
  cluster.at(14, [&] { cluster.crash(1, 3); });  // not upgraded yet: restarts with the old build
  cluster.at(20, [&] { cluster.upgrade(0); });
  cluster.at(28, [&] {
    cluster.send_request(
        0, "POST", "/v1/jobs",
        submission_text(with_prerequisites(cluster.job("run-9", "red", 1), {"run-101"})),
        [&](int status, std::string) { ++mixed[status]; });
  });
  cluster.at(30, [&] { cluster.upgrade(1); });
  cluster.at(40, [&] { cluster.upgrade(2); });
  cluster.at(50, [&] { cluster.set_store_limits(2, 5, 60); });
  cluster.at(52, [&] { submit_pipeline(cluster, 5); });
  cluster.at(60, [&] { cluster.crash(cluster.leader_of(1), 4); });
  cluster.run_until(140);
  EXPECT_EQ(mixed[503], 1);  // refused, since a peer runs the old build
  expect_ordinary_ended(cluster);
  expect_phase(cluster, {"run-1", "run-2", "run-3"}, "done");
  EXPECT_EQ(cluster.commits_too_large(), 0u);
  expect_rules_kept(cluster);
}

TEST_P(PrerequisitesUpgrade, SurvivesAFullRestartAndAnOutage) {
  SimulatedCluster cluster(old_build(GetParam()));
  submit_ordinary(cluster);
  cluster.at(20, [&] { cluster.upgrade(2); });
  cluster.at(27, [&] { cluster.set_store_outage(true); });
  cluster.at(39, [&] { cluster.set_store_outage(false); });
  cluster.at(42, [&] {  // all restart at once; n1 restarts with the old build
    cluster.upgrade(0, 1);
    cluster.crash(1, 2);
    cluster.crash(2, 3);
  });
  cluster.at(55, [&] { cluster.upgrade(1, 0.2); });
  cluster.at(62, [&] { submit_pipeline(cluster, 5); });
  cluster.run_until(150);
  expect_ordinary_ended(cluster);
  expect_phase(cluster, {"run-1", "run-2", "run-3"}, "done");
  expect_rules_kept(cluster);
}

// The build of a controller that is down is unknown; that is no reason to refuse chains.
TEST_P(PrerequisitesUpgrade, AbsentControllerDoesNotBlockChains) {
  SimulatedCluster cluster(options_with_seed(GetParam()));
  cluster.at(10, [&] { cluster.crash(2, 500); });
  cluster.at(20, [&] { submit_pipeline(cluster, 4); });
  cluster.run_until(90);
  expect_phase(cluster, {"run-1", "run-2", "run-3"}, "done");
  expect_rules_kept(cluster);
}

// A controller that is downgraded to the earlier build starts no job with prerequisites.
TEST_P(PrerequisitesUpgrade, EarlierBuildIgnoresJobsWithPrerequisites) {
  Options options = options_with_seed(GetParam());
  options.old_build_nodes = {0, 1, 2};
  SimulatedCluster cluster(options);
  for (int n = 0; n < 3; ++n) cluster.at(1 + n, [&cluster, n] { cluster.upgrade(n, 0.5); });
  cluster.at(15, [&] { submit_pipeline(cluster, 20); });
  cluster.at(20, [&] { cluster.downgrade(cluster.leader_of(1), 1); });
  cluster.at(60, [&] {
    EXPECT_EQ(cluster.tasks_on("run-2"), 0u);
    for (int n = 0; n < 3; ++n) cluster.upgrade(n, 0.5);
  });
  cluster.run_until(160);
  expect_phase(cluster, {"run-1", "run-2", "run-3"}, "done");
  expect_rules_kept(cluster);
}

INSTANTIATE_TEST_SUITE_P(Seeds, PrerequisitesUpgrade, testing::Values(1, 2, 3), seed_name);

}  // namespace
