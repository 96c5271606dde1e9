// Steps of the cluster version forward and back while jobs run, requested by operators or taken
// automatically.
#include "upgrade/rolling_upgrade.h"

using namespace eiderreel;
using namespace eiderreel::standin;

namespace {

TEST_P(RollingUpgrade, AdvancesStepByStepUnderLoadUntilFinal) {
  UpgradeCluster cluster(seeded_options());
  submit_arrays(cluster, {5, 70});
  cluster.advance_to(20, ClusterVersion::convert);
  cluster.request_step_at(60, 1, Action::finalize);
  cluster.run_until(62);
  EXPECT_EQ(cluster.cluster_version(), 4u) << cluster.replies().back().body;
  EXPECT_EQ(cluster.progress_values_in_bits(), 0u);
  cluster.run_until(140);
  for (int node = 0; node < 3; ++node) EXPECT_EQ(cluster.acting(node), 4u);
  EXPECT_GT(cluster.version_checker().progress_writes(false), 0u);
  EXPECT_GT(cluster.version_checker().progress_writes(true), 0u);
  expect_arrays_ended_and_rules_kept(cluster, {5, 70});
}

TEST_P(RollingUpgrade, FinalStepCannotBeAborted) {
  UpgradeCluster cluster(seeded_options());
  submit_arrays(cluster, {5, 30});
  cluster.advance_to(10, ClusterVersion::compact_only);
  cluster.request_step_at(60, 0, Action::abort);
  cluster.run_until(100);
  EXPECT_EQ(cluster.cluster_version(), 4u);
  EXPECT_EQ(cluster.replies().back().status, 409);
  EXPECT_TRUE(cluster.replies().back().has("is final"));
  expect_rules_kept(cluster);
}

TEST_P(RollingUpgrade, StepIsRejectedUntilThePreviousOneIsAcknowledged) {
  UpgradeCluster cluster(seeded_options());
  submit_arrays(cluster, {5, 30});
  cluster.request_step_at(10, 0, Action::advance);
  cluster.request_step_at(10.02, 0, Action::advance);  // too early for any acknowledgement
  cluster.run_until(60);
  ASSERT_EQ(cluster.replies().size(), 2u);
  EXPECT_EQ(cluster.replies_with(200), 1u);
  EXPECT_EQ(cluster.replies_with(409), 1u);
  EXPECT_EQ(cluster.cluster_version(), 2u);
  expect_rules_kept(cluster);
}

// The upgrade is aborted at each version; builds that predate cluster versions then continue all
// jobs.
TEST_P(RollingUpgrade, RollsBackFromEachStepToEarlierBuilds) {
  for (const auto top : {ClusterVersion::write_compact, ClusterVersion::convert}) {
    UpgradeCluster cluster(seeded_options());
    submit_arrays(cluster, {5, 60});
    cluster.advance_to(12, top);
    double time_s = 30;
    for (std::uint32_t v = upgrade::number(top); v > 1; --v, time_s += 6)
      cluster.request_step_at(time_s, 2, Action::abort);
    cluster.run_until(58);
    EXPECT_EQ(cluster.cluster_version(), 1u);
    EXPECT_EQ(cluster.progress_values_containing("\"form\":2"), 0u)
        << "no value may stay in the compact form";
    for (int node = 0; node < 3; ++node)
      cluster.at(60 + 5 * node, [&cluster, node] { cluster.downgrade(node, 1); });
    cluster.run_until(150);
    expect_arrays_ended_and_rules_kept(cluster, {5, 60});
  }
}

TEST_P(RollingUpgrade, AbortsDuringAStep) {
  UpgradeCluster cluster(seeded_options());
  submit_arrays(cluster, {5, 40});
  cluster.request_step_at(10, 0, Action::advance);
  cluster.at(15, [&] { cluster.freeze(1, 3); });  // shorter than its lease, so it acknowledges late
  cluster.request_step_at(15.2, 0, Action::advance);
  cluster.request_step_at(16, 2, Action::abort);
  cluster.run_until(110);
  ASSERT_EQ(cluster.replies().size(), 3u);
  EXPECT_EQ(cluster.replies_with(200), 3u);
  EXPECT_EQ(cluster.cluster_version(), 2u);
  expect_arrays_ended_and_rules_kept(cluster, {5, 40});
}

TEST_P(RollingUpgrade, ConcurrentOppositeStepsAreSerialized) {
  UpgradeCluster cluster(seeded_options());
  submit_arrays(cluster, {5, 40});
  cluster.advance_to(10, ClusterVersion::write_compact);
  cluster.at(20, [&] {
    cluster.request_step(0, Action::advance);
    cluster.request_step(1, Action::abort);
  });
  cluster.run_until(100);
  ASSERT_EQ(cluster.replies().size(), 3u);
  EXPECT_EQ(cluster.replies_with(200), 2u) << "the first step and one of the two concurrent ones";
  EXPECT_EQ(cluster.version_checker().versions().size(), 3u);
  expect_arrays_ended_and_rules_kept(cluster, {5, 40});
}

TEST_P(RollingUpgrade, VersionAboveTheBuildPreventsAnyClaim) {
  UpgradeCluster cluster(seeded_options());
  cluster.put_stored_value("e/upgrade/version",
                           R"({"n":"x.y.1","version":9,"from":8,"at_ms":1,"who":"a"})");
  cluster.run_until(30);
  EXPECT_EQ(cluster.count_keys("e/part/"), 0u);
  EXPECT_EQ(cluster.count_keys("e/node/"), 0u);
  EXPECT_EQ(cluster.commits(), 0u);
  EXPECT_GT(cluster.count_trace_lines("controller in standby, claims no partition node="), 0u);
}

TEST_P(RollingUpgrade, UnreadableVersionStopsOnlyRestartedControllers) {
  UpgradeCluster cluster(seeded_options());
  submit_arrays(cluster, {5, 40});
  cluster.at(20, [&] { cluster.put_stored_value("e/upgrade/version", R"({"version":"two"})"); });
  cluster.at(25, [&] { cluster.crash(2, 1); });
  cluster.request_step_at(30, 0, Action::advance);
  cluster.run_until(60);
  EXPECT_EQ(cluster.acting(0), 1u);
  EXPECT_EQ(cluster.acting(2), 0u);
  EXPECT_EQ(cluster.replies().back().status, 409);
  EXPECT_TRUE(cluster.replies().back().has("cannot be read"));
  cluster.run_until(100);
  expect_arrays_ended_and_rules_kept(cluster, {5, 40});
}

TEST_P(RollingUpgrade, HistoryRecordsEveryRequest) {
  UpgradeCluster cluster(seeded_options());
  cluster.request_step_at(10, 0, Action::advance);
  cluster.request_step_at(15, 1, Action::finalize);
  cluster.request_step_at(20, 2, Action::abort);
  OperatorReply history;
  cluster.at(25, [&] {
    cluster.send_request(1, "GET", "/upgrade/history", "", [&](int code, std::string body) {
      history = {code, std::move(body)};
    });
  });
  cluster.run_until(30);
  rapidjson::Document document;
  document.Parse(history.body.c_str());
  ASSERT_EQ(history.status, 200);
  const auto& rows = document["history"];
  ASSERT_EQ(rows.Size(), 3u);
  const std::array<const char*, 3> actions = {"advance", "finalize", "abort"};
  const std::array<const char*, 3> outcomes = {"taken", "refused", "taken"};
  for (rapidjson::SizeType i = 0; i < 3; ++i) {
    EXPECT_STREQ(rows[i]["action"].GetString(), actions[i]);
    EXPECT_STREQ(rows[i]["outcome"].GetString(), outcomes[i]);
    EXPECT_STREQ(rows[i]["who"].GetString(), "ops1");
    EXPECT_STREQ(rows[i]["reason"].GetString(), "a test");
  }
}

TEST_P(RollingUpgrade, AutomaticStepsAreTakenOnlyWithinAWindow) {
  Options options = seeded_options();
  options.upgrades->automatic = true;
  // The simulated clock starts on Thursday, 1970-01-01, at 00:16:40 UTC.
  upgrade::MaintenanceWindow window;
  window.days[4] = true;
  window.from = *upgrade::parse_time_of_day("00:18");
  window.to = *upgrade::parse_time_of_day("00:20");
  options.upgrades->windows = upgrade::MaintenanceWindows("Etc/UTC", {window});
  UpgradeCluster cluster(options);
  submit_arrays(cluster, {5, 60});
  cluster.run_until(79);
  EXPECT_EQ(cluster.cluster_version(), 1u);
  cluster.run_until(190);
  EXPECT_EQ(cluster.cluster_version(), 3u) << "the final step is never automatic";
  expect_arrays_ended_and_rules_kept(cluster, {5, 60});
}

INSTANTIATE_TEST_SUITE_P(Seeds, RollingUpgrade, testing::Values(1, 2, 3), seed_name);

}  // namespace
