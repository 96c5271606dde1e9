// Jobs that wait for other jobs, under the faults that meet them. Every day keeps the rules;
// `too_early` and `orphaned` are two of them.
#include "standin/chains.h"

#include <array>

#include "controller/status_report.h"
#include "standin/text.h"

using namespace eiderreel;
using namespace eiderreel::standin;

namespace {

// What a node answers to a poll now, by way of the test's own question.
void poll_into(World& w, int node, const std::string& job, std::string& phase) {
  w.poll_once(node, job, [&phase](int status, const std::string& told) {
    phase = status == 200 ? told : std::to_string(status);
  });
}

std::size_t open_in_partitions(World& w) {
  std::size_t jobs = 0;
  for (int n = 0; n < 3; ++n)
    if (w.node(n))
      for (const auto& [partition, core] : w.node(n)->partition_leader().partitions())
        jobs += core->job_count();
  return jobs;
}

// ------------------------------------------------------------------------------ ordinary days

TEST(Chain, StepsOfThreeTeamsRunOneAfterTheOther) {
  World w(seeded(1));
  std::string waiting;
  w.at(5, [&] { submit_pipeline(w, 5); });
  w.at(9, [&] {
    poll_into(w, 1, "run-3", waiting);
    EXPECT_EQ(open_in_partitions(w), 1u);  // what waits takes part in nothing
    EXPECT_NE(status_json(*w.node(0)).find(R"("job":"run-3","prerequisites":1,"first":["run-2"])"),
              std::string::npos);
  });
  w.run_until(60);
  EXPECT_EQ(waiting, "queued");
  EXPECT_EQ(w.lines("job ready job=run-2"), 1u);
  expect_phase(w, {"run-1", "run-2", "run-3"}, "done");
  expect_rules_kept(w);
}

TEST(Chain, AnInvalidOrUnknownPrerequisiteIsRefused) {
  World w(seeded(1));
  std::map<std::string, int> answers;
  auto submit = [&](const std::string& awaits, const std::string& job = "run-50") {
    std::string text = submission_text(w.job(job, "red", 1));
    text.insert(text.size() - 1, ",\"awaits\":" + awaits);
    w.raw(1, "POST", "/v1/jobs", text,
          [&, awaits](int status, std::string) { answers[awaits] = status; });
  };
  w.at(5, [&] { w.submit(w.job("run-1", "blue", 1, 1, 100)); });
  w.at(8, [&] {
    for (const char* invalid : {"\"run-1\"", "[7]", "[\"job-1\"]", "[[\"run-1\"]]", "{}"})
      submit(invalid);
    submit("[\"run-99\"]");
    submit("[\"run-1\",\"run-99\"]");
    submit("[\"run-50\"]");
    submit("null", "run-51");
    submit("[]", "run-52");
    submit("[\"run-1\",\"run-1\"]", "run-53");
  });
  w.at(12, [&] { submit("[\"run-98\"]", "run-53"); });  // known, whatever it says now
  w.at(12, [&] { submit("[\"not an id\"]", "run-53"); });
  w.run_until(15);
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

TEST(Chain, APrerequisiteOfUnknownStandingIsRefusedAtOnceInAnOutage) {
  World w(seeded(1));
  int status = 0;
  double answered = 0;
  w.at(20, [&] { w.state_outage(true); });
  w.at(22, [&] {
    w.raw(0, "POST", "/v1/jobs", submission_text(needing(w.job("run-2", "red", 1), {"run-1"})),
          [&](int s, std::string) {
            status = s;
            answered = w.now();
          });
  });
  w.run_until(30);
  EXPECT_EQ(status, 503);
  EXPECT_LT(answered, 22.5);
}

// Users set priority and deadline on the last job: what it needs goes before what nobody needs.
TEST(Chain, WhatAnUrgentJobNeedsGoesFirst) {
  Options o = seeded(1);
  o.machines = 2;
  o.capacity = 0;
  World w(o);
  w.at(5, [&] { w.submit(w.job("run-9", "red", 16, 1, 12)); });
  w.at(6, [&] {
    for (int n : {1, 2}) {
      JobSpec first = w.job(id(n), "red", 16, 1, 10);
      first.priority = Priority::best_effort;
      w.submit(first);
    }
  });
  w.at(8, [&] {
    JobSpec last = w.job("run-3", "red", 1, 1, 5);
    last.priority = Priority::high;
    w.submit_chained(needing(last, {"run-2"}));
  });
  w.run_until(29);
  expect_phase(w, {"run-2", "run-3"}, "done");
  EXPECT_NE(w.phase("run-1"), "done");
  expect_rules_kept(w);
}

// ------------------------------------------------------------------------------ cancellations

class ChainCancellation : public Seeds {};

TEST_P(ChainCancellation, OfTheFirstCancelsAllThatNeedIt) {
  World w(seeded(GetParam()));
  std::map<std::string, int> repeated;
  w.at(5, [&] { submit_pipeline(w, 60); });
  w.at(20, [&] { w.cancel("run-1"); });
  for (double t : {20.0, 20.02, 20.1, 25.0})  // submitted during and after
    w.at(t, [&w, t] {
      const int n = 100 + static_cast<int>(t * 100) % 900;
      w.submit_chained(needing(w.job(id(n), "blue", 1), {"run-3"}));
    });
  w.at(35, [&] {
    for (int node = 0; node < 3; ++node)
      w.raw(node, "POST", "/v1/jobs",
            submission_text(needing(w.job("run-3", "gold", 4), {"run-2"})),
            [&](int status, std::string body) { repeated[body] += status == 200; });
  });
  w.run_until(60);
  expect_phase(
      w, {"run-1", "run-2", "run-3", id(100 + 200), id(100 + 202), id(100 + 210), id(100 + 700)},
      "cancelled");
  EXPECT_EQ(repeated[codec::job_status("run-3", {JobPhase::cancelled, 0, 0})], 3);
  EXPECT_EQ(w.keys_under("e/job/"), 0u);  // each has a final record of its own
  EXPECT_EQ(w.keys_under("e/final/"), 7u);
  expect_rules_kept(w);
}

TEST_P(ChainCancellation, OfOneInTheMiddleLeavesWhatItNeeds) {
  World w(seeded(GetParam()));
  w.at(5, [&] { submit_pipeline(w, 10); });
  w.at(9, [&] { w.cancel("run-2"); });
  w.run_until(60);
  expect_phase(w, {"run-1"}, "done");
  expect_phase(w, {"run-2", "run-3"}, "cancelled");
  expect_rules_kept(w);
}

TEST_P(ChainCancellation, OfTheLastCancelsNothingElse) {
  World w(seeded(GetParam()));
  w.at(5, [&] { submit_pipeline(w, 5); });
  w.at(9, [&] { w.cancel("run-3"); });
  w.run_until(60);
  expect_phase(w, {"run-1", "run-2"}, "done");
  expect_phase(w, {"run-3"}, "cancelled");
  expect_rules_kept(w);
}

// A cancellation meets the end of the same job: whichever it is, the jobs after it go the same way.
TEST_P(ChainCancellation, AtTheEndOfAJobDecidesForAllAfterIt) {
  std::size_t done = 0, cancelled = 0;
  for (int offset = 0; offset < 24; ++offset) {
    World w(seeded(GetParam() * 100 + static_cast<std::uint64_t>(offset)));
    w.at(5, [&] { submit_pipeline(w, 5); });
    w.at(9.8 + 0.08 * offset, [&] { w.cancel("run-1"); });
    w.run_until(50);
    const std::string end = w.phase("run-1");
    (end == "done" ? done : cancelled) += 1;
    expect_phase(w, {"run-1", "run-2", "run-3"}, end);
    expect_rules_kept(w, std::to_string(offset));
  }
  EXPECT_GT(done, 0u);
  EXPECT_GT(cancelled, 0u);
}

// The user is told that the first job is cancelled, and then nobody reaches the state store for
// longer than a cancellation may take. Owners that act under votes learn of the end with them.
TEST_P(ChainCancellation, IsKnownToLeadersOfDependentsInAnOutageRightAfterIt) {
  Options o = seeded(GetParam());
  o.cancel_s = 15;
  World w(o);
  std::array<std::string, 3> told;
  w.at(5, [&] { submit_pipeline(w, 300); });
  w.at(20, [&] { w.cancel("run-1"); });
  auto check = std::make_shared<std::function<void()>>();
  double outage_at = -1;
  *check = [&w, &outage_at, &told, check] {
    if (w.confirmed("run-1").node < 0) return w.at(w.now() + 0.002, *check);
    outage_at = w.now();
    w.state_outage(true);
    w.at(w.now() + 12, [&w, &told] {
      for (int node = 0; node < 3; ++node)
        poll_into(w, node, "run-3", told[static_cast<std::size_t>(node)]);
    });
    w.at(w.now() + 30, [&w] { w.state_outage(false); });
  };
  w.at(20.001, [check] { (*check)(); });
  w.run_until(100);
  ASSERT_GT(outage_at, 0);
  for (const auto& phase : told) EXPECT_EQ(phase, "cancelled");
  expect_phase(w, {"run-1", "run-2", "run-3"}, "cancelled");
  expect_rules_kept(w);
  *check = [] {};
}

// As before, and the leader of the dependents is cut off alone first: nobody speaks for it until
// the state store is back.
TEST_P(ChainCancellation, MeetsALeaderOfDependentsThatIsCutOffAndThenAnOutage) {
  Options o = seeded(GetParam());
  o.cancel_s = 15;
  World w(o);
  int refused = -1;
  w.at(5, [&] { submit_pipeline(w, 300); });
  w.at(19, [&] {
    refused = w.leader_of(2);
    w.state_refuses(refused, true);
  });
  w.at(20, [&] { w.cancel("run-1"); });
  w.at(21, [&] { w.state_outage(true); });
  w.at(45, [&] {
    w.state_refuses(refused, false);
    w.state_outage(false);
  });
  for (double t = 20; t < 80; t += 0.5)
    w.at(t, [&w] {
      for (int node = 0; node < 3; ++node) w.poll_once(node, "run-3", [](int, std::string) {});
    });
  w.run_until(110);
  EXPECT_GE(w.confirmed("run-1").at, 20);
  expect_phase(w, {"run-1", "run-2", "run-3"}, "cancelled");
  expect_rules_kept(w);
}

// The commit of a cancellation is held up while the job waits, and the last job that it needs ends
// meanwhile: it is ready, and cancelled all the same.
TEST_P(ChainCancellation, OfAWaitingJobInDoubtStartsNothingWhenTheJobIsReady) {
  World w(seeded(GetParam()));
  w.at(5, [&] { submit_pipeline(w, 9); });
  w.at(13.9, [&] { w.late_writes({1, 3, 3}); });
  w.at(14, [&] { w.cancel_at(w.leader_of(1), "run-2"); });
  w.at(14.2, [&] { w.late_writes({}); });
  w.run_until(60);
  EXPECT_GE(w.without_answer(), 1u);
  EXPECT_EQ(w.lines("job ready job=run-2"), 1u);  // it met
  EXPECT_EQ(w.lines(" runs run-2/"), 0u);
  expect_phase(w, {"run-1"}, "done");
  expect_phase(w, {"run-2", "run-3"}, "cancelled");
  expect_rules_kept(w);
}

// The leader of a dependent can't be reached by the node that is asked, and lags behind it: only a
// final record, or its leader, says that the dependent is cancelled.
TEST_P(ChainCancellation, IsNotToldByANodeThatDoesNotReachTheLeaderOfADependent) {
  World w(seeded(GetParam()));
  std::map<std::string, int> told;
  w.at(5, [&] { submit_pipeline(w, 300); });
  w.at(18, [&] { w.cut({"n0"}, {"n2"}, CutMode::reset); });  // the leader of run-3
  w.at(19.8, [&] { w.state_refuses(2, true); });             // for less than its lease
  w.at(20, [&] { w.cancel_at(0, "run-1"); });
  for (double t = 19; t < 40; t += 0.02)
    w.at(t, [&] {
      for (int node : {0, 1, 2})
        w.poll_once(node, "run-3", [&](int status, const std::string& phase) {
          ++told[status == 200 ? phase : std::to_string(status)];
        });
    });
  w.at(23, [&] { w.state_refuses(2, false); });
  w.at(45, [&] { w.heal(); });
  w.run_until(70);
  EXPECT_GT(told["queued"], 20);
  EXPECT_GT(told["cancelled"], 20);
  EXPECT_GT(told["503"], 5);
  expect_phase(w, {"run-1", "run-2", "run-3"}, "cancelled");
  expect_rules_kept(w);
}

INSTANTIATE_TEST_SUITE_P(Seeds, ChainCancellation, testing::Values(1, 2, 3));

// ----------------------------------------------------------------- ends that meet other troubles

enum class Trouble { leader_ends, dependents_leader_ends, outage, all_end, home_is_back };

class ChainEnd : public testing::TestWithParam<std::tuple<Trouble, std::uint64_t>> {};

// The last prerequisite ends within the second around the trouble, at offsets all through it.
TEST_P(ChainEnd, MeetsATrouble) {
  const auto [trouble, seed] = GetParam();
  std::size_t met = 0;
  for (int offset = 0; offset < 6; ++offset) {
    World w(seeded(seed * 10 + static_cast<std::uint64_t>(offset)));
    double ended = -1;
    const double at = 9.6 + 0.25 * offset;
    if (trouble ==
        Trouble::home_is_back)  // given back to its preferred leader about when run-1 ends
      w.at(at - 7.2, [&w] { w.crash(2, 2); });
    w.at(5, [&] { submit_pipeline(w, 5); });
    w.at(at, [&w, trouble = trouble] {
      const int leader = w.leader_of(trouble == Trouble::leader_ends ? 0 : 1);
      if (trouble == Trouble::leader_ends || trouble == Trouble::dependents_leader_ends)
        w.crash(std::max(leader, 0), 4);
      if (trouble == Trouble::all_end)
        for (int n = 0; n < 3; ++n) w.crash(n, 1 + n);
      if (trouble == Trouble::outage) w.state_outage(true);
    });
    if (trouble == Trouble::outage) w.at(at + 12, [&w] { w.state_outage(false); });
    for (double t = 9; t < 40; t += 0.05)
      w.at(t, [&] {
        if (ended < 0 && w.checker().ready("run-2")) ended = w.now();
      });
    w.run_until(100);
    met += ended > 0 && std::abs(ended - at) < 1.5;
    expect_phase(w, {"run-1", "run-2", "run-3"}, "done");
    expect_rules_kept(w, std::to_string(offset));
  }
  EXPECT_GE(met, 2u);
}

INSTANTIATE_TEST_SUITE_P(
    Troubles, ChainEnd,
    testing::Combine(testing::Values(Trouble::leader_ends, Trouble::dependents_leader_ends,
                                     Trouble::outage, Trouble::all_end, Trouble::home_is_back),
                     testing::Values(1, 2, 3)));

// ------------------------------------------------------------------------- which node is asked

class ChainSubmission : public Seeds {};

// Each job right after the acceptance of the one before, through another node, whose view lags.
TEST_P(ChainSubmission, ThroughNodesThatLagBehind) {
  World w(seeded(GetParam()));
  std::array<int, 6> status{};
  std::function<void(int)> submit = [&](int n) {
    JobSpec job = w.job(id(n), n % 2 ? "red" : "blue", 1, 1, 2);
    if (n > 1) job.prerequisites = {id(n - 1)};
    w.submit(job);
    w.raw(n % 3, "POST", "/v1/jobs", submission_text(job), [&, n](int s, std::string) {
      status[static_cast<std::size_t>(n)] = s;
      if (n < 5) submit(n + 1);
    });
  };
  w.at(5, [&] { submit(1); });
  w.run_until(50);
  for (int n = 1; n <= 5; ++n) {
    EXPECT_TRUE(status[static_cast<std::size_t>(n)] == 201 ||
                status[static_cast<std::size_t>(n)] == 200)
        << n << ": " << status[static_cast<std::size_t>(n)];
    EXPECT_EQ(w.phase(id(n)), "done");
  }
  expect_rules_kept(w);
}

// The last job is submitted when all others are over long since, and no node has read their ends.
TEST_P(ChainSubmission, AfterARestartOfAllWhenTheOthersAreOver) {
  World w(seeded(GetParam()));
  int status = 0, unknown = 0;
  w.at(5, [&] {
    w.submit(w.job("run-1", "red", 2, 1, 3));
    w.submit(w.job("run-2", "blue", 2, 1, 300));
  });
  w.at(10, [&] { w.cancel("run-2"); });
  w.at(30, [&] {
    for (int n = 0; n < 3; ++n) w.crash(n, 2);
  });
  w.at(33, [&] {
    w.submit(needing(w.job("run-3", "gold", 2, 1, 3), {"run-1"}));
    w.submit(needing(w.job("run-4", "gold", 2, 1, 3), {"run-1", "run-2"}));
    w.raw(1, "POST", "/v1/jobs",
          submission_text(needing(w.job("run-5", "gold", 1), {"run-1", "run-77"})),
          [&](int s, std::string) { unknown = s; });
  });
  w.at(36, [&] { w.raw(2, "GET", "/v1/jobs/run-4", "", [&](int s, std::string) { status = s; }); });
  w.run_until(70);
  EXPECT_TRUE(unknown == 422 || unknown == 503) << unknown;
  EXPECT_EQ(status, 200);
  expect_phase(w, {"run-3"}, "done");
  expect_phase(w, {"run-4"}, "cancelled");
  expect_rules_kept(w);
}

// A controller that the state store refuses alone can't say whether a job was ever accepted.
TEST_P(ChainSubmission, ThroughANodeThatTheStateServiceRefuses) {
  World w(seeded(GetParam()));
  int status = 0;
  w.at(20, [&] { w.state_refuses(1, true); });
  w.at(21, [&] { w.submit(w.job("run-1", "red", 1, 1, 5)); });
  w.at(24, [&] {
    w.raw(1, "POST", "/v1/jobs", submission_text(needing(w.job("run-2", "red", 1), {"run-1"})),
          [&](int s, std::string) { status = s; });
  });
  w.at(30, [&] { w.state_refuses(1, false); });
  w.at(40, [&] { w.submit(needing(w.job("run-2", "red", 1), {"run-1"})); });
  w.run_until(70);
  EXPECT_EQ(status, 503);
  expect_phase(w, {"run-1", "run-2"}, "done");
  expect_rules_kept(w);
}

// Half done when all controllers end.
TEST_P(ChainSubmission, BeforeAllControllersAreRestarted) {
  World w(seeded(GetParam()));
  w.at(5, [&] {
    submit_pipeline(w, 6);
    w.submit_chained(needing(w.job("run-4", "red", 2, 1, 3), {"run-1", "run-3"}));
  });
  for (double t : {12.5, 30.0})
    w.at(t, [&] {
      for (int n = 0; n < 3; ++n) w.crash(n, 1 + n);
    });
  w.run_until(120);
  EXPECT_GE(w.lines("crashes"), 6u);
  expect_phase(w, {"run-1", "run-2", "run-3", "run-4"}, "done");
  expect_rules_kept(w);
}

INSTANTIATE_TEST_SUITE_P(Seeds, ChainSubmission, testing::Values(1, 2, 3));

}  // namespace
