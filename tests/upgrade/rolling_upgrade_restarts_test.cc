// Controllers that are absent, paused or restarted with another build while the cluster version
// changes.
#include "upgrade/rolling_upgrade.h"

using namespace eiderreel;
using namespace eiderreel::standin;

namespace {

class RollingUpgradeRestarts : public RollingUpgrade {};

TEST_P(RollingUpgradeRestarts, AbsentControllerBlocksAStepUnlessExcluded) {
  UpgradeCluster cluster(seeded_options());
  submit_arrays(cluster, {5, 50});
  cluster.at(10, [&] { cluster.crash(2, 30); });
  cluster.request_step_at(20, 0, Action::advance);
  cluster.at(21, [&] {
    EXPECT_EQ(cluster.cluster_version(), 1u);
    ASSERT_EQ(cluster.replies().size(), 1u);
    EXPECT_EQ(cluster.replies().back().status, 409);
    EXPECT_TRUE(cluster.replies().back().has("\"controller\":\"n2\""));
  });
  cluster.request_step_at(22, 0, Action::advance, {"n2"});
  cluster.request_step_at(28, 0, Action::advance, {"n1"});  // refused: n1 is running
  cluster.run_until(30);
  EXPECT_EQ(cluster.cluster_version(), 2u);
  EXPECT_TRUE(cluster.replies().back().has("is running"));
  cluster.run_until(120);
  EXPECT_EQ(cluster.acting(2), 2u) << "after its restart, n2 acts under the version of the others";
  expect_arrays_ended_and_rules_kept(cluster, {5, 50});
}

// The commit of a controller's node record, which names version 1, is delayed while the cluster
// takes two steps without that controller.
TEST_P(RollingUpgradeRestarts, LateNodeRecordNamesNoSupersededVersion) {
  UpgradeCluster cluster(seeded_options());
  submit_arrays(cluster, {5, 50});
  cluster.at(10, [&] { cluster.crash(1, 12); });
  cluster.at(22, [&] {
    cluster.set_commit_delays({1, 2.2, 2.4});
  });  // delays the writes of the other controllers too
  cluster.at(22.3, [&] { cluster.set_commit_delays({}); });
  cluster.request_step_at(22.5, 0, Action::advance, {"n1"});
  cluster.request_step_at(23.2, 0, Action::advance, {"n1"});
  cluster.run_until(23.6);
  EXPECT_EQ(cluster.cluster_version(), 3u) << cluster.replies().back().body;
  EXPECT_EQ(cluster.acting(1), 0u) << "the record must not be committed yet";
  cluster.run_until(110);
  EXPECT_EQ(cluster.acting(1), 3u);
  expect_arrays_ended_and_rules_kept(cluster, {5, 50});
}

// A controller pauses for longer than its lease with writes pending. The cluster takes two steps
// without it; then it resumes and sends those writes.
TEST_P(RollingUpgradeRestarts, PausedControllerWritesNothingUnderASupersededVersion) {
  UpgradeCluster cluster(seeded_options());
  submit_arrays(cluster, {2, 60, 1});
  const double freeze_at_s = 20 + 0.137 * static_cast<double>(GetParam());
  cluster.at(freeze_at_s - 3, [&] { cluster.set_commit_delays({0.3, 2, 30}); });
  cluster.at(freeze_at_s, [&] {
    cluster.set_commit_delays({});
    cluster.freeze(1, 25);
  });
  cluster.request_step_at(freeze_at_s + 8, 0, Action::advance, {"n1"});
  cluster.request_step_at(freeze_at_s + 14, 0, Action::advance, {"n1"});
  cluster.run_until(freeze_at_s + 22);
  EXPECT_EQ(cluster.cluster_version(), 3u);
  cluster.run_until(150);
  EXPECT_EQ(cluster.acting(1), 3u);
  expect_arrays_ended_and_rules_kept(cluster, {2, 60, 1});
}

TEST_P(RollingUpgradeRestarts, RestartWithAnOlderBuildStandsBy) {
  for (const auto version : {ClusterVersion::write_compact, ClusterVersion::convert}) {
    UpgradeCluster cluster(seeded_options());
    submit_arrays(cluster, {5, 60});
    cluster.advance_to(10, version);
    cluster.at(30, [&] { cluster.install_build(1, ClusterVersion::base, 2); });
    cluster.run_until(45);
    EXPECT_EQ(cluster.acting(1), 0u);
    EXPECT_NE(cluster.leader_of(1), 1) << "another controller must take over the partition";
    EXPECT_NE(cluster.leader_of(1), -1);
    OperatorReply ready, status;
    cluster.send_request(1, "GET", "/ready", "", [&](int code, std::string body) {
      ready = {code, std::move(body)};
    });
    cluster.send_request(1, "GET", "/status", "", [&](int code, std::string body) {
      status = {code, std::move(body)};
    });
    cluster.run_until(46);
    EXPECT_EQ(ready.status, 503);
    EXPECT_TRUE(status.has("this build knows 1 to 1")) << status.body;
    cluster.run_until(70);
    cluster.request_step(0, Action::abort);
    cluster.run_until(76);
    if (version == ClusterVersion::convert) cluster.request_step(0, Action::abort);
    cluster.run_until(150);
    EXPECT_EQ(cluster.cluster_version(), 1u);
    EXPECT_EQ(cluster.acting(1), 1u) << "n1 must act again";
    EXPECT_EQ(cluster.leader_of(1), 1);
    expect_arrays_ended_and_rules_kept(cluster, {5, 60});
  }
}

TEST_P(RollingUpgradeRestarts, RestartWithAnOlderBuildAfterTheFinalStepStandsByPermanently) {
  UpgradeCluster cluster(seeded_options());
  submit_arrays(cluster, {5, 60});
  cluster.advance_to(10, ClusterVersion::compact_only);
  cluster.at(35, [&] { cluster.install_build(1, ClusterVersion::convert, 2); });
  cluster.run_until(60);
  EXPECT_EQ(cluster.cluster_version(), 4u);
  EXPECT_EQ(cluster.acting(1), 0u);
  cluster.install_build(1, upgrade::kNewestVersion, 2);
  cluster.run_until(140);
  EXPECT_EQ(cluster.acting(1), 4u);
  expect_arrays_ended_and_rules_kept(cluster, {5, 60});
}

// The commit of a step compares the node records, so it fails when one was replaced in the
// meantime.
TEST_P(RollingUpgradeRestarts, RestartWithAnOlderBuildDuringAStepBlocksItOrStandsBy) {
  for (const double offset : {-0.3, -0.05, -0.01, 0.0, 0.004, 0.01, 0.05}) {
    UpgradeCluster cluster(seeded_options());
    submit_arrays(cluster, {5, 30});
    cluster.request_step_at(10, 0, Action::advance);
    cluster.at(18, [&] { cluster.set_max_store_latency(0.4); });
    cluster.request_step_at(20, 0, Action::advance);
    cluster.at(20 + offset, [&] { cluster.install_build(2, ClusterVersion::base, 0.05); });
    cluster.at(24, [&] { cluster.set_max_store_latency(0); });
    cluster.run_until(90);
    EXPECT_EQ(cluster.acting(2), 0u) << "the older build cannot act under version 2 either";
    expect_arrays_ended_and_rules_kept(cluster, {5, 30}, std::to_string(offset));
  }
}

// Builds that predate cluster versions: a step is refused while such a controller is known to run,
// and one that is restarted after the step does no harm to jobs.
TEST_P(RollingUpgradeRestarts, UnversionedBuildsBlockSteps) {
  Options options = seeded_options();
  options.old_build_nodes = {0, 1, 2};
  UpgradeCluster cluster(options);
  submit_arrays(cluster, {5, 60});
  cluster.at(12, [&] { cluster.upgrade(0, 1); });
  cluster.at(20, [&] { cluster.upgrade(1, 1); });
  cluster.request_step_at(26, 0, Action::advance);
  cluster.at(27, [&] {
    ASSERT_EQ(cluster.replies().size(), 1u);
    EXPECT_TRUE(cluster.replies()[0].has("from before cluster versions"));
    EXPECT_EQ(cluster.cluster_version(), 1u);
  });
  cluster.at(30, [&] { cluster.upgrade(2, 1); });
  cluster.advance_to(38, ClusterVersion::convert);
  cluster.at(52, [&] { cluster.downgrade(2, 1); });  // not permitted once a step has been taken
  cluster.run_until(70);
  cluster.request_step(0, Action::finalize);
  cluster.at(75, [&] { cluster.upgrade(2, 1); });
  cluster.run_until(150);
  EXPECT_EQ(cluster.replies().back().status, 409);
  expect_arrays_ended_and_rules_kept(cluster, {5, 60});
}

INSTANTIATE_TEST_SUITE_P(Seeds, RollingUpgradeRestarts, testing::Values(1, 2, 3), seed_name);

}  // namespace
