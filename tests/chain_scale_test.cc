// Large dependency graphs, and the size and rate limits of the state store.
#include "standin/chains.h"
#include "standin/text.h"

using namespace eiderreel;
using namespace eiderreel::standin;

namespace {

// ---------------------------------------------------------------------------------- large graphs

// State store limits of a small deployment: value size, operations in a transaction, request rates.
Options small_limits(std::uint64_t seed) {
  Options options = options_with_seed(seed);
  options.value_kb = 2;
  options.txn_ops = 5;
  options.state_rps = 60;
  options.state_write_rps = 45;
  options.enforce_limits = true;
  return options;
}

// Submits `count` small jobs that depend on run-1, one every `interval_s`, and returns their ids.
std::vector<std::string> submit_dependents(SimulatedCluster& cluster, int count,
                                           double interval_s) {
  std::vector<std::string> dependents;
  for (int n = 0; n < count; ++n) {
    dependents.push_back(job_id(1000 + n));
    cluster.at(6 + interval_s * n, [&cluster, n] {
      cluster.submit_after_prerequisites(
          with_prerequisites(cluster.job(job_id(1000 + n), "blue", 1, 0.25, 1), {"run-1"}));
    });
  }
  return dependents;
}

// Hundreds of jobs depend on one job, and one job depends on all of them, so its prerequisites do
// not fit into one value of the state store. All controllers restart while the jobs wait.
TEST(LargeChain, HundredsOfDependentsFanIntoOneJob) {
  constexpr int kDependents = 300;
  SimulatedCluster cluster(small_limits(1));
  cluster.at(5, [&] { cluster.submit(cluster.job("run-1", "red", 1, 1, 60)); });
  const auto dependents = submit_dependents(cluster, kDependents, 0.08);
  cluster.at(32, [&] {
    cluster.submit_after_prerequisites(
        with_prerequisites(cluster.job("run-2", "gold", 1, 1, 1), dependents));
  });
  cluster.at(50, [&] {
    EXPECT_EQ(cluster.phase("run-2"), "queued");
    EXPECT_GE(cluster.count_keys("e/awaits/run-2/"), 2u);
    for (int n = 0; n < 3; ++n) cluster.crash(n, 1);
  });
  cluster.run_until(240);
  EXPECT_EQ(cluster.commits_too_large(), 0u);
  expect_phase(cluster, dependents, "done");
  expect_phase(cluster, {"run-2"}, "done");
  EXPECT_EQ(cluster.count_keys("e/awaits/"), 0u);  // deleted by the sweep
  EXPECT_LT(cluster.max_acceptance_s(), 6);
  expect_rules_kept(cluster);
}

// A cancellation commits one record: its confirmation must not wait until the hundreds of
// dependents are cancelled.
TEST(LargeChain, CancellationIsConfirmedImmediatelyWithManyDependents) {
  constexpr int kDependents = 150;
  SimulatedCluster cluster(small_limits(2));
  std::vector<std::string> dependents;
  cluster.at(5, [&] { cluster.submit(cluster.job("run-1", "red", 1, 1, 300)); });
  for (int n = 0; n < kDependents; ++n) {
    dependents.push_back(job_id(1000 + n));
    const std::string prerequisite = n % 10 ? job_id(1000 + n - 1) : "run-1";
    cluster.at(6 + 0.1 * n, [&cluster, n, prerequisite] {
      cluster.submit_after_prerequisites(with_prerequisites(
          cluster.job(job_id(1000 + n), n % 2 ? "blue" : "gold", 1, 1, 1), {prerequisite}));
    });
  }
  cluster.at(40, [&] { cluster.cancel("run-1"); });
  cluster.at(41, [&] { cluster.crash(cluster.leader_of(1), 4); });
  cluster.run_until(100);
  EXPECT_GE(cluster.cancel_confirmation("run-1").confirmed_at_s, 40);
  EXPECT_LT(cluster.cancel_confirmation("run-1").confirmed_at_s, 40.5);
  expect_phase(cluster, dependents, "cancelled");
  expect_rules_kept(cluster);
}

// As many prerequisites as fit into a request: accepted within 5 s, stored in many values, and
// rejected if a single one of them was never accepted as a job.
TEST(LargeChain, OneJobWithThousandsOfPrerequisites) {
  constexpr int kDependents = 3000;
  Options options = small_limits(4);
  options.state_rps = options.state_write_rps = 1000;
  SimulatedCluster cluster(options);
  cluster.at(5, [&] { cluster.submit(cluster.job("run-1", "red", 1, 1, 300)); });
  const auto dependents = submit_dependents(cluster, kDependents, 0.005);
  int unknown_prerequisite_status = 0;
  cluster.at(24, [&] {
    auto prerequisites = dependents;
    prerequisites.push_back("run-99");
    cluster.send_request(
        2, "POST", "/v1/jobs",
        submission_text(with_prerequisites(cluster.job("run-3", "gold", 1), prerequisites)),
        [&](int status, std::string) { unknown_prerequisite_status = status; });
    cluster.submit_after_prerequisites(
        with_prerequisites(cluster.job("run-2", "gold", 1), dependents));
  });
  cluster.at(29.5, [&] {
    EXPECT_EQ(cluster.phase("run-2"), "queued");
    EXPECT_GE(cluster.count_keys("e/awaits/run-2/"), 15u);
    EXPECT_EQ(cluster.node(1)->state_store().view().dependencies.prerequisite_count("run-2"),
              3000u);
  });
  cluster.at(30, [&] { cluster.cancel("run-1"); });
  cluster.run_until(60);
  EXPECT_EQ(unknown_prerequisite_status, 422);
  EXPECT_LT(cluster.max_acceptance_s(), 5);
  EXPECT_LT(cluster.cancel_confirmation("run-1").confirmed_at_s, 30.5);
  EXPECT_EQ(cluster.commits_too_large(), 0u);
  EXPECT_EQ(cluster.phase("run-2"), "cancelled");
  for (const auto& job : dependents) ASSERT_EQ(cluster.phase(job), "cancelled") << job;
  expect_rules_kept(cluster);
}

// A chain of 1,000 jobs: cancelling the first job cancels all of them.
TEST(LargeChain, ChainOfAThousandIsCancelledFromItsFirstJob) {
  constexpr int kLength = 1000;
  Options options = options_with_seed(3);
  options.state_rps = 2000;
  options.state_write_rps = 1000;
  SimulatedCluster cluster(options);
  cluster.at(5, [&] { cluster.submit(cluster.job(job_id(1), "red", 1, 1, 300)); });
  for (int n = 2; n <= kLength; ++n)
    cluster.at(6 + 0.02 * n, [&cluster, n] {
      cluster.submit_after_prerequisites(
          with_prerequisites(cluster.job(job_id(n), "blue", 1, 1, 1), {job_id(n - 1)}));
    });
  cluster.at(40, [&] { cluster.cancel(job_id(1)); });
  cluster.run_until(70);
  for (int n = 1; n <= kLength; ++n) ASSERT_EQ(cluster.phase(job_id(n)), "cancelled") << n;
  expect_rules_kept(cluster);
}

// ------------------------------------------------------------------------------------- limits

class LoweredLimits : public SeededTest {};

// A job whose stored progress needs several values under the lower limits is half done when the
// limits are lowered during a failover.
TEST_P(LoweredLimits, TakeEffectDuringAFailoverWithALargeJobInProgress) {
  Options options = options_with_seed(GetParam());
  options.announced_value_kb = 1;
  options.announced_txn_ops = 3;
  options.announced_write_rps = 60;
  SimulatedCluster cluster(options);
  cluster.at(5, [&] {
    cluster.submit(cluster.job("run-1", "red", 7000, 0.02, 4));
    cluster.submit_after_prerequisites(
        with_prerequisites(cluster.job("run-2", "blue", 4, 1, 3), {"run-1"}));
  });
  cluster.at(14, [&] {
    EXPECT_GE(cluster.count_keys("d/"), 1u);
    cluster.crash(cluster.leader_of(0), 4);
  });
  cluster.at(15, [&] { cluster.set_store_limits(1, 3, 60); });
  cluster.run_until(120);
  EXPECT_EQ(cluster.commits_too_large(), 0u);
  expect_phase(cluster, {"run-1", "run-2"}, "done");
  EXPECT_EQ(cluster.count_keys("d/"), 0u);
  expect_rules_kept(cluster);
}

INSTANTIATE_TEST_SUITE_P(Seeds, LoweredLimits, testing::Values(1, 2, 3), seed_name);

}  // namespace
