// Cancellations of jobs that have dependents, under faults.
#include <array>

#include "standin/chains.h"
#include "standin/text.h"

using namespace eiderreel;
using namespace eiderreel::standin;

namespace {

class ChainCancellation : public SeededTest {};

TEST_P(ChainCancellation, OfTheFirstJobCancelsAllDependents) {
  SimulatedCluster cluster(options_with_seed(GetParam()));
  std::map<std::string, int> resubmission_counts;
  cluster.at(5, [&] { submit_pipeline(cluster, 60); });
  cluster.at(20, [&] { cluster.cancel("run-1"); });
  for (double time_s : {20.0, 20.02, 20.1, 25.0})  // during and after the cancellation
    cluster.at(time_s, [&cluster, time_s] {
      const int n = 100 + static_cast<int>(time_s * 100) % 900;
      cluster.submit_after_prerequisites(
          with_prerequisites(cluster.job(job_id(n), "blue", 1), {"run-3"}));
    });
  cluster.at(35, [&] {
    for (int node = 0; node < 3; ++node)
      cluster.send_request(
          node, "POST", "/v1/jobs",
          submission_text(with_prerequisites(cluster.job("run-3", "gold", 4), {"run-2"})),
          [&](int status, std::string body) { resubmission_counts[body] += status == 200; });
  });
  cluster.run_until(60);
  expect_phase(cluster,
               {"run-1", "run-2", "run-3", job_id(100 + 200), job_id(100 + 202), job_id(100 + 210),
                job_id(100 + 700)},
               "cancelled");
  EXPECT_EQ(resubmission_counts[codec::job_status_body("run-3", {JobPhase::cancelled, 0, 0})], 3);
  EXPECT_EQ(cluster.count_keys("e/job/"), 0u);  // each job has its own final record
  EXPECT_EQ(cluster.count_keys("e/final/"), 7u);
  expect_rules_kept(cluster);
}

TEST_P(ChainCancellation, OfAMiddleJobLeavesItsPrerequisites) {
  SimulatedCluster cluster(options_with_seed(GetParam()));
  cluster.at(5, [&] { submit_pipeline(cluster, 10); });
  cluster.at(9, [&] { cluster.cancel("run-2"); });
  cluster.run_until(60);
  expect_phase(cluster, {"run-1"}, "done");
  expect_phase(cluster, {"run-2", "run-3"}, "cancelled");
  expect_rules_kept(cluster);
}

TEST_P(ChainCancellation, OfTheLastJobCancelsNothingElse) {
  SimulatedCluster cluster(options_with_seed(GetParam()));
  cluster.at(5, [&] { submit_pipeline(cluster, 5); });
  cluster.at(9, [&] { cluster.cancel("run-3"); });
  cluster.run_until(60);
  expect_phase(cluster, {"run-1", "run-2"}, "done");
  expect_phase(cluster, {"run-3"}, "cancelled");
  expect_rules_kept(cluster);
}

// A cancellation races with the completion of the same job. Whichever wins, all dependents must end
// in the same phase as that job.
TEST_P(ChainCancellation, RacingWithCompletionHasOneOutcomeForTheChain) {
  std::size_t done = 0, cancelled = 0;
  for (int offset = 0; offset < 24; ++offset) {
    SimulatedCluster cluster(
        options_with_seed(GetParam() * 100 + static_cast<std::uint64_t>(offset)));
    cluster.at(5, [&] { submit_pipeline(cluster, 5); });
    cluster.at(9.8 + 0.08 * offset, [&] { cluster.cancel("run-1"); });
    cluster.run_until(50);
    const std::string final_phase = cluster.phase("run-1");
    (final_phase == "done" ? done : cancelled) += 1;
    expect_phase(cluster, {"run-1", "run-2", "run-3"}, final_phase);
    expect_rules_kept(cluster, std::to_string(offset));
  }
  EXPECT_GT(done, 0u);
  EXPECT_GT(cancelled, 0u);
}

// The state store becomes unavailable, for longer than a cancellation may take, as soon as the
// cancellation of the first job is confirmed to the user. Leaders that act on votes of their peers
// during the outage must learn of the cancellation from those votes.
TEST_P(ChainCancellation, ReachesLeadersOfDependentsBeforeAnImmediateOutage) {
  Options options = options_with_seed(GetParam());
  options.cancel_s = 15;
  SimulatedCluster cluster(options);
  std::array<std::string, 3> polled_phases;
  cluster.at(5, [&] { submit_pipeline(cluster, 300); });
  cluster.at(20, [&] { cluster.cancel("run-1"); });
  auto await_confirmation = std::make_shared<std::function<void()>>();
  double outage_at = -1;
  *await_confirmation = [&cluster, &outage_at, &polled_phases, await_confirmation] {
    if (cluster.cancel_confirmation("run-1").node < 0)
      return cluster.at(cluster.now() + 0.002, *await_confirmation);
    outage_at = cluster.now();
    cluster.set_store_outage(true);
    cluster.at(cluster.now() + 12, [&cluster, &polled_phases] {
      for (int node = 0; node < 3; ++node)
        poll_phase(cluster, node, "run-3", polled_phases[static_cast<std::size_t>(node)]);
    });
    cluster.at(cluster.now() + 30, [&cluster] { cluster.set_store_outage(false); });
  };
  cluster.at(20.001, [await_confirmation] { (*await_confirmation)(); });
  cluster.run_until(100);
  ASSERT_GT(outage_at, 0);
  for (const auto& phase : polled_phases) EXPECT_EQ(phase, "cancelled");
  expect_phase(cluster, {"run-1", "run-2", "run-3"}, "cancelled");
  expect_rules_kept(cluster);
  *await_confirmation = [] {};
}

// As above, but the state store rejects the leader of the dependents before the outage begins: no
// controller can answer for its jobs until the state store is back.
TEST_P(ChainCancellation, SurvivesAnIsolatedLeaderOfDependentsAndAnOutage) {
  Options options = options_with_seed(GetParam());
  options.cancel_s = 15;
  SimulatedCluster cluster(options);
  int rejected_node = -1;
  cluster.at(5, [&] { submit_pipeline(cluster, 300); });
  cluster.at(19, [&] {
    rejected_node = cluster.leader_of(2);
    cluster.set_store_unavailable_to(rejected_node, true);
  });
  cluster.at(20, [&] { cluster.cancel("run-1"); });
  cluster.at(21, [&] { cluster.set_store_outage(true); });
  cluster.at(45, [&] {
    cluster.set_store_unavailable_to(rejected_node, false);
    cluster.set_store_outage(false);
  });
  for (double time_s = 20; time_s < 80; time_s += 0.5)
    cluster.at(time_s, [&cluster] {
      for (int node = 0; node < 3; ++node)
        cluster.poll_once(node, "run-3", [](int, std::string) {});
    });
  cluster.run_until(110);
  EXPECT_GE(cluster.cancel_confirmation("run-1").confirmed_at_s, 20);
  expect_phase(cluster, {"run-1", "run-2", "run-3"}, "cancelled");
  expect_rules_kept(cluster);
}

// The commit of a waiting job's cancellation is delayed, and its last prerequisite is done in the
// meantime. The job becomes ready, but it must be cancelled and none of its tasks may start.
TEST_P(ChainCancellation, WithUnknownCommitOutcomeStartsNothingWhenTheJobIsReady) {
  SimulatedCluster cluster(options_with_seed(GetParam()));
  cluster.at(5, [&] { submit_pipeline(cluster, 9); });
  cluster.at(13.9, [&] { cluster.set_commit_delays({1, 3, 3}); });
  cluster.at(14, [&] { cluster.cancel_at(cluster.leader_of(1), "run-2"); });
  cluster.at(14.2, [&] { cluster.set_commit_delays({}); });
  cluster.run_until(60);
  EXPECT_GE(cluster.commits_without_reply(), 1u);
  EXPECT_EQ(cluster.count_trace_lines("job ready job=run-2"), 1u);  // the race occurred
  EXPECT_EQ(cluster.count_trace_lines(" runs run-2/"), 0u);
  expect_phase(cluster, {"run-1"}, "done");
  expect_phase(cluster, {"run-2", "run-3"}, "cancelled");
  expect_rules_kept(cluster);
}

// A polled controller cannot reach the leader of a dependent, whose view of the state store is
// stale. The controller may report the dependent as cancelled only from its final record or from
// its leader's reply.
TEST_P(ChainCancellation, IsNotConfirmedForADependentWhoseLeaderIsUnreachable) {
  SimulatedCluster cluster(options_with_seed(GetParam()));
  std::map<std::string, int> reply_counts;
  cluster.at(5, [&] { submit_pipeline(cluster, 300); });
  cluster.at(18, [&] {
    cluster.partition_network({"n0"}, {"n2"}, NetworkPartitionMode::reset);
  });                                                                    // n2 leads run-3
  cluster.at(19.8, [&] { cluster.set_store_unavailable_to(2, true); });  // for less than its lease
  cluster.at(20, [&] { cluster.cancel_at(0, "run-1"); });
  for (double time_s = 19; time_s < 40; time_s += 0.02)
    cluster.at(time_s, [&] {
      for (int node : {0, 1, 2})
        cluster.poll_once(node, "run-3", [&](int status, const std::string& phase) {
          ++reply_counts[status == 200 ? phase : std::to_string(status)];
        });
    });
  cluster.at(23, [&] { cluster.set_store_unavailable_to(2, false); });
  cluster.at(45, [&] { cluster.heal_network(); });
  cluster.run_until(70);
  EXPECT_GT(reply_counts["queued"], 20);
  EXPECT_GT(reply_counts["cancelled"], 20);
  EXPECT_GT(reply_counts["503"], 5);
  expect_phase(cluster, {"run-1", "run-2", "run-3"}, "cancelled");
  expect_rules_kept(cluster);
}

INSTANTIATE_TEST_SUITE_P(Seeds, ChainCancellation, testing::Values(1, 2, 3), seed_name);

}  // namespace
