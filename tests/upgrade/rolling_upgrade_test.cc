// Steps of the cluster version while jobs run and controllers fail, in the simulated world. On
// every day the version checker looks at each transaction that lands; see
// standin/version_checker.h.
#include "upgrade/upgrade_cluster.h"

using namespace eiderreel;
using namespace eiderreel::standin;

namespace {

using Seeds = testing::TestWithParam<std::uint64_t>;

class RollingUpgrade : public Seeds {
 protected:
  Options options() const { return upgrade_options(GetParam()); }
};

// ------------------------------------------------------------------------------ the whole way

TEST_P(RollingUpgrade, GoesStepByStepUnderLoadUntilItIsFinal) {
  UpgradeWorld w(options());
  submit_arrays(w, 5, 70);
  w.advance_to(20, ClusterVersion::convert);
  w.ask(60, 1, Action::finalize);
  w.run_until(62);
  EXPECT_EQ(w.cluster_version(), 4u) << w.told().back().body;
  EXPECT_EQ(w.progress_in_bits(), 0u);
  w.run_until(140);
  for (int node = 0; node < 3; ++node) EXPECT_EQ(w.acting(node), 4u);
  EXPECT_GT(w.versions().progress_written(false), 0u);
  EXPECT_GT(w.versions().progress_written(true), 0u);
  expect_arrays_ended(w, 5, 70);
  expect_rules_kept(w);
}

TEST_P(RollingUpgrade, AFinalStepIsNotTakenBack) {
  UpgradeWorld w(options());
  submit_arrays(w, 5, 30);
  w.advance_to(10, ClusterVersion::compact_only);
  w.ask(60, 0, Action::abort);
  w.run_until(100);
  EXPECT_EQ(w.cluster_version(), 4u);
  EXPECT_EQ(w.told().back().status, 409);
  EXPECT_TRUE(w.told().back().has("is final"));
  expect_rules_kept(w);
}

TEST_P(RollingUpgrade, AStepWaitsForTheAcknowledgementOfTheOneBefore) {
  UpgradeWorld w(options());
  submit_arrays(w, 5, 30);
  w.ask(10, 0, Action::advance);
  w.ask(10.02, 0, Action::advance);  // none can have acknowledged by now
  w.run_until(60);
  ASSERT_EQ(w.told().size(), 2u);
  EXPECT_EQ(w.told_with(200), 1u);
  EXPECT_EQ(w.told_with(409), 1u);
  EXPECT_EQ(w.cluster_version(), 2u);
  expect_rules_kept(w);
}

// Abandoned at each step; the builds from before cluster versions then go on with all jobs.
TEST_P(RollingUpgrade, IsRolledBackFromEachStepToEarlierBuilds) {
  for (const auto top : {ClusterVersion::write_compact, ClusterVersion::convert}) {
    UpgradeWorld w(options());
    submit_arrays(w, 5, 60);
    w.advance_to(12, top);
    double t = 30;
    for (std::uint32_t v = upgrade::number(top); v > 1; --v, t += 6) w.ask(t, 2, Action::abort);
    w.run_until(58);
    EXPECT_EQ(w.cluster_version(), 1u);
    EXPECT_EQ(w.progress_with("\"form\":2"), 0u) << "left in the compact form";
    for (int node = 0; node < 3; ++node) w.at(60 + 5 * node, [&w, node] { w.downgrade(node, 1); });
    w.run_until(150);
    expect_arrays_ended(w, 5, 60);
    expect_rules_kept(w);
  }
}

TEST_P(RollingUpgrade, IsTakenBackHalfwayThroughAStep) {
  UpgradeWorld w(options());
  submit_arrays(w, 5, 40);
  w.ask(10, 0, Action::advance);
  w.at(15, [&] { w.freeze(1, 3); });  // within its lease, so it acknowledges late
  w.ask(15.2, 0, Action::advance);
  w.ask(16, 2, Action::abort);
  w.run_until(110);
  ASSERT_EQ(w.told().size(), 3u);
  EXPECT_EQ(w.told_with(200), 3u);
  EXPECT_EQ(w.cluster_version(), 2u);
  expect_arrays_ended(w, 5, 40);
  expect_rules_kept(w);
}

// ------------------------------------------------------------------- controllers that are away

TEST_P(RollingUpgrade, AnAbsentControllerStopsAStepUnlessItIsLeftOut) {
  UpgradeWorld w(options());
  submit_arrays(w, 5, 50);
  w.at(10, [&] { w.crash(2, 30); });
  w.ask(20, 0, Action::advance);
  w.at(21, [&] {
    EXPECT_EQ(w.cluster_version(), 1u);
    ASSERT_EQ(w.told().size(), 1u);
    EXPECT_EQ(w.told().back().status, 409);
    EXPECT_TRUE(w.told().back().has("\"controller\":\"n2\""));
  });
  w.ask(22, 0, Action::advance, {"n2"});
  w.ask(28, 0, Action::advance, {"n1"});  // it runs, so it cannot be left out
  w.run_until(30);
  EXPECT_EQ(w.cluster_version(), 2u);
  EXPECT_TRUE(w.told().back().has("is running"));
  w.run_until(120);
  EXPECT_EQ(w.acting(2), 2u) << "it is back, under the version of the others";
  expect_arrays_ended(w, 5, 50);
  expect_rules_kept(w);
}

// Its record is on its way, naming version 1, while the cluster goes on by two steps without it.
TEST_P(RollingUpgrade, ALateRecordNamesNoVersionThatIsOver) {
  UpgradeWorld w(options());
  submit_arrays(w, 5, 50);
  w.at(10, [&] { w.crash(1, 12); });
  w.at(22, [&] { w.late_writes({1, 2.2, 2.4}); });  // those of the others too, for a moment
  w.at(22.3, [&] { w.late_writes({}); });
  w.ask(22.5, 0, Action::advance, {"n1"});
  w.ask(23.2, 0, Action::advance, {"n1"});
  w.run_until(23.6);
  EXPECT_EQ(w.cluster_version(), 3u) << w.told().back().body;
  EXPECT_EQ(w.acting(1), 0u) << "its record has not landed yet";
  w.run_until(110);
  EXPECT_EQ(w.acting(1), 3u);
  expect_arrays_ended(w, 5, 50);
  expect_rules_kept(w);
}

// It stands still for longer than its lease, the cluster goes on without it by two steps, and then
// it wakes up with what it was about to write.
TEST_P(RollingUpgrade, AFrozenControllerWritesNothingUnderAVersionThatIsOver) {
  UpgradeWorld w(options());
  submit_arrays(w, 2, 60, 1);
  const double frozen_at = 20 + 0.137 * static_cast<double>(GetParam());
  w.at(frozen_at - 3, [&] { w.late_writes({0.3, 2, 30}); });
  w.at(frozen_at, [&] {
    w.late_writes({});
    w.freeze(1, 25);
  });
  w.ask(frozen_at + 8, 0, Action::advance, {"n1"});
  w.ask(frozen_at + 14, 0, Action::advance, {"n1"});
  w.run_until(frozen_at + 22);
  EXPECT_EQ(w.cluster_version(), 3u);
  w.run_until(150);
  EXPECT_EQ(w.acting(1), 3u);
  expect_arrays_ended(w, 2, 60, 1);
  expect_rules_kept(w);
}

TEST_P(RollingUpgrade, AControllerThatComesBackOldStandsAside) {
  for (const auto version : {ClusterVersion::write_compact, ClusterVersion::convert}) {
    UpgradeWorld w(options());
    submit_arrays(w, 5, 60);
    w.advance_to(10, version);
    w.at(30, [&] { w.install(1, ClusterVersion::base, 2); });
    w.run_until(45);
    EXPECT_EQ(w.acting(1), 0u);
    EXPECT_NE(w.leader_of(1), 1) << "its partition goes to another";
    EXPECT_NE(w.leader_of(1), -1);
    Told ready, status;
    w.raw(1, "GET", "/ready", "", [&](int s, std::string body) { ready = {s, std::move(body)}; });
    w.raw(1, "GET", "/status", "", [&](int s, std::string body) { status = {s, std::move(body)}; });
    w.run_until(46);
    EXPECT_EQ(ready.status, 503);
    EXPECT_TRUE(status.has("this build knows 1 to 1")) << status.body;
    w.run_until(70);
    w.ask_now(0, Action::abort);
    w.run_until(76);
    if (version == ClusterVersion::convert) w.ask_now(0, Action::abort);
    w.run_until(150);
    EXPECT_EQ(w.cluster_version(), 1u);
    EXPECT_EQ(w.acting(1), 1u) << "it acts again";
    EXPECT_EQ(w.leader_of(1), 1);
    expect_arrays_ended(w, 5, 60);
    expect_rules_kept(w);
  }
}

TEST_P(RollingUpgrade, AControllerThatComesBackOldAfterTheFinalStepStandsAsideForGood) {
  UpgradeWorld w(options());
  submit_arrays(w, 5, 60);
  w.advance_to(10, ClusterVersion::compact_only);
  w.at(35, [&] { w.install(1, ClusterVersion::convert, 2); });
  w.run_until(60);
  EXPECT_EQ(w.cluster_version(), 4u);
  EXPECT_EQ(w.acting(1), 0u);
  w.install(1, upgrade::kNewestVersion, 2);
  w.run_until(140);
  EXPECT_EQ(w.acting(1), 4u);
  expect_arrays_ended(w, 5, 60);
  expect_rules_kept(w);
}

// The commit of the step compares the records, so one that was replaced meanwhile stops it.
TEST_P(RollingUpgrade, AControllerThatRestartsOldInAStepStopsItOrStandsAside) {
  for (const double offset : {-0.3, -0.05, -0.01, 0.0, 0.004, 0.01, 0.05}) {
    UpgradeWorld w(options());
    submit_arrays(w, 5, 30);
    w.ask(10, 0, Action::advance);
    w.at(18, [&] { w.state_slow(0.4); });
    w.ask(20, 0, Action::advance);
    w.at(20 + offset, [&] { w.install(2, ClusterVersion::base, 0.05); });
    w.at(24, [&] { w.state_slow(0); });
    w.run_until(90);
    EXPECT_EQ(w.acting(2), 0u) << "it cannot act under version 2 either";
    expect_arrays_ended(w, 5, 30);
    expect_rules_kept(w, std::to_string(offset));
  }
}

// A build from before cluster versions knows nothing of them: a step is refused while one is known,
// and where one comes back later it does no harm to jobs.
TEST_P(RollingUpgrade, BuildsFromBeforeVersionsAreNotPassedOver) {
  Options o = options();
  o.old_nodes = {0, 1, 2};
  UpgradeWorld w(o);
  submit_arrays(w, 5, 60);
  w.at(12, [&] { w.upgrade(0, 1); });
  w.at(20, [&] { w.upgrade(1, 1); });
  w.ask(26, 0, Action::advance);
  w.at(27, [&] {
    ASSERT_EQ(w.told().size(), 1u);
    EXPECT_TRUE(w.told()[0].has("from before cluster versions"));
    EXPECT_EQ(w.cluster_version(), 1u);
  });
  w.at(30, [&] { w.upgrade(2, 1); });
  w.advance_to(38, ClusterVersion::convert);
  w.at(52, [&] { w.downgrade(2, 1); });  // against the rules of an upgrade
  w.run_until(70);
  w.ask_now(0, Action::finalize);
  w.at(75, [&] { w.upgrade(2, 1); });
  w.run_until(150);
  EXPECT_EQ(w.told().back().status, 409);
  expect_arrays_ended(w, 5, 60);
  expect_rules_kept(w);
}

// ------------------------------------------------------------------------------ faults in a step

// The controller that drives a step is killed, or stands still beyond its lease, at many moments of
// it: before the commit is sent, between the commit and its answer, and after.
TEST_P(RollingUpgrade, TheDriverOfAStepFailsAtEveryPoint) {
  for (const bool frozen : {false, true}) {
    for (int ms = 0; ms <= 24; ms += 3) {
      UpgradeWorld w(options());
      submit_arrays(w, 5, 30);
      w.at(15, [&] { w.ask_now(0, Action::advance, {}, "the-step"); });
      w.at(15 + ms / 1000.0, [&] {
        if (frozen)
          w.freeze(0, 9);
        else
          w.crash(0, 3);
      });
      // Another controller tells what came of it: the same request again finds its own step.
      std::uint64_t landed = 0;
      w.at(17, [&] { landed = w.cluster_version(); });
      w.at(40, [&] { w.ask_now(1, Action::advance, {}, "the-step"); });
      w.run_until(90);
      EXPECT_EQ(w.cluster_version(), 2u) << ms;
      EXPECT_EQ(w.told_of("the-step").status, 200) << ms << " landed at first: " << landed;
      expect_arrays_ended(w, 5, 30);
      expect_rules_kept(w, std::to_string(ms));
    }
  }
}

TEST_P(RollingUpgrade, AFollowerFailsAtEveryPointOfAStep) {
  for (const bool frozen : {false, true}) {
    for (int ms = 0; ms <= 240; ms += 40) {
      UpgradeWorld w(options());
      submit_arrays(w, 5, 40);
      w.advance_to(10, ClusterVersion::write_compact);
      w.ask(18, 0, Action::advance);
      w.at(18 + ms / 1000.0, [&] {
        if (frozen)
          w.freeze(1, 9);
        else
          w.crash(1, 0.5);
      });
      w.run_until(110);
      EXPECT_EQ(w.cluster_version(), 3u) << ms;
      EXPECT_EQ(w.acting(1), 3u) << ms;
      expect_arrays_ended(w, 5, 40);
      expect_rules_kept(w, std::to_string(ms));
    }
  }
}

TEST_P(RollingUpgrade, TheStateServiceRefusesOneControllerInAStep) {
  for (int refused = 0; refused < 2; ++refused) {
    UpgradeWorld w(options());
    submit_arrays(w, 5, 50);
    w.advance_to(10, ClusterVersion::write_compact);
    w.at(19.99, [&] { w.state_refuses(refused, true); });
    w.ask(20, 0, Action::advance);
    w.at(35, [&] { w.state_refuses(refused, false); });
    w.ask(50, 0, Action::advance);
    w.run_until(120);
    EXPECT_EQ(w.told()[1].status, refused == 0 ? 503 : 200);
    EXPECT_EQ(w.cluster_version(), 3u);
    EXPECT_EQ(w.acting(refused), 3u);
    expect_arrays_ended(w, 5, 50);
    expect_rules_kept(w);
  }
}

TEST_P(RollingUpgrade, TheStateServiceIsOutInAStep) {
  UpgradeWorld w(options());
  submit_arrays(w, 5, 50);
  w.advance_to(10, ClusterVersion::write_compact);
  w.ask(19.995, 0, Action::advance);
  w.at(20, [&] { w.state_outage(true); });
  w.at(32, [&] { w.state_outage(false); });
  double told_at = 0;
  w.at(30, [&] { told_at = w.told().size() == 2 ? 1 : 0; });
  w.run_until(40);
  EXPECT_EQ(told_at, 1) << "an answer within a bounded time";
  if (w.cluster_version() == 2) w.ask_now(1, Action::advance);
  w.run_until(120);
  EXPECT_EQ(w.cluster_version(), 3u);
  expect_arrays_ended(w, 5, 50);
  expect_rules_kept(w);
}

// The step gets no answer and lands seconds later, or never: the operator is told that this is not
// known, and the durable version says it in the end.
TEST_P(RollingUpgrade, AStepWithoutAnswerIsNotRepeatedBlindly) {
  UpgradeWorld w(options());
  submit_arrays(w, 5, 50);
  w.at(19.9, [&] { w.late_writes({1, 2, 12}); });
  w.at(20, [&] { w.ask_now(0, Action::advance, {}, "late"); });
  Told status;
  w.at(30, [&] {
    EXPECT_EQ(w.told_of("late").status, 504);
    EXPECT_TRUE(w.told_of("late").has("\"outcome\":\"unknown\""));
    w.late_writes({});
    w.raw(0, "GET", "/upgrade/status", "", [&](int s, std::string body) {
      status = {s, std::move(body)};
    });
  });
  w.run_until(50);
  EXPECT_EQ(w.cluster_version(), 2u);
  EXPECT_TRUE(status.has("\"step_in_doubt\":\"late\"") || status.has("\"last_request\":\"late\""));
  EXPECT_EQ(w.versions().versions(), (std::vector<std::uint64_t>{1, 2})) << "it landed once";
  w.run_until(120);
  expect_arrays_ended(w, 5, 50);
  expect_rules_kept(w);
}

// Commits are carried out late while the version goes up and down.
TEST_P(RollingUpgrade, LateCopiesOfCommitsMeetLaterVersions) {
  UpgradeWorld w(options());
  submit_arrays(w, 5, 80, 1.5);
  w.at(8, [&] { w.late_writes({0.25, 2, 12}); });
  for (int n = 0; n < 14; ++n)
    w.ask(12 + 5.0 * n, n % 3, n % 4 < 2 ? Action::advance : Action::abort);
  w.at(85, [&] { w.late_writes({}); });
  w.run_until(190);
  EXPECT_GT(w.landed_late(), 0u);
  EXPECT_GT(w.versions().versions().size(), 4u);
  expect_arrays_ended(w, 5, 80, 1.5);
  expect_rules_kept(w);
}

TEST_P(RollingUpgrade, TwoOperatorsAskForOppositeStepsAtOnce) {
  UpgradeWorld w(options());
  submit_arrays(w, 5, 40);
  w.advance_to(10, ClusterVersion::write_compact);
  w.at(20, [&] {
    w.ask_now(0, Action::advance);
    w.ask_now(1, Action::abort);
  });
  w.run_until(100);
  ASSERT_EQ(w.told().size(), 3u);
  EXPECT_EQ(w.told_with(200), 2u) << "the first step, and one of the two";
  EXPECT_EQ(w.versions().versions().size(), 3u);
  expect_arrays_ended(w, 5, 40);
  expect_rules_kept(w);
}

// ----------------------------------------------------------------------------- bad values

TEST_P(RollingUpgrade, AVersionAboveTheBuildStopsItBeforeItClaimsAnything) {
  UpgradeWorld w(options());
  w.store("e/upgrade/version", R"({"n":"x.y.1","version":9,"from":8,"at_ms":1,"who":"a"})");
  w.run_until(30);
  EXPECT_EQ(w.keys_under("e/part/"), 0u);
  EXPECT_EQ(w.keys_under("e/node/"), 0u);
  EXPECT_EQ(w.commits(), 0u);
  EXPECT_GT(w.lines("standby node="), 0u);
}

TEST_P(RollingUpgrade, AVersionThatCannotBeReadStopsNewControllersOnly) {
  UpgradeWorld w(options());
  submit_arrays(w, 5, 40);
  w.at(20, [&] { w.store("e/upgrade/version", R"({"version":"two"})"); });
  w.at(25, [&] { w.crash(2, 1); });
  w.ask(30, 0, Action::advance);
  w.run_until(60);
  EXPECT_EQ(w.acting(0), 1u);
  EXPECT_EQ(w.acting(2), 0u);
  EXPECT_EQ(w.told().back().status, 409);
  EXPECT_TRUE(w.told().back().has("cannot be read"));
  w.run_until(100);
  expect_arrays_ended(w, 5, 40);
  expect_rules_kept(w);
}

// ------------------------------------------------------------------------- history, automatic

TEST_P(RollingUpgrade, EveryRequestIsInTheHistory) {
  UpgradeWorld w(options());
  w.ask(10, 0, Action::advance);
  w.ask(15, 1, Action::finalize);
  w.ask(20, 2, Action::abort);
  Told history;
  w.at(25, [&] {
    w.raw(1, "GET", "/upgrade/history", "", [&](int s, std::string body) {
      history = {s, std::move(body)};
    });
  });
  w.run_until(30);
  rapidjson::Document d;
  d.Parse(history.body.c_str());
  ASSERT_EQ(history.status, 200);
  const auto& rows = d["history"];
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

TEST_P(RollingUpgrade, AutomaticStepsAreTakenWithinAWindowOnly) {
  Options o = options();
  o.upgrades->automatic = true;
  // The simulated day begins on Thursday, 1970-01-01, at 00:16:40 UTC.
  upgrade::MaintenanceWindow window;
  window.days[4] = true;
  window.from = *upgrade::parse_time_of_day("00:18");
  window.to = *upgrade::parse_time_of_day("00:20");
  o.upgrades->windows = upgrade::MaintenanceWindows("Etc/UTC", {window});
  UpgradeWorld w(o);
  submit_arrays(w, 5, 60);
  w.run_until(79);
  EXPECT_EQ(w.cluster_version(), 1u);
  w.run_until(190);
  EXPECT_EQ(w.cluster_version(), 3u) << "never to the final version";
  expect_arrays_ended(w, 5, 60);
  expect_rules_kept(w);
}

INSTANTIATE_TEST_SUITE_P(Seeds, RollingUpgrade, testing::Values(1, 2, 3));

}  // namespace
