// Jobs that wait for other jobs, under the faults that meet them. Every day keeps the rules;
// `too_early` and `orphaned` are two of them.
#include "standin/chains.h"

#include <array>

#include "controller/metrics.h"
#include "standin/text.h"

using namespace eiderreel;
using namespace eiderreel::standin;

namespace {

// What a node answers to a poll now, by way of the test's own question.
void poll_into(SimulatedCluster& cluster, int node, const std::string& job, std::string& phase) {
  cluster.poll_once(node, job, [&phase](int status, const std::string& told) {
    phase = status == 200 ? told : std::to_string(status);
  });
}

std::size_t open_in_partitions(SimulatedCluster& cluster) {
  std::size_t jobs = 0;
  for (int n = 0; n < 3; ++n)
    if (cluster.node(n))
      for (const auto& [partition, core] : cluster.node(n)->partition_leader().partitions())
        jobs += core->job_count();
  return jobs;
}

// ------------------------------------------------------------------------------ ordinary days

TEST(Chain, StepsOfThreeTeamsRunInOrder) {
  SimulatedCluster cluster(seeded(1));
  std::string waiting;
  cluster.at(5, [&] { submit_pipeline(cluster, 5); });
  cluster.at(9, [&] {
    poll_into(cluster, 1, "run-3", waiting);
    EXPECT_EQ(open_in_partitions(cluster), 1u);  // what waits takes part in nothing
    EXPECT_NE(
        status_json(*cluster.node(0)).find(R"("job":"run-3","prerequisites":1,"first":["run-2"])"),
        std::string::npos);
  });
  cluster.run_until(60);
  EXPECT_EQ(waiting, "queued");
  EXPECT_EQ(cluster.lines("job ready job=run-2"), 1u);
  expect_phase(cluster, {"run-1", "run-2", "run-3"}, "done");
  expect_rules_kept(cluster);
}

TEST(Chain, InvalidOrUnknownPrerequisiteIsRejected) {
  SimulatedCluster cluster(seeded(1));
  std::map<std::string, int> answers;
  auto submit = [&](const std::string& awaits, const std::string& job = "run-50") {
    std::string text = submission_text(cluster.job(job, "red", 1));
    text.insert(text.size() - 1, ",\"awaits\":" + awaits);
    cluster.raw(1, "POST", "/v1/jobs", text,
                [&, awaits](int status, std::string) { answers[awaits] = status; });
  };
  cluster.at(5, [&] { cluster.submit(cluster.job("run-1", "blue", 1, 1, 100)); });
  cluster.at(8, [&] {
    for (const char* invalid : {"\"run-1\"", "[7]", "[\"job-1\"]", "[[\"run-1\"]]", "{}"})
      submit(invalid);
    submit("[\"run-99\"]");
    submit("[\"run-1\",\"run-99\"]");
    submit("[\"run-50\"]");
    submit("null", "run-51");
    submit("[]", "run-52");
    submit("[\"run-1\",\"run-1\"]", "run-53");
  });
  cluster.at(12, [&] { submit("[\"run-98\"]", "run-53"); });  // known, whatever it says now
  cluster.at(12, [&] { submit("[\"not an id\"]", "run-53"); });
  cluster.run_until(15);
  for (const char* invalid : {"\"run-1\"", "[7]", "[\"job-1\"]", "[[\"run-1\"]]", "{}"})
    EXPECT_EQ(answers[invalid], 400) << invalid;
  EXPECT_EQ(answers["[\"run-99\"]"], 422);
  EXPECT_EQ(answers["[\"run-1\",\"run-99\"]"], 422);
  EXPECT_EQ(answers["[\"run-50\"]"], 422);
  EXPECT_EQ(answers["null"], 201);
  EXPECT_EQ(answers["[]"], 201);
  EXPECT_EQ(answers["[\"run-1\",\"run-1\"]"], 201);
  EXPECT_EQ(answers["[\"run-98\"]"], 200);
  EXPECT_EQ(answers["[\"not an id\"]"], 200);
}

TEST(Chain, PrerequisiteOfUnknownStatusIsRejectedImmediatelyDuringAnOutage) {
  SimulatedCluster cluster(seeded(1));
  int status = 0;
  double answered = 0;
  cluster.at(20, [&] { cluster.state_outage(true); });
  cluster.at(22, [&] {
    cluster.raw(0, "POST", "/v1/jobs",
                submission_text(needing(cluster.job("run-2", "red", 1), {"run-1"})),
                [&](int code, std::string) {
                  status = code;
                  answered = cluster.now();
                });
  });
  cluster.run_until(30);
  EXPECT_EQ(status, 503);
  EXPECT_LT(answered, 22.5);
}

// Users set priority and deadline on the last job: what it needs goes before what nobody needs.
TEST(Chain, PrerequisitesInheritTheUrgencyOfTheirDependents) {
  Options options = seeded(1);
  options.machines = 2;
  options.capacity = 0;
  SimulatedCluster cluster(options);
  cluster.at(5, [&] { cluster.submit(cluster.job("run-9", "red", 16, 1, 12)); });
  cluster.at(6, [&] {
    for (int n : {1, 2}) {
      JobSpec first = cluster.job(id(n), "red", 16, 1, 10);
      first.priority = Priority::best_effort;
      cluster.submit(first);
    }
  });
  cluster.at(8, [&] {
    JobSpec last = cluster.job("run-3", "red", 1, 1, 5);
    last.priority = Priority::high;
    cluster.submit_chained(needing(last, {"run-2"}));
  });
  cluster.run_until(29);
  expect_phase(cluster, {"run-2", "run-3"}, "done");
  EXPECT_NE(cluster.phase("run-1"), "done");
  expect_rules_kept(cluster);
}

// ------------------------------------------------------------------------------ cancellations

class ChainCancellation : public Seeds {};

TEST_P(ChainCancellation, OfTheFirstJobCancelsAllDependents) {
  SimulatedCluster cluster(seeded(GetParam()));
  std::map<std::string, int> repeated;
  cluster.at(5, [&] { submit_pipeline(cluster, 60); });
  cluster.at(20, [&] { cluster.cancel("run-1"); });
  for (double time_s : {20.0, 20.02, 20.1, 25.0})  // submitted during and after
    cluster.at(time_s, [&cluster, time_s] {
      const int n = 100 + static_cast<int>(time_s * 100) % 900;
      cluster.submit_chained(needing(cluster.job(id(n), "blue", 1), {"run-3"}));
    });
  cluster.at(35, [&] {
    for (int node = 0; node < 3; ++node)
      cluster.raw(node, "POST", "/v1/jobs",
                  submission_text(needing(cluster.job("run-3", "gold", 4), {"run-2"})),
                  [&](int status, std::string body) { repeated[body] += status == 200; });
  });
  cluster.run_until(60);
  expect_phase(
      cluster,
      {"run-1", "run-2", "run-3", id(100 + 200), id(100 + 202), id(100 + 210), id(100 + 700)},
      "cancelled");
  EXPECT_EQ(repeated[codec::job_status("run-3", {JobPhase::cancelled, 0, 0})], 3);
  EXPECT_EQ(cluster.keys_under("e/job/"), 0u);  // each has a final record of its own
  EXPECT_EQ(cluster.keys_under("e/final/"), 7u);
  expect_rules_kept(cluster);
}

TEST_P(ChainCancellation, OfAMiddleJobLeavesItsPrerequisites) {
  SimulatedCluster cluster(seeded(GetParam()));
  cluster.at(5, [&] { submit_pipeline(cluster, 10); });
  cluster.at(9, [&] { cluster.cancel("run-2"); });
  cluster.run_until(60);
  expect_phase(cluster, {"run-1"}, "done");
  expect_phase(cluster, {"run-2", "run-3"}, "cancelled");
  expect_rules_kept(cluster);
}

TEST_P(ChainCancellation, OfTheLastJobCancelsNothingElse) {
  SimulatedCluster cluster(seeded(GetParam()));
  cluster.at(5, [&] { submit_pipeline(cluster, 5); });
  cluster.at(9, [&] { cluster.cancel("run-3"); });
  cluster.run_until(60);
  expect_phase(cluster, {"run-1", "run-2"}, "done");
  expect_phase(cluster, {"run-3"}, "cancelled");
  expect_rules_kept(cluster);
}

// A cancellation meets the end of the same job: whichever it is, the jobs after it go the same way.
TEST_P(ChainCancellation, RacingWithCompletionHasOneOutcomeForTheChain) {
  std::size_t done = 0, cancelled = 0;
  for (int offset = 0; offset < 24; ++offset) {
    SimulatedCluster cluster(seeded(GetParam() * 100 + static_cast<std::uint64_t>(offset)));
    cluster.at(5, [&] { submit_pipeline(cluster, 5); });
    cluster.at(9.8 + 0.08 * offset, [&] { cluster.cancel("run-1"); });
    cluster.run_until(50);
    const std::string end = cluster.phase("run-1");
    (end == "done" ? done : cancelled) += 1;
    expect_phase(cluster, {"run-1", "run-2", "run-3"}, end);
    expect_rules_kept(cluster, std::to_string(offset));
  }
  EXPECT_GT(done, 0u);
  EXPECT_GT(cancelled, 0u);
}

// The user is told that the first job is cancelled, and then nobody reaches the state store for
// longer than a cancellation may take. Leaders that act under votes learn of the end with them.
TEST_P(ChainCancellation, ReachesLeadersOfDependentsBeforeAnImmediateOutage) {
  Options options = seeded(GetParam());
  options.cancel_s = 15;
  SimulatedCluster cluster(options);
  std::array<std::string, 3> told;
  cluster.at(5, [&] { submit_pipeline(cluster, 300); });
  cluster.at(20, [&] { cluster.cancel("run-1"); });
  auto check = std::make_shared<std::function<void()>>();
  double outage_at = -1;
  *check = [&cluster, &outage_at, &told, check] {
    if (cluster.confirmed("run-1").node < 0) return cluster.at(cluster.now() + 0.002, *check);
    outage_at = cluster.now();
    cluster.state_outage(true);
    cluster.at(cluster.now() + 12, [&cluster, &told] {
      for (int node = 0; node < 3; ++node)
        poll_into(cluster, node, "run-3", told[static_cast<std::size_t>(node)]);
    });
    cluster.at(cluster.now() + 30, [&cluster] { cluster.state_outage(false); });
  };
  cluster.at(20.001, [check] { (*check)(); });
  cluster.run_until(100);
  ASSERT_GT(outage_at, 0);
  for (const auto& phase : told) EXPECT_EQ(phase, "cancelled");
  expect_phase(cluster, {"run-1", "run-2", "run-3"}, "cancelled");
  expect_rules_kept(cluster);
  *check = [] {};
}

// As before, and the leader of the dependents is cut off alone first: nobody speaks for it until
// the state store is back.
TEST_P(ChainCancellation, SurvivesAnIsolatedLeaderOfDependentsAndAnOutage) {
  Options options = seeded(GetParam());
  options.cancel_s = 15;
  SimulatedCluster cluster(options);
  int refused = -1;
  cluster.at(5, [&] { submit_pipeline(cluster, 300); });
  cluster.at(19, [&] {
    refused = cluster.leader_of(2);
    cluster.state_refuses(refused, true);
  });
  cluster.at(20, [&] { cluster.cancel("run-1"); });
  cluster.at(21, [&] { cluster.state_outage(true); });
  cluster.at(45, [&] {
    cluster.state_refuses(refused, false);
    cluster.state_outage(false);
  });
  for (double time_s = 20; time_s < 80; time_s += 0.5)
    cluster.at(time_s, [&cluster] {
      for (int node = 0; node < 3; ++node)
        cluster.poll_once(node, "run-3", [](int, std::string) {});
    });
  cluster.run_until(110);
  EXPECT_GE(cluster.confirmed("run-1").at, 20);
  expect_phase(cluster, {"run-1", "run-2", "run-3"}, "cancelled");
  expect_rules_kept(cluster);
}

// The commit of a cancellation is held up while the job waits, and the last job that it needs ends
// meanwhile: it is ready, and cancelled all the same.
TEST_P(ChainCancellation, WithUnknownCommitOutcomeStartsNothingWhenTheJobIsReady) {
  SimulatedCluster cluster(seeded(GetParam()));
  cluster.at(5, [&] { submit_pipeline(cluster, 9); });
  cluster.at(13.9, [&] { cluster.late_writes({1, 3, 3}); });
  cluster.at(14, [&] { cluster.cancel_at(cluster.leader_of(1), "run-2"); });
  cluster.at(14.2, [&] { cluster.late_writes({}); });
  cluster.run_until(60);
  EXPECT_GE(cluster.without_answer(), 1u);
  EXPECT_EQ(cluster.lines("job ready job=run-2"), 1u);  // it met
  EXPECT_EQ(cluster.lines(" runs run-2/"), 0u);
  expect_phase(cluster, {"run-1"}, "done");
  expect_phase(cluster, {"run-2", "run-3"}, "cancelled");
  expect_rules_kept(cluster);
}

// The leader of a dependent can't be reached by the node that is asked, and lags behind it: only a
// final record, or its leader, says that the dependent is cancelled.
TEST_P(ChainCancellation, IsNotConfirmedForADependentWhoseLeaderIsUnreachable) {
  SimulatedCluster cluster(seeded(GetParam()));
  std::map<std::string, int> told;
  cluster.at(5, [&] { submit_pipeline(cluster, 300); });
  cluster.at(18, [&] { cluster.cut({"n0"}, {"n2"}, CutMode::reset); });  // the leader of run-3
  cluster.at(19.8, [&] { cluster.state_refuses(2, true); });             // for less than its lease
  cluster.at(20, [&] { cluster.cancel_at(0, "run-1"); });
  for (double time_s = 19; time_s < 40; time_s += 0.02)
    cluster.at(time_s, [&] {
      for (int node : {0, 1, 2})
        cluster.poll_once(node, "run-3", [&](int status, const std::string& phase) {
          ++told[status == 200 ? phase : std::to_string(status)];
        });
    });
  cluster.at(23, [&] { cluster.state_refuses(2, false); });
  cluster.at(45, [&] { cluster.heal(); });
  cluster.run_until(70);
  EXPECT_GT(told["queued"], 20);
  EXPECT_GT(told["cancelled"], 20);
  EXPECT_GT(told["503"], 5);
  expect_phase(cluster, {"run-1", "run-2", "run-3"}, "cancelled");
  expect_rules_kept(cluster);
}

INSTANTIATE_TEST_SUITE_P(Seeds, ChainCancellation, testing::Values(1, 2, 3));

// ----------------------------------------------------------------- ends that meet other faults

enum class Fault { leader_ends, dependents_leader_ends, outage, all_end, home_is_back };

class ChainCompletion : public testing::TestWithParam<std::tuple<Fault, std::uint64_t>> {};

// The last prerequisite ends within the second around the fault, at offsets all through it.
TEST_P(ChainCompletion, CoincidesWithAFault) {
  const auto [fault, seed] = GetParam();
  std::size_t met = 0;
  for (int offset = 0; offset < 6; ++offset) {
    SimulatedCluster cluster(seeded(seed * 10 + static_cast<std::uint64_t>(offset)));
    double ended = -1;
    const double at = 9.6 + 0.25 * offset;
    if (fault == Fault::home_is_back)  // given back to its preferred leader about when run-1 ends
      cluster.at(at - 7.2, [&cluster] { cluster.crash(2, 2); });
    cluster.at(5, [&] { submit_pipeline(cluster, 5); });
    cluster.at(at, [&cluster, fault = fault] {
      const int leader = cluster.leader_of(fault == Fault::leader_ends ? 0 : 1);
      if (fault == Fault::leader_ends || fault == Fault::dependents_leader_ends)
        cluster.crash(std::max(leader, 0), 4);
      if (fault == Fault::all_end)
        for (int n = 0; n < 3; ++n) cluster.crash(n, 1 + n);
      if (fault == Fault::outage) cluster.state_outage(true);
    });
    if (fault == Fault::outage) cluster.at(at + 12, [&cluster] { cluster.state_outage(false); });
    for (double time_s = 9; time_s < 40; time_s += 0.05)
      cluster.at(time_s, [&] {
        if (ended < 0 && cluster.checker().ready("run-2")) ended = cluster.now();
      });
    cluster.run_until(100);
    met += ended > 0 && std::abs(ended - at) < 1.5;
    expect_phase(cluster, {"run-1", "run-2", "run-3"}, "done");
    expect_rules_kept(cluster, std::to_string(offset));
  }
  EXPECT_GE(met, 2u);
}

INSTANTIATE_TEST_SUITE_P(
    Faults, ChainCompletion,
    testing::Combine(testing::Values(Fault::leader_ends, Fault::dependents_leader_ends,
                                     Fault::outage, Fault::all_end, Fault::home_is_back),
                     testing::Values(1, 2, 3)));

// ------------------------------------------------------------------------- which node is asked

class ChainSubmission : public Seeds {};

// Each job right after the acceptance of the one before, through another node, whose view lags.
TEST_P(ChainSubmission, ThroughControllersWithStaleViews) {
  SimulatedCluster cluster(seeded(GetParam()));
  std::array<int, 6> status{};
  std::function<void(int)> submit = [&](int n) {
    JobSpec job = cluster.job(id(n), n % 2 ? "red" : "blue", 1, 1, 2);
    if (n > 1) job.prerequisites = {id(n - 1)};
    cluster.submit(job);
    cluster.raw(n % 3, "POST", "/v1/jobs", submission_text(job), [&, n](int code, std::string) {
      status[static_cast<std::size_t>(n)] = code;
      if (n < 5) submit(n + 1);
    });
  };
  cluster.at(5, [&] { submit(1); });
  cluster.run_until(50);
  for (int n = 1; n <= 5; ++n) {
    EXPECT_TRUE(status[static_cast<std::size_t>(n)] == 201 ||
                status[static_cast<std::size_t>(n)] == 200)
        << n << ": " << status[static_cast<std::size_t>(n)];
    EXPECT_EQ(cluster.phase(id(n)), "done");
  }
  expect_rules_kept(cluster);
}

// The last job is submitted when all others are over long since, and no node has read their ends.
TEST_P(ChainSubmission, AfterAFullRestartWhenPrerequisitesHaveEnded) {
  SimulatedCluster cluster(seeded(GetParam()));
  int status = 0, unknown = 0;
  cluster.at(5, [&] {
    cluster.submit(cluster.job("run-1", "red", 2, 1, 3));
    cluster.submit(cluster.job("run-2", "blue", 2, 1, 300));
  });
  cluster.at(10, [&] { cluster.cancel("run-2"); });
  cluster.at(30, [&] {
    for (int n = 0; n < 3; ++n) cluster.crash(n, 2);
  });
  cluster.at(33, [&] {
    cluster.submit(needing(cluster.job("run-3", "gold", 2, 1, 3), {"run-1"}));
    cluster.submit(needing(cluster.job("run-4", "gold", 2, 1, 3), {"run-1", "run-2"}));
    cluster.raw(1, "POST", "/v1/jobs",
                submission_text(needing(cluster.job("run-5", "gold", 1), {"run-1", "run-77"})),
                [&](int code, std::string) { unknown = code; });
  });
  cluster.at(36, [&] {
    cluster.raw(2, "GET", "/v1/jobs/run-4", "", [&](int code, std::string) { status = code; });
  });
  cluster.run_until(70);
  EXPECT_TRUE(unknown == 422 || unknown == 503) << unknown;
  EXPECT_EQ(status, 200);
  expect_phase(cluster, {"run-3"}, "done");
  expect_phase(cluster, {"run-4"}, "cancelled");
  expect_rules_kept(cluster);
}

// A controller that the state store refuses alone can't say whether a job was ever accepted.
TEST_P(ChainSubmission, ThroughAControllerTheStateStoreRejects) {
  SimulatedCluster cluster(seeded(GetParam()));
  int status = 0;
  cluster.at(20, [&] { cluster.state_refuses(1, true); });
  cluster.at(21, [&] { cluster.submit(cluster.job("run-1", "red", 1, 1, 5)); });
  cluster.at(24, [&] {
    cluster.raw(1, "POST", "/v1/jobs",
                submission_text(needing(cluster.job("run-2", "red", 1), {"run-1"})),
                [&](int code, std::string) { status = code; });
  });
  cluster.at(30, [&] { cluster.state_refuses(1, false); });
  cluster.at(40, [&] { cluster.submit(needing(cluster.job("run-2", "red", 1), {"run-1"})); });
  cluster.run_until(70);
  EXPECT_EQ(status, 503);
  expect_phase(cluster, {"run-1", "run-2"}, "done");
  expect_rules_kept(cluster);
}

// Half done when all controllers end.
TEST_P(ChainSubmission, BeforeAFullRestart) {
  SimulatedCluster cluster(seeded(GetParam()));
  cluster.at(5, [&] {
    submit_pipeline(cluster, 6);
    cluster.submit_chained(needing(cluster.job("run-4", "red", 2, 1, 3), {"run-1", "run-3"}));
  });
  for (double time_s : {12.5, 30.0})
    cluster.at(time_s, [&] {
      for (int n = 0; n < 3; ++n) cluster.crash(n, 1 + n);
    });
  cluster.run_until(120);
  EXPECT_GE(cluster.lines("crashes"), 6u);
  expect_phase(cluster, {"run-1", "run-2", "run-3", "run-4"}, "done");
  expect_rules_kept(cluster);
}

INSTANTIATE_TEST_SUITE_P(Seeds, ChainSubmission, testing::Values(1, 2, 3));

}  // namespace
