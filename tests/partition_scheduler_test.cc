// The core alone: one part, told of reports and time.
#include "scheduler/partition_scheduler.h"

#include <gtest/gtest.h>

using namespace eiderreel;

namespace {

constexpr std::uint64_t kTerm = 10;
const PartLimits kLimits{10000, 1000, {{"soon", {{30, 0}}}}, {{"prompt", 60}}};

struct PartTest : testing::Test {
  Part part{0, kTerm, 0, kLimits, {{"red", 4, 12, 0, 0}, {"blue", 4, 12, 0, 0}}};
  std::uint64_t sequence = 0;

  void SetUp() override { part.set_types({box()}); }
  static MachineType box() {
    MachineType t;
    t.name = "box";
    t.cpus = 8;
    t.memory_gb = 64;
    t.zones = {"a", "b"};
    return t;
  }
  static JobSpec job(const std::string& id, std::uint32_t tasks = 4, const char* team = "red") {
    JobSpec s;
    s.id = id;
    s.team = team;
    s.tasks = tasks;
    s.cpus = 1;
    s.spot = true;
    return s;
  }
  Report report(const std::string& m, std::vector<TaskReport> tasks = {}, std::uint64_t term = 0,
                std::uint64_t session = 1) {
    Report r;
    r.machine = m;
    r.addr = "w-" + m;
    r.type = "box";
    r.zone = "a";
    r.session = session;
    r.sequence = ++sequence;
    r.term = term ? term : part.term_of(m);
    r.tasks = std::move(tasks);
    return r;
  }
  // What the machine reports once it has obeyed these starts.
  static std::vector<TaskReport> running_of(const std::vector<Command>& starts) {
    std::vector<TaskReport> out;
    for (const auto& o : starts) out.push_back(task(o.job, o.index, o.attempt));
    return out;
  }
  static TaskReport task(const std::string& j, std::uint32_t i, std::uint64_t attempt,
                         TaskPhase p = TaskPhase::running, ExitReason c = ExitReason::none) {
    return {j, i, attempt, p, c};
  }
};

// Invariant 5: after a takeover, older jobs wait for proof of every machine of the part; jobs
// first accepted since then need not.
TEST_F(PartTest, OlderJobsWaitForEveryMachineNewOnesDoNot) {
  part.add_machine("m-1", 5, false, 0);
  part.add_machine("m-2", 5, false, 0);
  part.open_job(job("run-1"), 7, true, {});
  part.on_report(report("m-1"), 100);
  EXPECT_TRUE(part.place("m-1", 100).empty());
  part.open_job(job("run-2"), 11, false, {});
  auto starts = part.place("m-1", 150);
  ASSERT_EQ(starts.size(), 4u);
  EXPECT_EQ(starts[0].job, "run-2");
  part.on_report(report("m-2"), 1300);
  starts = part.place("m-2", 1300);
  ASSERT_EQ(starts.size(), 4u);
  EXPECT_EQ(starts[0].job, "run-1");
}

// The answer to a report from before our term renews a lease, so it carries the kills that are
// owed: those of jobs that are over or called off. Nothing else of such a report is believed.
TEST_F(PartTest, AReportFromBeforeOurTermIsAnsweredWithTheKillsThatAreOwed) {
  part.add_machine("m-1", 5, false, 0);
  part.open_job(job("run-1"), 7, true, {});
  part.open_job(job("run-2"), 8, true, {});
  part.cancel_job("run-2");
  const Answer a = part.on_report(
      report("m-1",
             {task("run-1", 0, 1), task("run-2", 0, 2, TaskPhase::pulling), task("run-3", 0, 3),
              task("run-3", 1, 4, TaskPhase::exited, ExitReason::stopped)},
             kTerm - 1),
      100);
  EXPECT_EQ(a.verdict, Verdict::ok);
  ASSERT_EQ(a.commands.size(), 2u);
  for (const Command& command : a.commands) {
    EXPECT_EQ(command.verb, Verb::kill);
    EXPECT_EQ(command.grace_s, 0);
  }
  EXPECT_EQ(a.commands[0].job, "run-2");
  EXPECT_EQ(a.commands[1].job, "run-3");
  EXPECT_EQ(part.count().bound, 0u);
  EXPECT_TRUE(part.place("m-1", 100).empty());
}

// A report sent before our term may be minutes late: it proves nothing.
TEST_F(PartTest, AReportFromBeforeOurTermProvesNothing) {
  part.add_machine("m-1", 5, false, 0);
  part.open_job(job("run-1"), 7, true, {});
  Answer a = part.on_report(report("m-1", {}, kTerm - 1), 100);
  EXPECT_EQ(a.verdict, Verdict::ok);
  EXPECT_EQ(a.term, kTerm);
  EXPECT_TRUE(part.place("m-1", 100).empty());
}

TEST_F(PartTest, ATaskFoundAfterATakeoverIsNotStartedAgain) {
  part.add_machine("m-1", 5, false, 0);
  part.open_job(job("run-1", 2), 7, true, {});
  part.on_report(report("m-1", {task("run-1", 0, 77)}), 100);
  auto starts = part.place("m-1", 100);
  ASSERT_EQ(starts.size(), 1u);
  EXPECT_EQ(starts[0].index, 1u);
}

TEST_F(PartTest, ASilentMachineIsGoneOnlyAfterItsLease) {
  part.add_machine("m-1", 12, true, 0);
  part.add_machine("m-2", 12, true, 0);
  part.open_job(job("run-1", 1), 11, false, {});
  part.on_report(report("m-1"), 100);
  ASSERT_EQ(part.place("m-1", 100).size(), 1u);
  part.answered("m-1", 100);
  part.on_report(report("m-2"), 9000);
  part.answered("m-2", 9000);
  EXPECT_TRUE(part.tick(10100).empty());
  EXPECT_TRUE(part.place("m-2", 10100).empty());
  EXPECT_EQ(part.tick(10400), std::vector<std::string>{"m-1"});
  EXPECT_EQ(part.place("m-2", 10400).size(), 1u);
  // A late report of the old session is not believed.
  EXPECT_EQ(part.on_report(report("m-1", {task("run-1", 0, 1)}), 10500).verdict, Verdict::stale);
}

// Invariant 4: a launch is open until that session's next report shows or lacks it.
TEST_F(PartTest, ALaunchThatTheNextReportLacksIsGivenAgain) {
  part.add_machine("m-1", 12, true, 0);
  part.open_job(job("run-1", 1), 11, false, {});
  part.on_report(report("m-1"), 100);
  auto first = part.place("m-1", 100);
  ASSERT_EQ(first.size(), 1u);
  EXPECT_TRUE(part.place("m-1", 150).empty());
  part.on_report(report("m-1"), 200);
  auto second = part.place("m-1", 200);
  ASSERT_EQ(second.size(), 1u);
  EXPECT_GT(second[0].attempt, first[0].attempt);
}

TEST_F(PartTest, RepeatedAndReorderedReportsAreHarmless) {
  part.add_machine("m-1", 12, true, 0);
  part.open_job(job("run-1", 1), 11, false, {});
  Report old = report("m-1");
  part.on_report(old, 100);
  auto s = part.place("m-1", 100);
  part.on_report(report("m-1", {task("run-1", 0, s[0].attempt)}), 200);
  EXPECT_EQ(part.on_report(old, 300).verdict, Verdict::stale);
  EXPECT_EQ(part.status("run-1")->running, 1u);
}

// Invariant 7: `clear` of a done task follows its durable record.
TEST_F(PartTest, DoneTasksAreClearedOnlyOnceRecorded) {
  part.add_machine("m-1", 12, true, 0);
  part.open_job(job("run-1", 2), 11, false, {});
  part.on_report(report("m-1"), 100);
  auto s = part.place("m-1", 100);
  auto done = [&] {
    return report("m-1", {task("run-1", 0, s[0].attempt, TaskPhase::exited, ExitReason::done),
                          task("run-1", 1, s[1].attempt)});
  };
  EXPECT_TRUE(part.on_report(done(), 200).commands.empty());
  EXPECT_EQ(part.unrecorded("run-1"), std::vector<std::uint32_t>{0});
  part.mark_recorded("run-1", {0});
  auto a = part.on_report(done(), 300);
  ASSERT_EQ(a.commands.size(), 1u);
  EXPECT_EQ(a.commands[0].verb, Verb::clear);
}

TEST_F(PartTest, ACancelledJobIsKilledAndKeepsItsShareUntilGone) {
  part.add_machine("m-1", 12, true, 0);
  part.add_machine("m-2", 12, true, 0);
  part.open_job(job("run-1", 8), 11, false, {});
  part.on_report(report("m-1"), 100);
  auto s = part.place("m-1", 100);
  ASSERT_EQ(s.size(), 8u);
  const auto running = running_of(s);
  part.on_report(report("m-1", running), 200);
  part.close_job("run-1");
  auto kills = part.take_kills();
  ASSERT_EQ(kills.size(), 1u);
  EXPECT_EQ(kills[0].commands.size(), 8u);
  // The limit is 12: four more fit while the eight are not seen to be gone.
  part.open_job(job("run-2", 8), 12, false, {});
  part.on_report(report("m-2"), 300);
  EXPECT_EQ(part.place("m-2", 300).size(), 4u);
  part.on_report(report("m-1"), 1700);
  EXPECT_EQ(part.place("m-1", 1700).size(), 4u);
}

// Until every machine has been heard of, what may run there counts against the limit.
TEST_F(PartTest, UnheardMachinesCountAgainstTheLimit) {
  part.add_machine("m-1", 5, false, 0);
  part.add_machine("m-2", 5, false, 0);
  part.open_job(job("run-2", 12), 11, false, {});
  part.on_report(report("m-1"), 100);
  EXPECT_EQ(part.place("m-1", 100).size(), 4u);  // 12 less the 8 of m-2
}

TEST_F(PartTest, GuaranteeFirstThenOldest) {
  part.add_machine("m-1", 12, true, 0);
  part.open_job(job("run-1", 8, "red"), 11, false, {});
  part.open_job(job("run-2", 8, "blue"), 12, false, {});
  part.on_report(report("m-1"), 100);
  auto s = part.place("m-1", 100);
  ASSERT_EQ(s.size(), 8u);
  int red = 0;
  for (const auto& o : s) red += o.job == "run-1";
  EXPECT_EQ(red, 4);
}

// The latest start counts, and what can no longer be in time lets the rest go first.
TEST_F(PartTest, TheTightestDeadlineThatCanBeMetGoesFirst) {
  part.add_machine("m-1", 12, true, 0);
  JobSpec loose = job("run-1", 2), tight = job("run-2", 2), lost = job("run-3", 2);
  loose.deadline_s = 100;
  tight.deadline_s = 40;
  lost.deadline_s = 10;
  loose.estimate_s = tight.estimate_s = lost.estimate_s = 20;
  part.open_job(lost, 11, false, {});
  part.open_job(loose, 12, false, {});
  part.open_job(tight, 13, false, {});
  JobSpec soon = job("run-4", 2);
  soon.jobclass = "soon";
  soon.estimate_s = 20;
  part.open_job(soon, 14, false, {});
  part.on_report(report("m-1"), 100);
  auto s = part.place("m-1", 100);
  ASSERT_EQ(s.size(), 8u);
  EXPECT_EQ(s[0].job, "run-4");
  EXPECT_EQ(s[2].job, "run-2");
  EXPECT_EQ(s[4].job, "run-1");
  EXPECT_EQ(s[6].job, "run-3");
}

TEST_F(PartTest, OneZoneAndApart) {
  part.add_machine("m-1", 12, true, 0);
  part.add_machine("m-2", 12, true, 0);
  JobSpec apart = job("run-1", 5);
  apart.spread = true;
  part.open_job(apart, 11, false, {});
  part.on_report(report("m-1"), 100);
  EXPECT_EQ(part.place("m-1", 100).size(), 3u);
  JobSpec one = job("run-2", 8, "blue");
  one.one_zone = true;
  part.open_job(one, 12, false, {});
  EXPECT_EQ(part.place("m-1", 150).size(), 5u);
  Report far = report("m-2");
  far.zone = "b";
  part.on_report(far, 200);
  auto s = part.place("m-2", 200);
  ASSERT_EQ(s.size(), 2u);
  EXPECT_EQ(s[0].job, "run-1");
}

// A machine told to run empty takes nothing new for a while; one with a service is left alone.
TEST_F(PartTest, ShedMachinesTakeNothingNew) {
  part.add_machine("m-1", 12, true, 0);
  part.open_job(job("run-1", 1), 11, false, {});
  part.on_report(report("m-1"), 100);
  part.shed(8, false, 100);
  EXPECT_TRUE(part.place("m-1", 100).empty());
  EXPECT_EQ(part.place("m-1", 100 + constants::kShedMs).size(), 1u);
}

// A production service stops lower work here and starts in its room, in one answer.
TEST_F(PartTest, AServiceTakesTheRoomOfLowerWorkInOneAnswer) {
  part.add_machine("m-1", 12, true, 0);
  part.open_job(job("run-1", 8), 11, false, {});
  part.on_report(report("m-1"), 100);
  auto s = part.place("m-1", 100);
  ASSERT_EQ(s.size(), 8u);
  const auto running = running_of(s);
  JobSpec service = job("run-2", 1);
  service.kind = Kind::service;
  service.priority = Priority::production;
  service.cpus = 2;
  part.open_job(service, 12, false, {});
  part.on_report(report("m-1", running), 200);
  EXPECT_TRUE(part.place("m-1", 200).empty());  // a moment for other machines
  part.on_report(report("m-1", running), 1200);
  auto commands = part.place("m-1", 1200);
  ASSERT_EQ(commands.size(), 3u);
  EXPECT_EQ(commands[0].verb, Verb::kill);
  EXPECT_EQ(commands[1].verb, Verb::kill);
  EXPECT_EQ(commands[2].verb, Verb::launch);
  EXPECT_EQ(commands[2].job, "run-2");
  EXPECT_EQ(commands[0].index, 7u);  // the youngest go
}

// Within its guarantee a team reclaims what another has borrowed, and no more.
TEST_F(PartTest, AGuaranteeIsReclaimedFromBorrowers) {
  part.add_machine("m-1", 12, true, 0);
  part.open_job(job("run-1", 8, "red"), 11, false, {});
  part.on_report(report("m-1"), 100);
  auto s = part.place("m-1", 100);
  ASSERT_EQ(s.size(), 8u);
  const auto running = running_of(s);
  part.open_job(job("run-2", 8, "blue"), 12, false, {});
  part.on_report(report("m-1", running), 200);
  EXPECT_TRUE(part.place("m-1", 200).empty());
  part.on_report(report("m-1", running), 4200);
  auto commands = part.place("m-1", 4200);
  int kills = 0, launches = 0;
  for (const auto& o : commands) (o.verb == Verb::kill ? kills : launches)++;
  EXPECT_EQ(kills, 4);  // red keeps its four
  EXPECT_EQ(launches, 4);
}

// The largest job there may be is queued, recorded in chunks and ended.
TEST_F(PartTest, AHundredThousandTasks) {
  part.add_machine("m-1", 12, true, 0);
  std::vector<std::uint32_t> done;
  for (std::uint32_t i = 0; i < constants::kTasksMax - 1; ++i) done.push_back(i);
  part.open_job(job("run-1", constants::kTasksMax), 11, false, done);
  part.on_report(report("m-1"), 100);
  auto s = part.place("m-1", 100);
  ASSERT_EQ(s.size(), 1u);
  EXPECT_EQ(s[0].index, constants::kTasksMax - 1);
  part.on_report(
      report("m-1", {task("run-1", s[0].index, s[0].attempt, TaskPhase::exited, ExitReason::done)}),
      200);
  EXPECT_TRUE(part.complete("run-1"));
  std::size_t recorded = 0;
  for (std::uint32_t first = 0; first < constants::kTasksMax; first += constants::kDoneChunk)
    recorded += part.done_among("run-1", first, constants::kDoneChunk).size();
  EXPECT_EQ(recorded, constants::kTasksMax);
}

// Invariant 2: the term is the newest revision of the part's or the machine's own key.
TEST_F(PartTest, TermIsTheNewestStamp) {
  part.add_machine("m-1", 5, false, 0);
  part.add_machine("m-2", 15, true, 0);
  EXPECT_EQ(part.term_of("m-1"), kTerm);
  EXPECT_EQ(part.term_of("m-2"), 15u);
  part.open_job(job("run-1", 1), 11, false, {});
  part.on_report(report("m-2"), 100);
  auto starts = part.place("m-2", 100);
  ASSERT_EQ(starts.size(), 1u);
  EXPECT_EQ(starts[0].attempt >> constants::kAttemptBits, 15u);
}

// A worker above our term has another owner.
TEST_F(PartTest, AHigherTermIsNotAnswered) {
  part.add_machine("m-1", 5, false, 0);
  EXPECT_EQ(part.on_report(report("m-1", {}, kTerm + 1), 100).verdict, Verdict::stale);
}

// Invariant 3: only an idle machine is given away, and nothing starts on it from then on.
TEST_F(PartTest, OnlyAnIdleMachineLeaves) {
  part.add_machine("m-1", 12, true, 0);
  part.open_job(job("run-1", 1), 11, false, {});
  part.on_report(report("m-1"), 100);
  ASSERT_EQ(part.place("m-1", 100).size(), 1u);
  EXPECT_FALSE(part.begin_leave("m-1"));
  part.on_report(report("m-1"), 200);  // the launch was dropped
  EXPECT_TRUE(part.begin_leave("m-1"));
  EXPECT_TRUE(part.place("m-1", 200).empty());
  part.end_leave("m-1");
  EXPECT_EQ(part.place("m-1", 250).size(), 1u);
}

// One lost answer proves nothing: the machine gets one task, and all it can take once that shows.
TEST_F(PartTest, ALostAnswerPutsAMachineOnTrial) {
  part.add_machine("m-1", 12, true, 0);
  part.open_job(job("run-1", 8), 11, false, {});
  part.on_report(report("m-1"), 100);
  ASSERT_EQ(part.place("m-1", 100).size(), 8u);
  part.answered("m-1", 100);
  part.on_report(report("m-1"), 1100);
  auto trial = part.place("m-1", 1100);
  ASSERT_EQ(trial.size(), 1u);
  part.answered("m-1", 1100);
  EXPECT_EQ(part.on_report(report("m-1", running_of(trial)), 1600).verdict, Verdict::ok);
  EXPECT_EQ(part.place("m-1", 1600).size(), 7u);
}

// A machine that is heard but does not hear: no 200 any more, so its lease ends by our clock too,
// and its tasks start elsewhere with that proof. Later it is tried with one task.
TEST_F(PartTest, ADeafMachineGetsNoAnswerUntilItsLeaseIsOver) {
  part.add_machine("m-1", 12, true, 0);
  part.add_machine("m-2", 12, true, 0);
  part.open_job(job("run-1", 1), 11, false, {});
  Ms t = 0;
  for (int i = 0; i < 3; ++i) {
    t += 1000;
    ASSERT_EQ(part.on_report(report("m-1"), t).verdict, Verdict::ok) << i;
    ASSERT_EQ(part.place("m-1", t).size(), 1u) << i;
    part.answered("m-1", t);
  }
  EXPECT_EQ(part.on_report(report("m-1"), 4000).verdict, Verdict::stale);
  EXPECT_EQ(part.on_report(report("m-1"), 9000).verdict, Verdict::stale);
  part.on_report(report("m-2"), 9000);
  part.answered("m-2", 9000);
  // Its last launch is lost: run-1 waits again, and m-2 may have it.
  EXPECT_EQ(part.place("m-2", 9000).size(), 1u);
  EXPECT_EQ(part.tick(t + 10300), std::vector<std::string>{"m-1"});
  // A new session: shunned for a while, then one task.
  part.open_job(job("run-2", 4), 12, false, {});
  EXPECT_EQ(part.on_report(report("m-1", {}, 0, 2), 14000).verdict, Verdict::ok);
  EXPECT_TRUE(part.place("m-1", 14000).empty());
  const Ms later = 4000 + constants::kQuarantineMs;
  EXPECT_EQ(part.on_report(report("m-1", {}, 0, 2), later).verdict, Verdict::ok);
  EXPECT_EQ(part.place("m-1", later).size(), 1u);
}

// After a takeover a deaf machine never shows our term. It is told so twice; then its lease runs.
TEST_F(PartTest, ATermThatDoesNotFollowIsNotToldForEver) {
  part.add_machine("m-1", 5, false, 0);
  part.add_machine("m-2", 5, false, 0);
  part.open_job(job("run-1", 1), 7, true, {});
  for (Ms t : {1000, 6000}) {
    EXPECT_EQ(part.on_report(report("m-1", {}, kTerm - 1), t).verdict, Verdict::ok);
    part.answered("m-1", t);
  }
  EXPECT_EQ(part.on_report(report("m-1", {}, kTerm - 1), 11000).verdict, Verdict::stale);
  part.on_report(report("m-2"), 11000);
  part.answered("m-2", 11000);
  EXPECT_TRUE(part.place("m-2", 11000).empty());
  EXPECT_EQ(part.tick(6000 + 10300), std::vector<std::string>{"m-1"});
  part.on_report(report("m-2"), 16500);
  EXPECT_EQ(part.place("m-2", 16500).size(), 1u);
}

// A late copy of an older report is no proof, renews nothing and frees no room.
TEST_F(PartTest, LateCopiesProveNothing) {
  part.add_machine("m-1", 12, true, 0);
  part.open_job(job("run-1", 8), 11, false, {});
  const Report empty = report("m-1");
  part.on_report(empty, 100);
  auto s = part.place("m-1", 100);
  ASSERT_EQ(s.size(), 8u);
  part.answered("m-1", 100);
  part.on_report(report("m-1", running_of(s)), 600);
  part.answered("m-1", 600);
  for (Ms t : {2000, 9000}) EXPECT_EQ(part.on_report(empty, t).verdict, Verdict::stale);
  EXPECT_EQ(part.status("run-1")->running, 8u);
  EXPECT_EQ(part.tick(10900).size(), 1u);  // its lease counts from the last true report
  EXPECT_EQ(part.on_report(empty, 30000).verdict, Verdict::stale);
}

// A job that nothing has been started of for long goes before all that is more urgent.
TEST_F(PartTest, AJobThatWaitedTooLongGoesFirst) {
  part.add_machine("m-1", 12, true, 0);
  JobSpec large = job("run-1", 40);
  large.estimate_s = 1000;
  large.deadline_s = 5000;
  part.open_job(large, 11, false, {}, constants::kStarvedMs + 1000);
  JobSpec tight = job("run-2", 40);
  tight.estimate_s = 5;
  tight.deadline_s = 10;
  part.open_job(tight, 12, false, {});
  part.on_report(report("m-1"), 100);
  auto s = part.place("m-1", 100);
  ASSERT_FALSE(s.empty());
  EXPECT_EQ(s[0].job, "run-1");
}

// Work that borrows is not stopped sooner than the aim of the guarantee asks for.
TEST_F(PartTest, AGuaranteeIsReclaimedInTimeForItsAim) {
  PartLimits limits = kLimits;
  limits.guarantee_ms = 15000;
  Part patient{0, kTerm, 0, limits, {{"red", 4, 12, 0, 0}, {"blue", 4, 12, 0, 0}}};
  patient.set_types({box()});
  patient.add_machine("m-1", 12, true, 0);
  patient.open_job(job("run-1", 8, "red"), 11, false, {});
  patient.on_report(report("m-1", {}, 12), 100);
  const auto running = running_of(patient.place("m-1", 100));
  ASSERT_EQ(running.size(), 8u);
  patient.open_job(job("run-2", 4, "blue"), 12, false, {});
  for (Ms now : {1000, 4000, 8000, 12000}) {
    patient.on_report(report("m-1", running, 12), now);
    EXPECT_TRUE(patient.place("m-1", now).empty()) << now;
  }
  patient.on_report(report("m-1", running, 12), 13500);
  EXPECT_EQ(patient.place("m-1", 13500).size(), 8u);  // four stopped, four started
}

// What fits into room that is free elsewhere, on a machine that has not reported since, is no
// reason to stop a borrower.
TEST_F(PartTest, NoBorrowerIsStoppedWhileThereIsRoomElsewhere) {
  part.add_machine("m-1", 12, true, 0);
  part.add_machine("m-2", 12, true, 0);
  part.open_job(job("run-1", 8, "red"), 11, false, {});
  part.on_report(report("m-1"), 100);
  auto s = part.place("m-1", 100);
  ASSERT_EQ(s.size(), 8u);
  part.on_report(report("m-2"), 200);
  part.tick(250);
  part.open_job(job("run-2", 4, "blue"), 12, false, {});
  part.on_report(report("m-1", running_of(s)), 300);
  part.on_report(report("m-1", running_of(s)), 4400);
  EXPECT_TRUE(part.place("m-1", 4400).empty());
  EXPECT_EQ(part.place("m-2", 4450).size(), 4u);
}

// Room that is held for a fetch does no work: a machine serves first what it has the image of, but
// only within twice the fetch, so that nobody is passed over for long.
TEST_F(PartTest, WhatNeedsNoFetchGoesFirstForAWhile) {
  MachineType box{"box", 8, 0, 64, 100, 0.1, 1, 1, 10, {"a", "b"}};
  part.set_types({box});
  part.add_machine("m-1", 12, true, 0);
  auto with_image = [](const char* id, const char* image) {
    JobSpec s = job(id, 8);
    s.image = image;
    s.image_gb = 1;  // 10 s
    return s;
  };
  part.open_job(with_image("run-1", "red"), 11, false, {});
  part.on_report(report("m-1"), 100);
  part.tick(100);
  auto starts = part.place("m-1", 100);
  ASSERT_EQ(starts.size(), 8u);
  // Two jobs wait, the older one has another image.
  part.on_report(report("m-1", running_of(starts)), 5000);
  part.open_job(with_image("run-2", "blue"), 13, false, {});
  part.on_report(report("m-1", running_of(starts)), 10000);
  part.open_job(with_image("run-3", "red"), 14, false, {});
  auto freed = [&](Ms now) {
    auto tasks = running_of(starts);
    tasks.back().phase = TaskPhase::exited;
    tasks.back().exit_reason = ExitReason::done;
    part.on_report(report("m-1", tasks), now);
    part.answered("m-1", now);
    part.tick(now);
    auto more = part.place("m-1", now);
    starts.pop_back();
    starts.insert(starts.begin(), more.begin(), more.end());
    return more.empty() ? "" : more[0].job;
  };
  EXPECT_EQ(freed(20000), "run-3");
  part.close_job("run-3");
  part.open_job(with_image("run-4", "red"), 15, false, {}, -20000);
  EXPECT_EQ(freed(40000), "run-2");
}

// The work for one report must not grow with the machines of the part.
TEST_F(PartTest, AReportCostsAsMuchInALargePart) {
  auto steps = [this](int machines) {
    MachineType box{"box", 8, 0, 64, 100, 0.1, 1, 1, 10, {"a", "b"}};
    part = Part(0, kTerm, 0, kLimits, {{"red", 1e6, 1e6, 0, 0}});
    part.set_types({box});
    std::vector<std::string> ids;
    for (int i = 0; i < machines; ++i) ids.push_back("m-" + std::to_string(i));
    for (const auto& id : ids) part.add_machine(id, 12, true, 0);
    for (int n = 0; n < 20; ++n) {
      JobSpec s = job("run-" + std::to_string(n), 2000);
      s.image = "image-" + std::to_string(n);
      s.image_gb = 1;
      part.open_job(s, 20 + static_cast<std::uint64_t>(n), false, {});
    }
    // Services that have waited long already, and find no room for long.
    for (int n = 20; n < 25; ++n) {
      JobSpec s = job("run-" + std::to_string(n), 1);
      s.kind = Kind::service;
      s.memory_gb = 65;
      part.open_job(s, 20 + static_cast<std::uint64_t>(n), false, {});
    }
    for (Ms now : {2000, 4000, 6000}) {
      part.tick(now);
      for (const auto& id : ids) {
        part.on_report(report(id), now);  // whatever was started there is gone
        part.place(id, now);
        part.answered(id, now);
      }
    }
    return static_cast<double>(part.steps()) / machines;
  };
  const double small = steps(30);
  EXPECT_GT(small, 0);
  EXPECT_LT(steps(300), small * 1.1);
}

// An image for every job: what is known of images stays bounded, and jobs go on starting.
TEST_F(PartTest, AnImageForEveryJob) {
  part.add_machine("m-1", 12, true, 0);
  for (std::uint64_t n = 0; n < 3 * constants::kImagesKnown; ++n) {
    JobSpec s = job("run-" + std::to_string(n), 1);
    s.image = "image-" + std::to_string(n);
    part.open_job(s, 20 + n, false, {});
    const Ms now = static_cast<Ms>(n);
    part.on_report(report("m-1"), now);
    part.tick(now);
    ASSERT_EQ(part.place("m-1", now).size(), 1u) << n;
    part.answered("m-1", now);
    part.on_report(report("m-1", {task(s.id, 0, (12 << constants::kAttemptBits) + n + 1,
                                       TaskPhase::exited, ExitReason::done)}),
                   now);
    part.close_job(s.id);
  }
  EXPECT_LE(part.images_known(), constants::kImagesKnown + 1);
}

// What the leader hears of stated waits: the shortest among the arrays that the part has.
TEST_F(PartTest, TheShortestStatedWaitIsTold) {
  EXPECT_EQ(part.need(0).wait_s, 0);
  JobSpec s = job("run-1");
  s.jobclass = "prompt";
  s.kind = Kind::service;
  part.open_job(s, 11, false, {});
  EXPECT_EQ(part.need(0).wait_s, 0);
  s.id = "run-2";
  s.kind = Kind::array;
  part.open_job(s, 12, false, {});
  EXPECT_EQ(part.need(0).wait_s, 60);
}

// A task waits a moment for a free machine that has its image, and no longer.
TEST_F(PartTest, ATaskWaitsAMomentForAMachineWithItsImage) {
  MachineType box{"box", 8, 0, 64, 100, 0.1, 1, 1, 10, {"a", "b"}};
  part.set_types({box});
  JobSpec s = job("run-1", 2);
  s.image = "red";
  s.image_gb = 1;
  part.add_machine("m-1", 12, true, 0);
  part.open_job(s, 11, false, {});
  part.on_report(report("m-1"), 100);
  auto starts = part.place("m-1", 100);
  ASSERT_EQ(starts.size(), 2u);
  part.add_machine("m-2", 13, true, 100);
  part.on_report(report("m-1", running_of(starts)), 200);
  part.on_report(report("m-2"), 300);
  part.tick(300);
  s.id = "run-2";
  part.open_job(s, 14, false, {});
  EXPECT_TRUE(part.place("m-2", 400).empty());
  EXPECT_EQ(part.place("m-2", 300 + 1250).size(), 2u);
}

}  // namespace
