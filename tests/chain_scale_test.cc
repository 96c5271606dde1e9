// Large graphs of jobs that wait for others, and the limits of the state store.
#include "standin/chains.h"
#include "standin/text.h"

using namespace eiderreel;
using namespace eiderreel::standin;

namespace {

// ---------------------------------------------------------------------------------- large graphs

// The limits of a small deployment as they will be.
Options small_limits(std::uint64_t seed) {
  Options options = options_with_seed(seed);
  options.value_kb = 2;
  options.txn_ops = 5;
  options.state_rps = 60;
  options.state_write_rps = 45;
  options.enforce_limits = true;
  return options;
}

// So many small jobs that need run-1, one after the other.
std::vector<std::string> submit_dependents(SimulatedCluster& cluster, int count, double every_s) {
  std::vector<std::string> all;
  for (int n = 0; n < count; ++n) {
    all.push_back(job_id(1000 + n));
    cluster.at(6 + every_s * n, [&cluster, n] {
      cluster.submit_after_prerequisites(
          with_prerequisites(cluster.job(job_id(1000 + n), "blue", 1, 0.25, 1), {"run-1"}));
    });
  }
  return all;
}

// Hundreds of dependents of one job, and one job that needs them all: its prerequisites do not fit
// into one value. Everything restarts while they wait.
TEST(LargeChain, HundredsOfDependentsFanIntoOneJob) {
  constexpr int kMany = 300;
  SimulatedCluster cluster(small_limits(1));
  cluster.at(5, [&] { cluster.submit(cluster.job("run-1", "red", 1, 1, 60)); });
  const auto all = submit_dependents(cluster, kMany, 0.08);
  cluster.at(32, [&] {
    cluster.submit_after_prerequisites(
        with_prerequisites(cluster.job("run-2", "gold", 1, 1, 1), all));
  });
  cluster.at(50, [&] {
    EXPECT_EQ(cluster.phase("run-2"), "queued");
    EXPECT_GE(cluster.count_keys("e/awaits/run-2/"), 2u);
    for (int n = 0; n < 3; ++n) cluster.crash(n, 1);
  });
  cluster.run_until(240);
  EXPECT_EQ(cluster.commits_too_large(), 0u);
  expect_phase(cluster, all, "done");
  expect_phase(cluster, {"run-2"}, "done");
  EXPECT_EQ(cluster.count_keys("e/awaits/"), 0u);  // swept
  EXPECT_LT(cluster.max_acceptance_s(), 6);
  expect_rules_kept(cluster);
}

// One cancellation, one record: the answer does not wait for the hundreds after it.
TEST(LargeChain, CancellationIsConfirmedImmediatelyWithManyDependents) {
  constexpr int kMany = 150;
  SimulatedCluster cluster(small_limits(2));
  std::vector<std::string> all;
  cluster.at(5, [&] { cluster.submit(cluster.job("run-1", "red", 1, 1, 300)); });
  for (int n = 0; n < kMany; ++n) {
    all.push_back(job_id(1000 + n));
    const std::string before = n % 10 ? job_id(1000 + n - 1) : "run-1";
    cluster.at(6 + 0.1 * n, [&cluster, n, before] {
      cluster.submit_after_prerequisites(with_prerequisites(
          cluster.job(job_id(1000 + n), n % 2 ? "blue" : "gold", 1, 1, 1), {before}));
    });
  }
  cluster.at(40, [&] { cluster.cancel("run-1"); });
  cluster.at(41, [&] { cluster.crash(cluster.leader_of(1), 4); });
  cluster.run_until(100);
  EXPECT_GE(cluster.cancel_confirmation("run-1").confirmed_at_s, 40);
  EXPECT_LT(cluster.cancel_confirmation("run-1").confirmed_at_s, 40.5);
  expect_phase(cluster, all, "cancelled");
  expect_rules_kept(cluster);
}

// As many prerequisites as a request holds: accepted within a user's patience, spread over many
// values, and refused if a single one was never accepted.
TEST(LargeChain, OneJobWithThousandsOfPrerequisites) {
  constexpr int kMany = 3000;
  Options options = small_limits(4);
  options.state_rps = options.state_write_rps = 1000;
  SimulatedCluster cluster(options);
  cluster.at(5, [&] { cluster.submit(cluster.job("run-1", "red", 1, 1, 300)); });
  const auto all = submit_dependents(cluster, kMany, 0.005);
  int with_unknown = 0;
  cluster.at(24, [&] {
    auto one_unknown = all;
    one_unknown.push_back("run-99");
    cluster.send_request(
        2, "POST", "/v1/jobs",
        submission_text(with_prerequisites(cluster.job("run-3", "gold", 1), one_unknown)),
        [&](int status, std::string) { with_unknown = status; });
    cluster.submit_after_prerequisites(with_prerequisites(cluster.job("run-2", "gold", 1), all));
  });
  cluster.at(29.5, [&] {
    EXPECT_EQ(cluster.phase("run-2"), "queued");
    EXPECT_GE(cluster.count_keys("e/awaits/run-2/"), 15u);
    EXPECT_EQ(cluster.node(1)->state_store().view().dependencies.prerequisite_count("run-2"),
              3000u);
  });
  cluster.at(30, [&] { cluster.cancel("run-1"); });
  cluster.run_until(60);
  EXPECT_EQ(with_unknown, 422);
  EXPECT_LT(cluster.max_acceptance_s(), 5);
  EXPECT_LT(cluster.cancel_confirmation("run-1").confirmed_at_s, 30.5);
  EXPECT_EQ(cluster.commits_too_large(), 0u);
  EXPECT_EQ(cluster.phase("run-2"), "cancelled");
  for (const auto& job : all) ASSERT_EQ(cluster.phase(job), "cancelled") << job;
  expect_rules_kept(cluster);
}

// A chain of a thousand, cancelled at its first job.
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

// A job whose progress fills several of the smaller values is half done when a failover meets the
// lower limits.
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
