// Large graphs of jobs that wait for others, and the limits of the state store.
#include "standin/chains.h"
#include "standin/text.h"

using namespace eiderreel;
using namespace eiderreel::standin;

namespace {

// ---------------------------------------------------------------------------------- large graphs

// The limits of a small deployment as they will be.
Options small_limits(std::uint64_t seed) {
  Options o = seeded(seed);
  o.value_kb = 2;
  o.txn_ops = 5;
  o.state_rps = 60;
  o.state_write_rps = 45;
  o.limits = true;
  return o;
}

// So many small jobs that need run-1, one after the other.
std::vector<std::string> submit_dependents(World& w, int count, double every_s) {
  std::vector<std::string> all;
  for (int n = 0; n < count; ++n) {
    all.push_back(id(1000 + n));
    w.at(6 + every_s * n, [&w, n] {
      w.submit_chained(needing(w.job(id(1000 + n), "blue", 1, 0.25, 1), {"run-1"}));
    });
  }
  return all;
}

// Hundreds of dependents of one job, and one job that needs them all: its prerequisites do not fit
// into one value. Everything restarts while they wait.
TEST(LargeChain, HundredsOfDependentsAndOneJobThatNeedsThemAll) {
  constexpr int kMany = 300;
  World w(small_limits(1));
  w.at(5, [&] { w.submit(w.job("run-1", "red", 1, 1, 60)); });
  const auto all = submit_dependents(w, kMany, 0.08);
  w.at(32, [&] { w.submit_chained(needing(w.job("run-2", "gold", 1, 1, 1), all)); });
  w.at(50, [&] {
    EXPECT_EQ(w.phase("run-2"), "queued");
    EXPECT_GE(w.keys_under("e/awaits/run-2/"), 2u);
    for (int n = 0; n < 3; ++n) w.crash(n, 1);
  });
  w.run_until(240);
  EXPECT_EQ(w.refused_too_large(), 0u);
  expect_phase(w, all, "done");
  expect_phase(w, {"run-2"}, "done");
  EXPECT_EQ(w.keys_under("e/awaits/"), 0u);  // swept
  EXPECT_LT(w.slowest_acceptance(), 6);
  expect_rules_kept(w);
}

// One cancellation, one record: the answer does not wait for the hundreds after it.
TEST(LargeChain, ACancellationIsConfirmedAtOnceWhateverNeedsTheJob) {
  constexpr int kMany = 150;
  World w(small_limits(2));
  std::vector<std::string> all;
  w.at(5, [&] { w.submit(w.job("run-1", "red", 1, 1, 300)); });
  for (int n = 0; n < kMany; ++n) {
    all.push_back(id(1000 + n));
    const std::string before = n % 10 ? id(1000 + n - 1) : "run-1";
    w.at(6 + 0.1 * n, [&w, n, before] {
      w.submit_chained(needing(w.job(id(1000 + n), n % 2 ? "blue" : "gold", 1, 1, 1), {before}));
    });
  }
  w.at(40, [&] { w.cancel("run-1"); });
  w.at(41, [&] { w.crash(w.leader_of(1), 4); });
  w.run_until(100);
  EXPECT_GE(w.confirmed("run-1").at, 40);
  EXPECT_LT(w.confirmed("run-1").at, 40.5);
  expect_phase(w, all, "cancelled");
  expect_rules_kept(w);
}

// As many prerequisites as a request holds: accepted within a user's patience, spread over many
// values, and refused if a single one was never accepted.
TEST(LargeChain, OneJobThatNeedsThousands) {
  constexpr int kMany = 3000;
  Options o = small_limits(4);
  o.state_rps = o.state_write_rps = 1000;
  World w(o);
  w.at(5, [&] { w.submit(w.job("run-1", "red", 1, 1, 300)); });
  const auto all = submit_dependents(w, kMany, 0.005);
  int with_unknown = 0;
  w.at(24, [&] {
    auto one_unknown = all;
    one_unknown.push_back("run-99");
    w.raw(2, "POST", "/v1/jobs", submission_text(needing(w.job("run-3", "gold", 1), one_unknown)),
          [&](int status, std::string) { with_unknown = status; });
    w.submit_chained(needing(w.job("run-2", "gold", 1), all));
  });
  w.at(29.5, [&] {
    EXPECT_EQ(w.phase("run-2"), "queued");
    EXPECT_GE(w.keys_under("e/awaits/run-2/"), 15u);
    EXPECT_EQ(w.node(1)->state_store().view().dependencies.prerequisite_count("run-2"), 3000u);
  });
  w.at(30, [&] { w.cancel("run-1"); });
  w.run_until(60);
  EXPECT_EQ(with_unknown, 422);
  EXPECT_LT(w.slowest_acceptance(), 5);
  EXPECT_LT(w.confirmed("run-1").at, 30.5);
  EXPECT_EQ(w.refused_too_large(), 0u);
  EXPECT_EQ(w.phase("run-2"), "cancelled");
  for (const auto& job : all) ASSERT_EQ(w.phase(job), "cancelled") << job;
  expect_rules_kept(w);
}

// A chain of a thousand, cancelled at its first job.
TEST(LargeChain, AChainOfAThousand) {
  constexpr int kLength = 1000;
  Options o = seeded(3);
  o.state_rps = 2000;
  o.state_write_rps = 1000;
  World w(o);
  w.at(5, [&] { w.submit(w.job(id(1), "red", 1, 1, 300)); });
  for (int n = 2; n <= kLength; ++n)
    w.at(6 + 0.02 * n,
         [&w, n] { w.submit_chained(needing(w.job(id(n), "blue", 1, 1, 1), {id(n - 1)})); });
  w.at(40, [&] { w.cancel(id(1)); });
  w.run_until(70);
  for (int n = 1; n <= kLength; ++n) ASSERT_EQ(w.phase(id(n)), "cancelled") << n;
  expect_rules_kept(w);
}

// ------------------------------------------------------------------------------------- limits

class LowerLimits : public Seeds {};

// A job whose progress fills several of the smaller values is half done when a failover meets the
// lower limits.
TEST_P(LowerLimits, ComeDuringATakeoverWithALargeJobInProgress) {
  Options o = seeded(GetParam());
  o.next_value_kb = 1;
  o.next_txn_ops = 3;
  o.next_write_rps = 60;
  World w(o);
  w.at(5, [&] {
    w.submit(w.job("run-1", "red", 7000, 0.02, 4));
    w.submit_chained(needing(w.job("run-2", "blue", 4, 1, 3), {"run-1"}));
  });
  w.at(14, [&] {
    EXPECT_GE(w.keys_under("d/"), 1u);
    w.crash(w.leader_of(0), 4);
  });
  w.at(15, [&] { w.limit_state(1, 3, 60); });
  w.run_until(120);
  EXPECT_EQ(w.refused_too_large(), 0u);
  expect_phase(w, {"run-1", "run-2"}, "done");
  EXPECT_EQ(w.keys_under("d/"), 0u);
  expect_rules_kept(w);
}

INSTANTIATE_TEST_SUITE_P(Seeds, LowerLimits, testing::Values(1, 2, 3));

}  // namespace
