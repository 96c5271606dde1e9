// The core alone: one partition, told of heartbeats and time.
#include "scheduler/partition_scheduler.h"

#include <gtest/gtest.h>

using namespace eiderreel;

namespace {

constexpr std::uint64_t kToken = 10;
const SchedulingPolicy kLimits{10000, 1000, {{"soon", {{30, 0}}}}, {{"prompt", 60}}};

struct PartitionSchedulerTest : testing::Test {
  PartitionScheduler partition{
      0, kToken, 0, kLimits, {{"red", 4, 12, 0, 0}, {"blue", 4, 12, 0, 0}}};
  std::uint64_t sequence = 0;

  void SetUp() override { partition.set_types({box()}); }
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
  Heartbeat heartbeat(const std::string& m, std::vector<TaskStatus> tasks = {},
                      std::uint64_t fencing_token = 0, std::uint64_t incarnation = 1) {
    Heartbeat r;
    r.machine = m;
    r.addr = "w-" + m;
    r.type = "box";
    r.zone = "a";
    r.incarnation = incarnation;
    r.sequence = ++sequence;
    r.fencing_token = fencing_token ? fencing_token : partition.fencing_token_of(m);
    r.tasks = std::move(tasks);
    return r;
  }
  // What the machine heartbeats once it has obeyed these starts.
  static std::vector<TaskStatus> running_of(const std::vector<Command>& starts) {
    std::vector<TaskStatus> out;
    for (const auto& o : starts) out.push_back(task(o.job, o.index, o.attempt));
    return out;
  }
  static TaskStatus task(const std::string& j, std::uint32_t i, std::uint64_t attempt,
                         TaskPhase p = TaskPhase::running, ExitReason c = ExitReason::none) {
    return {j, i, attempt, p, c};
  }
};

// Invariant 5: after a failover, older jobs wait for proof of every machine of the partition; jobs
// first accepted since then need not.
TEST_F(PartitionSchedulerTest, OlderJobsWaitForEveryMachineNewOnesDoNot) {
  partition.add_machine("m-1", 5, false, 0);
  partition.add_machine("m-2", 5, false, 0);
  partition.open_job(job("run-1"), 7, true, {});
  partition.on_heartbeat(heartbeat("m-1"), 100);
  EXPECT_TRUE(partition.place_tasks("m-1", 100).empty());
  partition.open_job(job("run-2"), 11, false, {});
  auto starts = partition.place_tasks("m-1", 150);
  ASSERT_EQ(starts.size(), 4u);
  EXPECT_EQ(starts[0].job, "run-2");
  partition.on_heartbeat(heartbeat("m-2"), 1300);
  starts = partition.place_tasks("m-2", 1300);
  ASSERT_EQ(starts.size(), 4u);
  EXPECT_EQ(starts[0].job, "run-1");
}

// The answer to a heartbeat from before our fencing token renews a lease, so it carries the kills
// that are owed: those of jobs that are over or cancelled. Nothing else of such a heartbeat is
// believed.
TEST_F(PartitionSchedulerTest,
       AHeartbeatFromBeforeOurFencingTokenIsAnsweredWithTheKillsThatAreOwed) {
  partition.add_machine("m-1", 5, false, 0);
  partition.open_job(job("run-1"), 7, true, {});
  partition.open_job(job("run-2"), 8, true, {});
  partition.cancel_job("run-2");
  const HeartbeatReply a = partition.on_heartbeat(
      heartbeat("m-1",
                {task("run-1", 0, 1), task("run-2", 0, 2, TaskPhase::pulling), task("run-3", 0, 3),
                 task("run-3", 1, 4, TaskPhase::exited, ExitReason::stopped)},
                kToken - 1),
      100);
  EXPECT_EQ(a.verdict, HeartbeatVerdict::ok);
  ASSERT_EQ(a.commands.size(), 2u);
  for (const Command& command : a.commands) {
    EXPECT_EQ(command.type, CommandType::kill);
    EXPECT_EQ(command.grace_s, 0);
  }
  EXPECT_EQ(a.commands[0].job, "run-2");
  EXPECT_EQ(a.commands[1].job, "run-3");
  EXPECT_EQ(partition.task_counts().bound, 0u);
  EXPECT_TRUE(partition.place_tasks("m-1", 100).empty());
}

// A heartbeat sent before our fencing token may be minutes late: it proves nothing.
TEST_F(PartitionSchedulerTest, AHeartbeatFromBeforeOurFencingTokenProvesNothing) {
  partition.add_machine("m-1", 5, false, 0);
  partition.open_job(job("run-1"), 7, true, {});
  HeartbeatReply a = partition.on_heartbeat(heartbeat("m-1", {}, kToken - 1), 100);
  EXPECT_EQ(a.verdict, HeartbeatVerdict::ok);
  EXPECT_EQ(a.fencing_token, kToken);
  EXPECT_TRUE(partition.place_tasks("m-1", 100).empty());
}

TEST_F(PartitionSchedulerTest, ATaskFoundAfterATakeoverIsNotStartedAgain) {
  partition.add_machine("m-1", 5, false, 0);
  partition.open_job(job("run-1", 2), 7, true, {});
  partition.on_heartbeat(heartbeat("m-1", {task("run-1", 0, 77)}), 100);
  auto starts = partition.place_tasks("m-1", 100);
  ASSERT_EQ(starts.size(), 1u);
  EXPECT_EQ(starts[0].index, 1u);
}

TEST_F(PartitionSchedulerTest, ASilentMachineIsGoneOnlyAfterItsLease) {
  partition.add_machine("m-1", 12, true, 0);
  partition.add_machine("m-2", 12, true, 0);
  partition.open_job(job("run-1", 1), 11, false, {});
  partition.on_heartbeat(heartbeat("m-1"), 100);
  ASSERT_EQ(partition.place_tasks("m-1", 100).size(), 1u);
  partition.heartbeat_answered("m-1", 100);
  partition.on_heartbeat(heartbeat("m-2"), 9000);
  partition.heartbeat_answered("m-2", 9000);
  EXPECT_TRUE(partition.tick(10100).empty());
  EXPECT_TRUE(partition.place_tasks("m-2", 10100).empty());
  EXPECT_EQ(partition.tick(10400), std::vector<std::string>{"m-1"});
  EXPECT_EQ(partition.place_tasks("m-2", 10400).size(), 1u);
  // A late heartbeat of the old incarnation is not believed.
  EXPECT_EQ(partition.on_heartbeat(heartbeat("m-1", {task("run-1", 0, 1)}), 10500).verdict,
            HeartbeatVerdict::stale);
}

// Invariant 4: a launch is open until that incarnation's next heartbeat shows or lacks it.
TEST_F(PartitionSchedulerTest, ALaunchThatTheNextHeartbeatLacksIsGivenAgain) {
  partition.add_machine("m-1", 12, true, 0);
  partition.open_job(job("run-1", 1), 11, false, {});
  partition.on_heartbeat(heartbeat("m-1"), 100);
  auto first = partition.place_tasks("m-1", 100);
  ASSERT_EQ(first.size(), 1u);
  EXPECT_TRUE(partition.place_tasks("m-1", 150).empty());
  partition.on_heartbeat(heartbeat("m-1"), 200);
  auto second = partition.place_tasks("m-1", 200);
  ASSERT_EQ(second.size(), 1u);
  EXPECT_GT(second[0].attempt, first[0].attempt);
}

TEST_F(PartitionSchedulerTest, RepeatedAndReorderedHeartbeatsAreHarmless) {
  partition.add_machine("m-1", 12, true, 0);
  partition.open_job(job("run-1", 1), 11, false, {});
  Heartbeat old = heartbeat("m-1");
  partition.on_heartbeat(old, 100);
  auto s = partition.place_tasks("m-1", 100);
  partition.on_heartbeat(heartbeat("m-1", {task("run-1", 0, s[0].attempt)}), 200);
  EXPECT_EQ(partition.on_heartbeat(old, 300).verdict, HeartbeatVerdict::stale);
  EXPECT_EQ(partition.status("run-1")->running, 1u);
}

// Invariant 7: `clear` of a done task follows its durable record.
TEST_F(PartitionSchedulerTest, DoneTasksAreClearedOnlyOnceRecorded) {
  partition.add_machine("m-1", 12, true, 0);
  partition.open_job(job("run-1", 2), 11, false, {});
  partition.on_heartbeat(heartbeat("m-1"), 100);
  auto s = partition.place_tasks("m-1", 100);
  auto done = [&] {
    return heartbeat("m-1", {task("run-1", 0, s[0].attempt, TaskPhase::exited, ExitReason::done),
                             task("run-1", 1, s[1].attempt)});
  };
  EXPECT_TRUE(partition.on_heartbeat(done(), 200).commands.empty());
  EXPECT_EQ(partition.unrecorded("run-1"), std::vector<std::uint32_t>{0});
  partition.mark_recorded("run-1", {0});
  auto a = partition.on_heartbeat(done(), 300);
  ASSERT_EQ(a.commands.size(), 1u);
  EXPECT_EQ(a.commands[0].type, CommandType::clear);
}

TEST_F(PartitionSchedulerTest, ACancelledJobIsKilledAndKeepsItsShareUntilGone) {
  partition.add_machine("m-1", 12, true, 0);
  partition.add_machine("m-2", 12, true, 0);
  partition.open_job(job("run-1", 8), 11, false, {});
  partition.on_heartbeat(heartbeat("m-1"), 100);
  auto s = partition.place_tasks("m-1", 100);
  ASSERT_EQ(s.size(), 8u);
  const auto running = running_of(s);
  partition.on_heartbeat(heartbeat("m-1", running), 200);
  partition.close_job("run-1");
  auto kills = partition.take_kills();
  ASSERT_EQ(kills.size(), 1u);
  EXPECT_EQ(kills[0].commands.size(), 8u);
  // The limit is 12: four more fit while the eight are not seen to be gone.
  partition.open_job(job("run-2", 8), 12, false, {});
  partition.on_heartbeat(heartbeat("m-2"), 300);
  EXPECT_EQ(partition.place_tasks("m-2", 300).size(), 4u);
  partition.on_heartbeat(heartbeat("m-1"), 1700);
  EXPECT_EQ(partition.place_tasks("m-1", 1700).size(), 4u);
}

// Until every machine has been heard of, what may run there counts against the limit.
TEST_F(PartitionSchedulerTest, UnheardMachinesCountAgainstTheLimit) {
  partition.add_machine("m-1", 5, false, 0);
  partition.add_machine("m-2", 5, false, 0);
  partition.open_job(job("run-2", 12), 11, false, {});
  partition.on_heartbeat(heartbeat("m-1"), 100);
  EXPECT_EQ(partition.place_tasks("m-1", 100).size(), 4u);  // 12 less the 8 of m-2
}

TEST_F(PartitionSchedulerTest, FairShareFirstThenOldest) {
  partition.add_machine("m-1", 12, true, 0);
  partition.open_job(job("run-1", 8, "red"), 11, false, {});
  partition.open_job(job("run-2", 8, "blue"), 12, false, {});
  partition.on_heartbeat(heartbeat("m-1"), 100);
  auto s = partition.place_tasks("m-1", 100);
  ASSERT_EQ(s.size(), 8u);
  int red = 0;
  for (const auto& o : s) red += o.job == "run-1";
  EXPECT_EQ(red, 4);
}

// The latest start counts, and what can no longer be in time lets the rest go first.
TEST_F(PartitionSchedulerTest, TheTightestDeadlineThatCanBeMetGoesFirst) {
  partition.add_machine("m-1", 12, true, 0);
  JobSpec loose = job("run-1", 2), tight = job("run-2", 2), lost = job("run-3", 2);
  loose.deadline_s = 100;
  tight.deadline_s = 40;
  lost.deadline_s = 10;
  loose.estimate_s = tight.estimate_s = lost.estimate_s = 20;
  partition.open_job(lost, 11, false, {});
  partition.open_job(loose, 12, false, {});
  partition.open_job(tight, 13, false, {});
  JobSpec soon = job("run-4", 2);
  soon.jobclass = "soon";
  soon.estimate_s = 20;
  partition.open_job(soon, 14, false, {});
  partition.on_heartbeat(heartbeat("m-1"), 100);
  auto s = partition.place_tasks("m-1", 100);
  ASSERT_EQ(s.size(), 8u);
  EXPECT_EQ(s[0].job, "run-4");
  EXPECT_EQ(s[2].job, "run-2");
  EXPECT_EQ(s[4].job, "run-1");
  EXPECT_EQ(s[6].job, "run-3");
}

TEST_F(PartitionSchedulerTest, OneZoneAndApart) {
  partition.add_machine("m-1", 12, true, 0);
  partition.add_machine("m-2", 12, true, 0);
  JobSpec apart = job("run-1", 5);
  apart.spread = true;
  partition.open_job(apart, 11, false, {});
  partition.on_heartbeat(heartbeat("m-1"), 100);
  EXPECT_EQ(partition.place_tasks("m-1", 100).size(), 3u);
  JobSpec one = job("run-2", 8, "blue");
  one.one_zone = true;
  partition.open_job(one, 12, false, {});
  EXPECT_EQ(partition.place_tasks("m-1", 150).size(), 5u);
  Heartbeat far = heartbeat("m-2");
  far.zone = "b";
  partition.on_heartbeat(far, 200);
  auto s = partition.place_tasks("m-2", 200);
  ASSERT_EQ(s.size(), 2u);
  EXPECT_EQ(s[0].job, "run-1");
}

// A machine told to run empty takes nothing new for a while; one with a service is left alone.
TEST_F(PartitionSchedulerTest, CordonedMachinesTakeNothingNew) {
  partition.add_machine("m-1", 12, true, 0);
  partition.open_job(job("run-1", 1), 11, false, {});
  partition.on_heartbeat(heartbeat("m-1"), 100);
  partition.cordon(8, false, 100);
  EXPECT_TRUE(partition.place_tasks("m-1", 100).empty());
  EXPECT_EQ(partition.place_tasks("m-1", 100 + constants::kCordonMs).size(), 1u);
}

// A production service stops lower work here and starts in its room, in one answer.
TEST_F(PartitionSchedulerTest, AServiceTakesTheRoomOfLowerWorkInOneAnswer) {
  partition.add_machine("m-1", 12, true, 0);
  partition.open_job(job("run-1", 8), 11, false, {});
  partition.on_heartbeat(heartbeat("m-1"), 100);
  auto s = partition.place_tasks("m-1", 100);
  ASSERT_EQ(s.size(), 8u);
  const auto running = running_of(s);
  JobSpec service = job("run-2", 1);
  service.kind = JobKind::service;
  service.priority = Priority::production;
  service.cpus = 2;
  partition.open_job(service, 12, false, {});
  partition.on_heartbeat(heartbeat("m-1", running), 200);
  EXPECT_TRUE(partition.place_tasks("m-1", 200).empty());  // a moment for other machines
  partition.on_heartbeat(heartbeat("m-1", running), 1200);
  auto commands = partition.place_tasks("m-1", 1200);
  ASSERT_EQ(commands.size(), 3u);
  EXPECT_EQ(commands[0].type, CommandType::kill);
  EXPECT_EQ(commands[1].type, CommandType::kill);
  EXPECT_EQ(commands[2].type, CommandType::launch);
  EXPECT_EQ(commands[2].job, "run-2");
  EXPECT_EQ(commands[0].index, 7u);  // the youngest go
}

// Within its fair share a team reclaims what another has borrowed, and no more.
TEST_F(PartitionSchedulerTest, AFairShareIsReclaimedFromBorrowers) {
  partition.add_machine("m-1", 12, true, 0);
  partition.open_job(job("run-1", 8, "red"), 11, false, {});
  partition.on_heartbeat(heartbeat("m-1"), 100);
  auto s = partition.place_tasks("m-1", 100);
  ASSERT_EQ(s.size(), 8u);
  const auto running = running_of(s);
  partition.open_job(job("run-2", 8, "blue"), 12, false, {});
  partition.on_heartbeat(heartbeat("m-1", running), 200);
  EXPECT_TRUE(partition.place_tasks("m-1", 200).empty());
  partition.on_heartbeat(heartbeat("m-1", running), 4200);
  auto commands = partition.place_tasks("m-1", 4200);
  int kills = 0, launches = 0;
  for (const auto& o : commands) (o.type == CommandType::kill ? kills : launches)++;
  EXPECT_EQ(kills, 4);  // red keeps its four
  EXPECT_EQ(launches, 4);
}

// The largest job there may be is queued, recorded in chunks and ended.
TEST_F(PartitionSchedulerTest, AHundredThousandTasks) {
  partition.add_machine("m-1", 12, true, 0);
  std::vector<std::uint32_t> done;
  for (std::uint32_t i = 0; i < constants::kTasksMax - 1; ++i) done.push_back(i);
  partition.open_job(job("run-1", constants::kTasksMax), 11, false, done);
  partition.on_heartbeat(heartbeat("m-1"), 100);
  auto s = partition.place_tasks("m-1", 100);
  ASSERT_EQ(s.size(), 1u);
  EXPECT_EQ(s[0].index, constants::kTasksMax - 1);
  partition.on_heartbeat(heartbeat("m-1", {task("run-1", s[0].index, s[0].attempt,
                                                TaskPhase::exited, ExitReason::done)}),
                         200);
  EXPECT_TRUE(partition.is_complete("run-1"));
  std::size_t recorded = 0;
  for (std::uint32_t first = 0; first < constants::kTasksMax;
       first += constants::kProgressChunkTasks)
    recorded += partition.done_tasks("run-1", first, constants::kProgressChunkTasks).size();
  EXPECT_EQ(recorded, constants::kTasksMax);
}

// Invariant 2: the fencing token is the newest revision of the partition's or the machine's own
// key.
TEST_F(PartitionSchedulerTest, FencingTokenIsTheNewestRevision) {
  partition.add_machine("m-1", 5, false, 0);
  partition.add_machine("m-2", 15, true, 0);
  EXPECT_EQ(partition.fencing_token_of("m-1"), kToken);
  EXPECT_EQ(partition.fencing_token_of("m-2"), 15u);
  partition.open_job(job("run-1", 1), 11, false, {});
  partition.on_heartbeat(heartbeat("m-2"), 100);
  auto starts = partition.place_tasks("m-2", 100);
  ASSERT_EQ(starts.size(), 1u);
  EXPECT_EQ(starts[0].attempt >> constants::kAttemptBits, 15u);
}

// A worker above our fencing token has another leader.
TEST_F(PartitionSchedulerTest, AHigherFencingTokenIsNotAnswered) {
  partition.add_machine("m-1", 5, false, 0);
  EXPECT_EQ(partition.on_heartbeat(heartbeat("m-1", {}, kToken + 1), 100).verdict,
            HeartbeatVerdict::stale);
}

// Invariant 3: only an idle machine is given away, and nothing starts on it from then on.
TEST_F(PartitionSchedulerTest, OnlyAnIdleMachineLeaves) {
  partition.add_machine("m-1", 12, true, 0);
  partition.open_job(job("run-1", 1), 11, false, {});
  partition.on_heartbeat(heartbeat("m-1"), 100);
  ASSERT_EQ(partition.place_tasks("m-1", 100).size(), 1u);
  EXPECT_FALSE(partition.begin_transfer("m-1"));
  partition.on_heartbeat(heartbeat("m-1"), 200);  // the launch was dropped
  EXPECT_TRUE(partition.begin_transfer("m-1"));
  EXPECT_TRUE(partition.place_tasks("m-1", 200).empty());
  partition.end_transfer("m-1");
  EXPECT_EQ(partition.place_tasks("m-1", 250).size(), 1u);
}

// One lost answer proves nothing: the machine gets one task, and all it can take once that shows.
TEST_F(PartitionSchedulerTest, ALostAnswerPutsAMachineOnTrial) {
  partition.add_machine("m-1", 12, true, 0);
  partition.open_job(job("run-1", 8), 11, false, {});
  partition.on_heartbeat(heartbeat("m-1"), 100);
  ASSERT_EQ(partition.place_tasks("m-1", 100).size(), 8u);
  partition.heartbeat_answered("m-1", 100);
  partition.on_heartbeat(heartbeat("m-1"), 1100);
  auto trial = partition.place_tasks("m-1", 1100);
  ASSERT_EQ(trial.size(), 1u);
  partition.heartbeat_answered("m-1", 1100);
  EXPECT_EQ(partition.on_heartbeat(heartbeat("m-1", running_of(trial)), 1600).verdict,
            HeartbeatVerdict::ok);
  EXPECT_EQ(partition.place_tasks("m-1", 1600).size(), 7u);
}

// A machine that is heard but does not hear: no 200 any more, so its lease ends by our clock too,
// and its tasks start elsewhere with that proof. Later it is tried with one task.
TEST_F(PartitionSchedulerTest, ADeafMachineGetsNoAnswerUntilItsLeaseIsOver) {
  partition.add_machine("m-1", 12, true, 0);
  partition.add_machine("m-2", 12, true, 0);
  partition.open_job(job("run-1", 1), 11, false, {});
  Ms t = 0;
  for (int i = 0; i < 3; ++i) {
    t += 1000;
    ASSERT_EQ(partition.on_heartbeat(heartbeat("m-1"), t).verdict, HeartbeatVerdict::ok) << i;
    ASSERT_EQ(partition.place_tasks("m-1", t).size(), 1u) << i;
    partition.heartbeat_answered("m-1", t);
  }
  EXPECT_EQ(partition.on_heartbeat(heartbeat("m-1"), 4000).verdict, HeartbeatVerdict::stale);
  EXPECT_EQ(partition.on_heartbeat(heartbeat("m-1"), 9000).verdict, HeartbeatVerdict::stale);
  partition.on_heartbeat(heartbeat("m-2"), 9000);
  partition.heartbeat_answered("m-2", 9000);
  // Its last launch is lost: run-1 waits again, and m-2 may have it.
  EXPECT_EQ(partition.place_tasks("m-2", 9000).size(), 1u);
  EXPECT_EQ(partition.tick(t + 10300), std::vector<std::string>{"m-1"});
  // A new incarnation: shunned for a while, then one task.
  partition.open_job(job("run-2", 4), 12, false, {});
  EXPECT_EQ(partition.on_heartbeat(heartbeat("m-1", {}, 0, 2), 14000).verdict,
            HeartbeatVerdict::ok);
  EXPECT_TRUE(partition.place_tasks("m-1", 14000).empty());
  const Ms later = 4000 + constants::kQuarantineMs;
  EXPECT_EQ(partition.on_heartbeat(heartbeat("m-1", {}, 0, 2), later).verdict,
            HeartbeatVerdict::ok);
  EXPECT_EQ(partition.place_tasks("m-1", later).size(), 1u);
}

// After a failover a deaf machine never shows our fencing token. It is told so twice; then its
// lease runs.
TEST_F(PartitionSchedulerTest, AFencingTokenThatDoesNotFollowIsNotToldForEver) {
  partition.add_machine("m-1", 5, false, 0);
  partition.add_machine("m-2", 5, false, 0);
  partition.open_job(job("run-1", 1), 7, true, {});
  for (Ms t : {1000, 6000}) {
    EXPECT_EQ(partition.on_heartbeat(heartbeat("m-1", {}, kToken - 1), t).verdict,
              HeartbeatVerdict::ok);
    partition.heartbeat_answered("m-1", t);
  }
  EXPECT_EQ(partition.on_heartbeat(heartbeat("m-1", {}, kToken - 1), 11000).verdict,
            HeartbeatVerdict::stale);
  partition.on_heartbeat(heartbeat("m-2"), 11000);
  partition.heartbeat_answered("m-2", 11000);
  EXPECT_TRUE(partition.place_tasks("m-2", 11000).empty());
  EXPECT_EQ(partition.tick(6000 + 10300), std::vector<std::string>{"m-1"});
  partition.on_heartbeat(heartbeat("m-2"), 16500);
  EXPECT_EQ(partition.place_tasks("m-2", 16500).size(), 1u);
}

// A late copy of an older heartbeat is no proof, renews nothing and frees no room.
TEST_F(PartitionSchedulerTest, LateCopiesProveNothing) {
  partition.add_machine("m-1", 12, true, 0);
  partition.open_job(job("run-1", 8), 11, false, {});
  const Heartbeat empty = heartbeat("m-1");
  partition.on_heartbeat(empty, 100);
  auto s = partition.place_tasks("m-1", 100);
  ASSERT_EQ(s.size(), 8u);
  partition.heartbeat_answered("m-1", 100);
  partition.on_heartbeat(heartbeat("m-1", running_of(s)), 600);
  partition.heartbeat_answered("m-1", 600);
  for (Ms t : {2000, 9000})
    EXPECT_EQ(partition.on_heartbeat(empty, t).verdict, HeartbeatVerdict::stale);
  EXPECT_EQ(partition.status("run-1")->running, 8u);
  EXPECT_EQ(partition.tick(10900).size(), 1u);  // its lease counts from the last true heartbeat
  EXPECT_EQ(partition.on_heartbeat(empty, 30000).verdict, HeartbeatVerdict::stale);
}

// A job that nothing has been started of for long goes before all that is more urgent.
TEST_F(PartitionSchedulerTest, AJobThatWaitedTooLongGoesFirst) {
  partition.add_machine("m-1", 12, true, 0);
  JobSpec large = job("run-1", 40);
  large.estimate_s = 1000;
  large.deadline_s = 5000;
  partition.open_job(large, 11, false, {}, constants::kStarvedMs + 1000);
  JobSpec tight = job("run-2", 40);
  tight.estimate_s = 5;
  tight.deadline_s = 10;
  partition.open_job(tight, 12, false, {});
  partition.on_heartbeat(heartbeat("m-1"), 100);
  auto s = partition.place_tasks("m-1", 100);
  ASSERT_FALSE(s.empty());
  EXPECT_EQ(s[0].job, "run-1");
}

// Work that borrows is not stopped sooner than the objective of the fair share asks for.
TEST_F(PartitionSchedulerTest, AFairShareIsReclaimedInTimeForItsObjective) {
  SchedulingPolicy limits = kLimits;
  limits.fair_share_start_ms = 15000;
  PartitionScheduler patient{0, kToken, 0, limits, {{"red", 4, 12, 0, 0}, {"blue", 4, 12, 0, 0}}};
  patient.set_types({box()});
  patient.add_machine("m-1", 12, true, 0);
  patient.open_job(job("run-1", 8, "red"), 11, false, {});
  patient.on_heartbeat(heartbeat("m-1", {}, 12), 100);
  const auto running = running_of(patient.place_tasks("m-1", 100));
  ASSERT_EQ(running.size(), 8u);
  patient.open_job(job("run-2", 4, "blue"), 12, false, {});
  for (Ms now : {1000, 4000, 8000, 12000}) {
    patient.on_heartbeat(heartbeat("m-1", running, 12), now);
    EXPECT_TRUE(patient.place_tasks("m-1", now).empty()) << now;
  }
  patient.on_heartbeat(heartbeat("m-1", running, 12), 13500);
  EXPECT_EQ(patient.place_tasks("m-1", 13500).size(), 8u);  // four stopped, four started
}

// What fits into room that is free elsewhere, on a machine that has not sent a heartbeat since, is
// no reason to stop a borrower.
TEST_F(PartitionSchedulerTest, NoBorrowerIsStoppedWhileThereIsRoomElsewhere) {
  partition.add_machine("m-1", 12, true, 0);
  partition.add_machine("m-2", 12, true, 0);
  partition.open_job(job("run-1", 8, "red"), 11, false, {});
  partition.on_heartbeat(heartbeat("m-1"), 100);
  auto s = partition.place_tasks("m-1", 100);
  ASSERT_EQ(s.size(), 8u);
  partition.on_heartbeat(heartbeat("m-2"), 200);
  partition.tick(250);
  partition.open_job(job("run-2", 4, "blue"), 12, false, {});
  partition.on_heartbeat(heartbeat("m-1", running_of(s)), 300);
  partition.on_heartbeat(heartbeat("m-1", running_of(s)), 4400);
  EXPECT_TRUE(partition.place_tasks("m-1", 4400).empty());
  EXPECT_EQ(partition.place_tasks("m-2", 4450).size(), 4u);
}

// Room that is held for a fetch does no work: a machine serves first what it has the image of, but
// only within twice the fetch, so that nobody is passed over for long.
TEST_F(PartitionSchedulerTest, WhatNeedsNoFetchGoesFirstForAWhile) {
  MachineType box{"box", 8, 0, 64, 100, 0.1, 1, 1, 10, {"a", "b"}};
  partition.set_types({box});
  partition.add_machine("m-1", 12, true, 0);
  auto with_image = [](const char* id, const char* image) {
    JobSpec s = job(id, 8);
    s.image = image;
    s.image_gb = 1;  // 10 s
    return s;
  };
  partition.open_job(with_image("run-1", "red"), 11, false, {});
  partition.on_heartbeat(heartbeat("m-1"), 100);
  partition.tick(100);
  auto starts = partition.place_tasks("m-1", 100);
  ASSERT_EQ(starts.size(), 8u);
  // Two jobs wait, the older one has another image.
  partition.on_heartbeat(heartbeat("m-1", running_of(starts)), 5000);
  partition.open_job(with_image("run-2", "blue"), 13, false, {});
  partition.on_heartbeat(heartbeat("m-1", running_of(starts)), 10000);
  partition.open_job(with_image("run-3", "red"), 14, false, {});
  auto freed = [&](Ms now) {
    auto tasks = running_of(starts);
    tasks.back().phase = TaskPhase::exited;
    tasks.back().exit_reason = ExitReason::done;
    partition.on_heartbeat(heartbeat("m-1", tasks), now);
    partition.heartbeat_answered("m-1", now);
    partition.tick(now);
    auto more = partition.place_tasks("m-1", now);
    starts.pop_back();
    starts.insert(starts.begin(), more.begin(), more.end());
    return more.empty() ? "" : more[0].job;
  };
  EXPECT_EQ(freed(20000), "run-3");
  partition.close_job("run-3");
  partition.open_job(with_image("run-4", "red"), 15, false, {}, -20000);
  EXPECT_EQ(freed(40000), "run-2");
}

// The work for one heartbeat must not grow with the machines of the partition.
TEST_F(PartitionSchedulerTest, AHeartbeatCostsAsMuchInALargePartition) {
  auto steps = [this](int machines) {
    MachineType box{"box", 8, 0, 64, 100, 0.1, 1, 1, 10, {"a", "b"}};
    partition = PartitionScheduler(0, kToken, 0, kLimits, {{"red", 1e6, 1e6, 0, 0}});
    partition.set_types({box});
    std::vector<std::string> ids;
    for (int i = 0; i < machines; ++i) ids.push_back("m-" + std::to_string(i));
    for (const auto& id : ids) partition.add_machine(id, 12, true, 0);
    for (int n = 0; n < 20; ++n) {
      JobSpec s = job("run-" + std::to_string(n), 2000);
      s.image = "image-" + std::to_string(n);
      s.image_gb = 1;
      partition.open_job(s, 20 + static_cast<std::uint64_t>(n), false, {});
    }
    // Services that have waited long already, and find no room for long.
    for (int n = 20; n < 25; ++n) {
      JobSpec s = job("run-" + std::to_string(n), 1);
      s.kind = JobKind::service;
      s.memory_gb = 65;
      partition.open_job(s, 20 + static_cast<std::uint64_t>(n), false, {});
    }
    for (Ms now : {2000, 4000, 6000}) {
      partition.tick(now);
      for (const auto& id : ids) {
        partition.on_heartbeat(heartbeat(id), now);  // whatever was started there is gone
        partition.place_tasks(id, now);
        partition.heartbeat_answered(id, now);
      }
    }
    return static_cast<double>(partition.steps()) / machines;
  };
  const double small = steps(30);
  EXPECT_GT(small, 0);
  EXPECT_LT(steps(300), small * 1.1);
}

// An image for every job: what is known of images stays bounded, and jobs go on starting.
TEST_F(PartitionSchedulerTest, AnImageForEveryJob) {
  partition.add_machine("m-1", 12, true, 0);
  for (std::uint64_t n = 0; n < 3 * constants::kImagesKnown; ++n) {
    JobSpec s = job("run-" + std::to_string(n), 1);
    s.image = "image-" + std::to_string(n);
    partition.open_job(s, 20 + n, false, {});
    const Ms now = static_cast<Ms>(n);
    partition.on_heartbeat(heartbeat("m-1"), now);
    partition.tick(now);
    ASSERT_EQ(partition.place_tasks("m-1", now).size(), 1u) << n;
    partition.heartbeat_answered("m-1", now);
    partition.on_heartbeat(heartbeat("m-1", {task(s.id, 0, (12 << constants::kAttemptBits) + n + 1,
                                                  TaskPhase::exited, ExitReason::done)}),
                           now);
    partition.close_job(s.id);
  }
  EXPECT_LE(partition.images_known(), constants::kImagesKnown + 1);
}

// What the leader hears of stated waits: the shortest among the arrays that the partition has.
TEST_F(PartitionSchedulerTest, TheShortestStatedWaitIsTold) {
  EXPECT_EQ(partition.load(0).wait_s, 0);
  JobSpec s = job("run-1");
  s.jobclass = "prompt";
  s.kind = JobKind::service;
  partition.open_job(s, 11, false, {});
  EXPECT_EQ(partition.load(0).wait_s, 0);
  s.id = "run-2";
  s.kind = JobKind::array;
  partition.open_job(s, 12, false, {});
  EXPECT_EQ(partition.load(0).wait_s, 60);
}

// A task waits a moment for a free machine that has its image, and no longer.
TEST_F(PartitionSchedulerTest, ATaskWaitsAMomentForAMachineWithItsImage) {
  MachineType box{"box", 8, 0, 64, 100, 0.1, 1, 1, 10, {"a", "b"}};
  partition.set_types({box});
  JobSpec s = job("run-1", 2);
  s.image = "red";
  s.image_gb = 1;
  partition.add_machine("m-1", 12, true, 0);
  partition.open_job(s, 11, false, {});
  partition.on_heartbeat(heartbeat("m-1"), 100);
  auto starts = partition.place_tasks("m-1", 100);
  ASSERT_EQ(starts.size(), 2u);
  partition.add_machine("m-2", 13, true, 100);
  partition.on_heartbeat(heartbeat("m-1", running_of(starts)), 200);
  partition.on_heartbeat(heartbeat("m-2"), 300);
  partition.tick(300);
  s.id = "run-2";
  partition.open_job(s, 14, false, {});
  EXPECT_TRUE(partition.place_tasks("m-2", 400).empty());
  EXPECT_EQ(partition.place_tasks("m-2", 300 + 1250).size(), 2u);
}

}  // namespace
