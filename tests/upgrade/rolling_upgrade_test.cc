// Steps of the cluster version while jobs run and controllers fail, in the simulated cluster. On
// every day the version checker looks at each transaction that lands; see
// standin/version_checker.h.
#include "upgrade/upgrade_cluster.h"

using namespace eiderreel;
using namespace eiderreel::standin;

namespace {

using Seeds = testing::TestWithParam<std::uint64_t>;

class RollingUpgrade : public Seeds {
 protected:
  Options seeded_options() const { return upgrade_options(GetParam()); }
};

// ------------------------------------------------------------------------------ the whole way

TEST_P(RollingUpgrade, AdvancesStepByStepUnderLoadUntilFinal) {
  UpgradeCluster cluster(seeded_options());
  submit_arrays(cluster, 5, 70);
  cluster.advance_to(20, ClusterVersion::convert);
  cluster.ask(60, 1, Action::finalize);
  cluster.run_until(62);
  EXPECT_EQ(cluster.cluster_version(), 4u) << cluster.replies().back().body;
  EXPECT_EQ(cluster.progress_in_bits(), 0u);
  cluster.run_until(140);
  for (int node = 0; node < 3; ++node) EXPECT_EQ(cluster.acting(node), 4u);
  EXPECT_GT(cluster.versions().progress_written(false), 0u);
  EXPECT_GT(cluster.versions().progress_written(true), 0u);
  expect_arrays_ended(cluster, 5, 70);
  expect_rules_kept(cluster);
}

TEST_P(RollingUpgrade, FinalStepCannotBeAborted) {
  UpgradeCluster cluster(seeded_options());
  submit_arrays(cluster, 5, 30);
  cluster.advance_to(10, ClusterVersion::compact_only);
  cluster.ask(60, 0, Action::abort);
  cluster.run_until(100);
  EXPECT_EQ(cluster.cluster_version(), 4u);
  EXPECT_EQ(cluster.replies().back().status, 409);
  EXPECT_TRUE(cluster.replies().back().has("is final"));
  expect_rules_kept(cluster);
}

TEST_P(RollingUpgrade, StepIsRejectedUntilThePreviousOneIsAcknowledged) {
  UpgradeCluster cluster(seeded_options());
  submit_arrays(cluster, 5, 30);
  cluster.ask(10, 0, Action::advance);
  cluster.ask(10.02, 0, Action::advance);  // none can have acknowledged by now
  cluster.run_until(60);
  ASSERT_EQ(cluster.replies().size(), 2u);
  EXPECT_EQ(cluster.replies_with(200), 1u);
  EXPECT_EQ(cluster.replies_with(409), 1u);
  EXPECT_EQ(cluster.cluster_version(), 2u);
  expect_rules_kept(cluster);
}

// Abandoned at each step; the builds from before cluster versions then go on with all jobs.
TEST_P(RollingUpgrade, RollsBackFromEachStepToEarlierBuilds) {
  for (const auto top : {ClusterVersion::write_compact, ClusterVersion::convert}) {
    UpgradeCluster cluster(seeded_options());
    submit_arrays(cluster, 5, 60);
    cluster.advance_to(12, top);
    double time_s = 30;
    for (std::uint32_t v = upgrade::number(top); v > 1; --v, time_s += 6)
      cluster.ask(time_s, 2, Action::abort);
    cluster.run_until(58);
    EXPECT_EQ(cluster.cluster_version(), 1u);
    EXPECT_EQ(cluster.progress_with("\"form\":2"), 0u) << "left in the compact form";
    for (int node = 0; node < 3; ++node)
      cluster.at(60 + 5 * node, [&cluster, node] { cluster.downgrade(node, 1); });
    cluster.run_until(150);
    expect_arrays_ended(cluster, 5, 60);
    expect_rules_kept(cluster);
  }
}

TEST_P(RollingUpgrade, AbortsDuringAStep) {
  UpgradeCluster cluster(seeded_options());
  submit_arrays(cluster, 5, 40);
  cluster.ask(10, 0, Action::advance);
  cluster.at(15, [&] { cluster.freeze(1, 3); });  // within its lease, so it acknowledges late
  cluster.ask(15.2, 0, Action::advance);
  cluster.ask(16, 2, Action::abort);
  cluster.run_until(110);
  ASSERT_EQ(cluster.replies().size(), 3u);
  EXPECT_EQ(cluster.replies_with(200), 3u);
  EXPECT_EQ(cluster.cluster_version(), 2u);
  expect_arrays_ended(cluster, 5, 40);
  expect_rules_kept(cluster);
}

// ------------------------------------------------------------------- controllers that are away

TEST_P(RollingUpgrade, AbsentControllerBlocksAStepUnlessExcluded) {
  UpgradeCluster cluster(seeded_options());
  submit_arrays(cluster, 5, 50);
  cluster.at(10, [&] { cluster.crash(2, 30); });
  cluster.ask(20, 0, Action::advance);
  cluster.at(21, [&] {
    EXPECT_EQ(cluster.cluster_version(), 1u);
    ASSERT_EQ(cluster.replies().size(), 1u);
    EXPECT_EQ(cluster.replies().back().status, 409);
    EXPECT_TRUE(cluster.replies().back().has("\"controller\":\"n2\""));
  });
  cluster.ask(22, 0, Action::advance, {"n2"});
  cluster.ask(28, 0, Action::advance, {"n1"});  // it runs, so it cannot be left out
  cluster.run_until(30);
  EXPECT_EQ(cluster.cluster_version(), 2u);
  EXPECT_TRUE(cluster.replies().back().has("is running"));
  cluster.run_until(120);
  EXPECT_EQ(cluster.acting(2), 2u) << "it is back, under the version of the others";
  expect_arrays_ended(cluster, 5, 50);
  expect_rules_kept(cluster);
}

// Its record is on its way, naming version 1, while the cluster goes on by two steps without it.
TEST_P(RollingUpgrade, LateNodeRecordNamesNoSupersededVersion) {
  UpgradeCluster cluster(seeded_options());
  submit_arrays(cluster, 5, 50);
  cluster.at(10, [&] { cluster.crash(1, 12); });
  cluster.at(22, [&] {
    cluster.late_writes({1, 2.2, 2.4});
  });  // those of the others too, for a moment
  cluster.at(22.3, [&] { cluster.late_writes({}); });
  cluster.ask(22.5, 0, Action::advance, {"n1"});
  cluster.ask(23.2, 0, Action::advance, {"n1"});
  cluster.run_until(23.6);
  EXPECT_EQ(cluster.cluster_version(), 3u) << cluster.replies().back().body;
  EXPECT_EQ(cluster.acting(1), 0u) << "its record has not landed yet";
  cluster.run_until(110);
  EXPECT_EQ(cluster.acting(1), 3u);
  expect_arrays_ended(cluster, 5, 50);
  expect_rules_kept(cluster);
}

// It pauses for longer than its lease, the cluster goes on without it by two steps, and then
// it wakes up with what it was about to write.
TEST_P(RollingUpgrade, PausedControllerWritesNothingUnderASupersededVersion) {
  UpgradeCluster cluster(seeded_options());
  submit_arrays(cluster, 2, 60, 1);
  const double frozen_at = 20 + 0.137 * static_cast<double>(GetParam());
  cluster.at(frozen_at - 3, [&] { cluster.late_writes({0.3, 2, 30}); });
  cluster.at(frozen_at, [&] {
    cluster.late_writes({});
    cluster.freeze(1, 25);
  });
  cluster.ask(frozen_at + 8, 0, Action::advance, {"n1"});
  cluster.ask(frozen_at + 14, 0, Action::advance, {"n1"});
  cluster.run_until(frozen_at + 22);
  EXPECT_EQ(cluster.cluster_version(), 3u);
  cluster.run_until(150);
  EXPECT_EQ(cluster.acting(1), 3u);
  expect_arrays_ended(cluster, 2, 60, 1);
  expect_rules_kept(cluster);
}

TEST_P(RollingUpgrade, RestartWithAnOlderBuildStandsBy) {
  for (const auto version : {ClusterVersion::write_compact, ClusterVersion::convert}) {
    UpgradeCluster cluster(seeded_options());
    submit_arrays(cluster, 5, 60);
    cluster.advance_to(10, version);
    cluster.at(30, [&] { cluster.install(1, ClusterVersion::base, 2); });
    cluster.run_until(45);
    EXPECT_EQ(cluster.acting(1), 0u);
    EXPECT_NE(cluster.leader_of(1), 1) << "its partition goes to another";
    EXPECT_NE(cluster.leader_of(1), -1);
    OperatorReply ready, status;
    cluster.raw(1, "GET", "/ready", "", [&](int code, std::string body) {
      ready = {code, std::move(body)};
    });
    cluster.raw(1, "GET", "/status", "", [&](int code, std::string body) {
      status = {code, std::move(body)};
    });
    cluster.run_until(46);
    EXPECT_EQ(ready.status, 503);
    EXPECT_TRUE(status.has("this build knows 1 to 1")) << status.body;
    cluster.run_until(70);
    cluster.ask_now(0, Action::abort);
    cluster.run_until(76);
    if (version == ClusterVersion::convert) cluster.ask_now(0, Action::abort);
    cluster.run_until(150);
    EXPECT_EQ(cluster.cluster_version(), 1u);
    EXPECT_EQ(cluster.acting(1), 1u) << "it acts again";
    EXPECT_EQ(cluster.leader_of(1), 1);
    expect_arrays_ended(cluster, 5, 60);
    expect_rules_kept(cluster);
  }
}

TEST_P(RollingUpgrade, RestartWithAnOlderBuildAfterTheFinalStepStandsByForGood) {
  UpgradeCluster cluster(seeded_options());
  submit_arrays(cluster, 5, 60);
  cluster.advance_to(10, ClusterVersion::compact_only);
  cluster.at(35, [&] { cluster.install(1, ClusterVersion::convert, 2); });
  cluster.run_until(60);
  EXPECT_EQ(cluster.cluster_version(), 4u);
  EXPECT_EQ(cluster.acting(1), 0u);
  cluster.install(1, upgrade::kNewestVersion, 2);
  cluster.run_until(140);
  EXPECT_EQ(cluster.acting(1), 4u);
  expect_arrays_ended(cluster, 5, 60);
  expect_rules_kept(cluster);
}

// The commit of the step compares the records, so one that was replaced meanwhile stops it.
TEST_P(RollingUpgrade, RestartWithAnOlderBuildDuringAStepBlocksItOrStandsBy) {
  for (const double offset : {-0.3, -0.05, -0.01, 0.0, 0.004, 0.01, 0.05}) {
    UpgradeCluster cluster(seeded_options());
    submit_arrays(cluster, 5, 30);
    cluster.ask(10, 0, Action::advance);
    cluster.at(18, [&] { cluster.state_slow(0.4); });
    cluster.ask(20, 0, Action::advance);
    cluster.at(20 + offset, [&] { cluster.install(2, ClusterVersion::base, 0.05); });
    cluster.at(24, [&] { cluster.state_slow(0); });
    cluster.run_until(90);
    EXPECT_EQ(cluster.acting(2), 0u) << "it cannot act under version 2 either";
    expect_arrays_ended(cluster, 5, 30);
    expect_rules_kept(cluster, std::to_string(offset));
  }
}

// A build from before cluster versions knows nothing of them: a step is refused while one is known,
// and where one comes back later it does no harm to jobs.
TEST_P(RollingUpgrade, UnversionedBuildsBlockSteps) {
  Options options = seeded_options();
  options.old_nodes = {0, 1, 2};
  UpgradeCluster cluster(options);
  submit_arrays(cluster, 5, 60);
  cluster.at(12, [&] { cluster.upgrade(0, 1); });
  cluster.at(20, [&] { cluster.upgrade(1, 1); });
  cluster.ask(26, 0, Action::advance);
  cluster.at(27, [&] {
    ASSERT_EQ(cluster.replies().size(), 1u);
    EXPECT_TRUE(cluster.replies()[0].has("from before cluster versions"));
    EXPECT_EQ(cluster.cluster_version(), 1u);
  });
  cluster.at(30, [&] { cluster.upgrade(2, 1); });
  cluster.advance_to(38, ClusterVersion::convert);
  cluster.at(52, [&] { cluster.downgrade(2, 1); });  // against the rules of an upgrade
  cluster.run_until(70);
  cluster.ask_now(0, Action::finalize);
  cluster.at(75, [&] { cluster.upgrade(2, 1); });
  cluster.run_until(150);
  EXPECT_EQ(cluster.replies().back().status, 409);
  expect_arrays_ended(cluster, 5, 60);
  expect_rules_kept(cluster);
}

// ------------------------------------------------------------------------------ faults in a step

// The controller that drives a step is killed, or pauses beyond its lease, at many moments of
// it: before the commit is sent, between the commit and its answer, and after.
TEST_P(RollingUpgrade, CoordinatorFailsAtEveryPointOfAStep) {
  for (const bool frozen : {false, true}) {
    for (int ms = 0; ms <= 24; ms += 3) {
      UpgradeCluster cluster(seeded_options());
      submit_arrays(cluster, 5, 30);
      cluster.at(15, [&] { cluster.ask_now(0, Action::advance, {}, "the-step"); });
      cluster.at(15 + ms / 1000.0, [&] {
        if (frozen)
          cluster.freeze(0, 9);
        else
          cluster.crash(0, 3);
      });
      // Another controller tells what came of it: the same request again finds its own step.
      std::uint64_t landed = 0;
      cluster.at(17, [&] { landed = cluster.cluster_version(); });
      cluster.at(40, [&] { cluster.ask_now(1, Action::advance, {}, "the-step"); });
      cluster.run_until(90);
      EXPECT_EQ(cluster.cluster_version(), 2u) << ms;
      EXPECT_EQ(cluster.reply_to("the-step").status, 200) << ms << " landed at first: " << landed;
      expect_arrays_ended(cluster, 5, 30);
      expect_rules_kept(cluster, std::to_string(ms));
    }
  }
}

TEST_P(RollingUpgrade, FollowerFailsAtEveryPointOfAStep) {
  for (const bool frozen : {false, true}) {
    for (int ms = 0; ms <= 240; ms += 40) {
      UpgradeCluster cluster(seeded_options());
      submit_arrays(cluster, 5, 40);
      cluster.advance_to(10, ClusterVersion::write_compact);
      cluster.ask(18, 0, Action::advance);
      cluster.at(18 + ms / 1000.0, [&] {
        if (frozen)
          cluster.freeze(1, 9);
        else
          cluster.crash(1, 0.5);
      });
      cluster.run_until(110);
      EXPECT_EQ(cluster.cluster_version(), 3u) << ms;
      EXPECT_EQ(cluster.acting(1), 3u) << ms;
      expect_arrays_ended(cluster, 5, 40);
      expect_rules_kept(cluster, std::to_string(ms));
    }
  }
}

TEST_P(RollingUpgrade, StateStoreRejectsOneControllerDuringAStep) {
  for (int refused = 0; refused < 2; ++refused) {
    UpgradeCluster cluster(seeded_options());
    submit_arrays(cluster, 5, 50);
    cluster.advance_to(10, ClusterVersion::write_compact);
    cluster.at(19.99, [&] { cluster.state_refuses(refused, true); });
    cluster.ask(20, 0, Action::advance);
    cluster.at(35, [&] { cluster.state_refuses(refused, false); });
    cluster.ask(50, 0, Action::advance);
    cluster.run_until(120);
    EXPECT_EQ(cluster.replies()[1].status, refused == 0 ? 503 : 200);
    EXPECT_EQ(cluster.cluster_version(), 3u);
    EXPECT_EQ(cluster.acting(refused), 3u);
    expect_arrays_ended(cluster, 5, 50);
    expect_rules_kept(cluster);
  }
}

TEST_P(RollingUpgrade, StateStoreOutageDuringAStep) {
  UpgradeCluster cluster(seeded_options());
  submit_arrays(cluster, 5, 50);
  cluster.advance_to(10, ClusterVersion::write_compact);
  cluster.ask(19.995, 0, Action::advance);
  cluster.at(20, [&] { cluster.state_outage(true); });
  cluster.at(32, [&] { cluster.state_outage(false); });
  double told_at = 0;
  cluster.at(30, [&] { told_at = cluster.replies().size() == 2 ? 1 : 0; });
  cluster.run_until(40);
  EXPECT_EQ(told_at, 1) << "an answer within a bounded time";
  if (cluster.cluster_version() == 2) cluster.ask_now(1, Action::advance);
  cluster.run_until(120);
  EXPECT_EQ(cluster.cluster_version(), 3u);
  expect_arrays_ended(cluster, 5, 50);
  expect_rules_kept(cluster);
}

// The step gets no answer and lands seconds later, or never: the operator is told that this is not
// known, and the durable version says it in the end.
TEST_P(RollingUpgrade, StepWithUnknownOutcomeIsNotRepeatedBlindly) {
  UpgradeCluster cluster(seeded_options());
  submit_arrays(cluster, 5, 50);
  cluster.at(19.9, [&] { cluster.late_writes({1, 2, 12}); });
  cluster.at(20, [&] { cluster.ask_now(0, Action::advance, {}, "late"); });
  OperatorReply status;
  cluster.at(30, [&] {
    EXPECT_EQ(cluster.reply_to("late").status, 504);
    EXPECT_TRUE(cluster.reply_to("late").has("\"outcome\":\"unknown\""));
    cluster.late_writes({});
    cluster.raw(0, "GET", "/upgrade/status", "", [&](int code, std::string body) {
      status = {code, std::move(body)};
    });
  });
  cluster.run_until(50);
  EXPECT_EQ(cluster.cluster_version(), 2u);
  EXPECT_TRUE(status.has("\"step_in_doubt\":\"late\"") || status.has("\"last_request\":\"late\""));
  EXPECT_EQ(cluster.versions().versions(), (std::vector<std::uint64_t>{1, 2})) << "it landed once";
  cluster.run_until(120);
  expect_arrays_ended(cluster, 5, 50);
  expect_rules_kept(cluster);
}

// Commits are carried out late while the version goes up and down.
TEST_P(RollingUpgrade, DelayedCommitsLandUnderLaterVersions) {
  UpgradeCluster cluster(seeded_options());
  submit_arrays(cluster, 5, 80, 1.5);
  cluster.at(8, [&] { cluster.late_writes({0.25, 2, 12}); });
  for (int n = 0; n < 14; ++n)
    cluster.ask(12 + 5.0 * n, n % 3, n % 4 < 2 ? Action::advance : Action::abort);
  cluster.at(85, [&] { cluster.late_writes({}); });
  cluster.run_until(190);
  EXPECT_GT(cluster.landed_late(), 0u);
  EXPECT_GT(cluster.versions().versions().size(), 4u);
  expect_arrays_ended(cluster, 5, 80, 1.5);
  expect_rules_kept(cluster);
}

TEST_P(RollingUpgrade, ConcurrentOppositeStepsAreSerialized) {
  UpgradeCluster cluster(seeded_options());
  submit_arrays(cluster, 5, 40);
  cluster.advance_to(10, ClusterVersion::write_compact);
  cluster.at(20, [&] {
    cluster.ask_now(0, Action::advance);
    cluster.ask_now(1, Action::abort);
  });
  cluster.run_until(100);
  ASSERT_EQ(cluster.replies().size(), 3u);
  EXPECT_EQ(cluster.replies_with(200), 2u) << "the first step, and one of the two";
  EXPECT_EQ(cluster.versions().versions().size(), 3u);
  expect_arrays_ended(cluster, 5, 40);
  expect_rules_kept(cluster);
}

// ----------------------------------------------------------------------------- bad values

TEST_P(RollingUpgrade, VersionAboveTheBuildPreventsAnyClaim) {
  UpgradeCluster cluster(seeded_options());
  cluster.store("e/upgrade/version", R"({"n":"x.y.1","version":9,"from":8,"at_ms":1,"who":"a"})");
  cluster.run_until(30);
  EXPECT_EQ(cluster.keys_under("e/part/"), 0u);
  EXPECT_EQ(cluster.keys_under("e/node/"), 0u);
  EXPECT_EQ(cluster.commits(), 0u);
  EXPECT_GT(cluster.lines("standby node="), 0u);
}

TEST_P(RollingUpgrade, UnreadableVersionStopsOnlyRestartedControllers) {
  UpgradeCluster cluster(seeded_options());
  submit_arrays(cluster, 5, 40);
  cluster.at(20, [&] { cluster.store("e/upgrade/version", R"({"version":"two"})"); });
  cluster.at(25, [&] { cluster.crash(2, 1); });
  cluster.ask(30, 0, Action::advance);
  cluster.run_until(60);
  EXPECT_EQ(cluster.acting(0), 1u);
  EXPECT_EQ(cluster.acting(2), 0u);
  EXPECT_EQ(cluster.replies().back().status, 409);
  EXPECT_TRUE(cluster.replies().back().has("cannot be read"));
  cluster.run_until(100);
  expect_arrays_ended(cluster, 5, 40);
  expect_rules_kept(cluster);
}

// ------------------------------------------------------------------------- history, automatic

TEST_P(RollingUpgrade, HistoryRecordsEveryRequest) {
  UpgradeCluster cluster(seeded_options());
  cluster.ask(10, 0, Action::advance);
  cluster.ask(15, 1, Action::finalize);
  cluster.ask(20, 2, Action::abort);
  OperatorReply history;
  cluster.at(25, [&] {
    cluster.raw(1, "GET", "/upgrade/history", "", [&](int code, std::string body) {
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
  // The simulated day begins on Thursday, 1970-01-01, at 00:16:40 UTC.
  upgrade::MaintenanceWindow window;
  window.days[4] = true;
  window.from = *upgrade::parse_time_of_day("00:18");
  window.to = *upgrade::parse_time_of_day("00:20");
  options.upgrades->windows = upgrade::MaintenanceWindows("Etc/UTC", {window});
  UpgradeCluster cluster(options);
  submit_arrays(cluster, 5, 60);
  cluster.run_until(79);
  EXPECT_EQ(cluster.cluster_version(), 1u);
  cluster.run_until(190);
  EXPECT_EQ(cluster.cluster_version(), 3u) << "never to the final version";
  expect_arrays_ended(cluster, 5, 60);
  expect_rules_kept(cluster);
}

INSTANTIATE_TEST_SUITE_P(Seeds, RollingUpgrade, testing::Values(1, 2, 3));

}  // namespace
