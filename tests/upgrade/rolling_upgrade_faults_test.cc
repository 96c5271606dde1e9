// Faults of controllers and of the state store at every point of a version step.
#include "upgrade/rolling_upgrade.h"

using namespace eiderreel;
using namespace eiderreel::standin;

namespace {

class RollingUpgradeFaults : public RollingUpgrade {};

// The controller that drives a step is killed, or pauses for longer than its lease, at many points
// of the step: before the commit is sent, between the commit and its reply, and after the reply.
TEST_P(RollingUpgradeFaults, CoordinatorFailsAtEveryPointOfAStep) {
  for (const bool frozen : {false, true}) {
    for (int ms = 0; ms <= 24; ms += 3) {
      UpgradeCluster cluster(seeded_options());
      submit_arrays(cluster, {5, 30});
      cluster.at(15, [&] { cluster.request_step(0, Action::advance, {}, "the-step"); });
      cluster.at(15 + ms / 1000.0, [&] {
        if (frozen)
          cluster.freeze(0, 9);
        else
          cluster.crash(0, 3);
      });
      // The same request sent to another controller finds the step that it has already taken.
      std::uint64_t version_at_17_s = 0;
      cluster.at(17, [&] { version_at_17_s = cluster.cluster_version(); });
      cluster.at(40, [&] { cluster.request_step(1, Action::advance, {}, "the-step"); });
      cluster.run_until(90);
      EXPECT_EQ(cluster.cluster_version(), 2u) << ms;
      EXPECT_EQ(cluster.reply_to("the-step").status, 200)
          << ms << " landed at first: " << version_at_17_s;
      expect_arrays_ended_and_rules_kept(cluster, {5, 30}, std::to_string(ms));
    }
  }
}

TEST_P(RollingUpgradeFaults, FollowerFailsAtEveryPointOfAStep) {
  for (const bool frozen : {false, true}) {
    for (int ms = 0; ms <= 240; ms += 40) {
      UpgradeCluster cluster(seeded_options());
      submit_arrays(cluster, {5, 40});
      cluster.advance_to(10, ClusterVersion::write_compact);
      cluster.request_step_at(18, 0, Action::advance);
      cluster.at(18 + ms / 1000.0, [&] {
        if (frozen)
          cluster.freeze(1, 9);
        else
          cluster.crash(1, 0.5);
      });
      cluster.run_until(110);
      EXPECT_EQ(cluster.cluster_version(), 3u) << ms;
      EXPECT_EQ(cluster.acting(1), 3u) << ms;
      expect_arrays_ended_and_rules_kept(cluster, {5, 40}, std::to_string(ms));
    }
  }
}

TEST_P(RollingUpgradeFaults, StateStoreRejectsOneControllerDuringAStep) {
  for (int rejected_node = 0; rejected_node < 2; ++rejected_node) {
    UpgradeCluster cluster(seeded_options());
    submit_arrays(cluster, {5, 50});
    cluster.advance_to(10, ClusterVersion::write_compact);
    cluster.at(19.99, [&] { cluster.set_store_unavailable_to(rejected_node, true); });
    cluster.request_step_at(20, 0, Action::advance);
    cluster.at(35, [&] { cluster.set_store_unavailable_to(rejected_node, false); });
    cluster.request_step_at(50, 0, Action::advance);
    cluster.run_until(120);
    ASSERT_GE(cluster.replies().size(), 2u);
    EXPECT_EQ(cluster.replies()[1].status, rejected_node == 0 ? 503 : 200);
    EXPECT_EQ(cluster.cluster_version(), 3u);
    EXPECT_EQ(cluster.acting(rejected_node), 3u);
    expect_arrays_ended_and_rules_kept(cluster, {5, 50});
  }
}

TEST_P(RollingUpgradeFaults, StateStoreOutageDuringAStep) {
  UpgradeCluster cluster(seeded_options());
  submit_arrays(cluster, {5, 50});
  cluster.advance_to(10, ClusterVersion::write_compact);
  cluster.request_step_at(19.995, 0, Action::advance);
  cluster.at(20, [&] { cluster.set_store_outage(true); });
  cluster.at(32, [&] { cluster.set_store_outage(false); });
  double reply_received = 0;
  cluster.at(30, [&] { reply_received = cluster.replies().size() == 2 ? 1 : 0; });
  cluster.run_until(40);
  EXPECT_EQ(reply_received, 1) << "the operator must get a reply within a bounded time";
  if (cluster.cluster_version() == 2) cluster.request_step(1, Action::advance);
  cluster.run_until(120);
  EXPECT_EQ(cluster.cluster_version(), 3u);
  expect_arrays_ended_and_rules_kept(cluster, {5, 50});
}

// The commit of the step gets no reply and is applied seconds later, or never. The reply to the
// operator reports an unknown outcome; the stored version shows later whether the step was taken.
TEST_P(RollingUpgradeFaults, StepWithUnknownOutcomeIsNotRepeatedBlindly) {
  UpgradeCluster cluster(seeded_options());
  submit_arrays(cluster, {5, 50});
  cluster.at(19.9, [&] { cluster.set_commit_delays({1, 2, 12}); });
  cluster.at(20, [&] { cluster.request_step(0, Action::advance, {}, "late"); });
  OperatorReply status;
  cluster.at(30, [&] {
    EXPECT_EQ(cluster.reply_to("late").status, 504);
    EXPECT_TRUE(cluster.reply_to("late").has("\"outcome\":\"unknown\""));
    cluster.set_commit_delays({});
    cluster.send_request(0, "GET", "/upgrade/status", "", [&](int code, std::string body) {
      status = {code, std::move(body)};
    });
  });
  cluster.run_until(50);
  EXPECT_EQ(cluster.cluster_version(), 2u);
  EXPECT_TRUE(status.has("\"step_in_doubt\":\"late\"") || status.has("\"last_request\":\"late\""));
  EXPECT_EQ(cluster.version_checker().versions(), (std::vector<std::uint64_t>{1, 2}))
      << "the step must be committed once";
  cluster.run_until(120);
  expect_arrays_ended_and_rules_kept(cluster, {5, 50});
}

// The state store applies commits late while the cluster version is stepped up and down.
TEST_P(RollingUpgradeFaults, DelayedCommitsLandUnderLaterVersions) {
  UpgradeCluster cluster(seeded_options());
  submit_arrays(cluster, {5, 80, 1.5});
  cluster.at(8, [&] { cluster.set_commit_delays({0.25, 2, 12}); });
  for (int n = 0; n < 14; ++n)
    cluster.request_step_at(12 + 5.0 * n, n % 3, n % 4 < 2 ? Action::advance : Action::abort);
  cluster.at(85, [&] { cluster.set_commit_delays({}); });
  cluster.run_until(190);
  EXPECT_GT(cluster.delayed_commits(), 0u);
  EXPECT_GT(cluster.version_checker().versions().size(), 4u);
  expect_arrays_ended_and_rules_kept(cluster, {5, 80, 1.5});
}

INSTANTIATE_TEST_SUITE_P(Seeds, RollingUpgradeFaults, testing::Values(1, 2, 3), seed_name);

}  // namespace
