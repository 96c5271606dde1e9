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
    MachineType type;
    type.name = "box";
    type.cpus = 8;
    type.memory_gb = 64;
    type.zones = {"a", "b"};
    return type;
  }
  static JobSpec job(const std::string& id, std::uint32_t tasks = 4, const char* team = "red") {
    JobSpec spec;
    spec.id = id;
    spec.team = team;
    spec.tasks = tasks;
    spec.cpus = 1;
    spec.spot = true;
    return spec;
  }
  Heartbeat heartbeat(const std::string& machine, std::vector<TaskStatus> tasks = {},
                      std::uint64_t fencing_token = 0, std::uint64_t incarnation = 1) {
    Heartbeat sent;
    sent.machine = machine;
    sent.addr = "w-" + machine;
    sent.type = "box";
    sent.zone = "a";
    sent.incarnation = incarnation;
    sent.sequence = ++sequence;
    sent.fencing_token = fencing_token ? fencing_token : partition.fencing_token_of(machine);
    sent.tasks = std::move(tasks);
    return sent;
  }
  // What the machine heartbeats once it has obeyed these starts.
  static std::vector<TaskStatus> running_of(const std::vector<Command>& starts) {
    std::vector<TaskStatus> out;
    for (const auto& command : starts)
      out.push_back(task(command.job, command.index, command.attempt));
    return out;
  }
  static TaskStatus task(const std::string& job, std::uint32_t index, std::uint64_t attempt,
                         TaskPhase phase = TaskPhase::running,
                         ExitReason reason = ExitReason::none) {
    return {job, index, attempt, phase, reason};
  }
};

// Invariant 5: after a failover, older jobs wait for proof of every machine of the partition; jobs
// first accepted since then need not.
TEST_F(PartitionSchedulerTest, OnlyJobsFromBeforeAFailoverWaitForEveryMachine) {
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
TEST_F(PartitionSchedulerTest, HeartbeatWithAnOlderFencingTokenIsAnsweredWithPendingKills) {
  partition.add_machine("m-1", 5, false, 0);
  partition.open_job(job("run-1"), 7, true, {});
  partition.open_job(job("run-2"), 8, true, {});
  partition.cancel_job("run-2");
  const HeartbeatReply reply = partition.on_heartbeat(
      heartbeat("m-1",
                {task("run-1", 0, 1), task("run-2", 0, 2, TaskPhase::pulling), task("run-3", 0, 3),
                 task("run-3", 1, 4, TaskPhase::exited, ExitReason::stopped)},
                kToken - 1),
      100);
  EXPECT_EQ(reply.verdict, HeartbeatVerdict::ok);
  ASSERT_EQ(reply.commands.size(), 2u);
  for (const Command& command : reply.commands) {
    EXPECT_EQ(command.type, CommandType::kill);
    EXPECT_EQ(command.grace_s, 0);
  }
  EXPECT_EQ(reply.commands[0].job, "run-2");
  EXPECT_EQ(reply.commands[1].job, "run-3");
  EXPECT_EQ(partition.task_counts().bound, 0u);
  EXPECT_TRUE(partition.place_tasks("m-1", 100).empty());
}

// A heartbeat sent before our fencing token may be minutes late: it proves nothing.
TEST_F(PartitionSchedulerTest, HeartbeatWithAnOlderFencingTokenProvesNothing) {
  partition.add_machine("m-1", 5, false, 0);
  partition.open_job(job("run-1"), 7, true, {});
  HeartbeatReply reply = partition.on_heartbeat(heartbeat("m-1", {}, kToken - 1), 100);
  EXPECT_EQ(reply.verdict, HeartbeatVerdict::ok);
  EXPECT_EQ(reply.fencing_token, kToken);
  EXPECT_TRUE(partition.place_tasks("m-1", 100).empty());
}

TEST_F(PartitionSchedulerTest, RunningTaskIsNotRestartedAfterAFailover) {
  partition.add_machine("m-1", 5, false, 0);
  partition.open_job(job("run-1", 2), 7, true, {});
  partition.on_heartbeat(heartbeat("m-1", {task("run-1", 0, 77)}), 100);
  auto starts = partition.place_tasks("m-1", 100);
  ASSERT_EQ(starts.size(), 1u);
  EXPECT_EQ(starts[0].index, 1u);
}

TEST_F(PartitionSchedulerTest, SilentMachineIsDeadOnlyAfterItsLeaseExpires) {
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
TEST_F(PartitionSchedulerTest, LaunchMissingFromTheNextHeartbeatIsRetried) {
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

TEST_F(PartitionSchedulerTest, DuplicatedAndReorderedHeartbeatsAreIgnored) {
  partition.add_machine("m-1", 12, true, 0);
  partition.open_job(job("run-1", 1), 11, false, {});
  Heartbeat old = heartbeat("m-1");
  partition.on_heartbeat(old, 100);
  auto starts = partition.place_tasks("m-1", 100);
  partition.on_heartbeat(heartbeat("m-1", {task("run-1", 0, starts[0].attempt)}), 200);
  EXPECT_EQ(partition.on_heartbeat(old, 300).verdict, HeartbeatVerdict::stale);
  EXPECT_EQ(partition.status("run-1")->running, 1u);
}

// Invariant 7: `clear` of a done task follows its durable record.
TEST_F(PartitionSchedulerTest, DoneTasksAreClearedOnlyOnceRecorded) {
  partition.add_machine("m-1", 12, true, 0);
  partition.open_job(job("run-1", 2), 11, false, {});
  partition.on_heartbeat(heartbeat("m-1"), 100);
  auto starts = partition.place_tasks("m-1", 100);
  auto done = [&] {
    return heartbeat("m-1",
                     {task("run-1", 0, starts[0].attempt, TaskPhase::exited, ExitReason::done),
                      task("run-1", 1, starts[1].attempt)});
  };
  EXPECT_TRUE(partition.on_heartbeat(done(), 200).commands.empty());
  EXPECT_EQ(partition.unrecorded("run-1"), std::vector<std::uint32_t>{0});
  partition.mark_recorded("run-1", {0});
  auto reply = partition.on_heartbeat(done(), 300);
  ASSERT_EQ(reply.commands.size(), 1u);
  EXPECT_EQ(reply.commands[0].type, CommandType::clear);
}

TEST_F(PartitionSchedulerTest, CancelledJobIsKilledAndCountsAgainstItsQuotaUntilGone) {
  partition.add_machine("m-1", 12, true, 0);
  partition.add_machine("m-2", 12, true, 0);
  partition.open_job(job("run-1", 8), 11, false, {});
  partition.on_heartbeat(heartbeat("m-1"), 100);
  auto starts = partition.place_tasks("m-1", 100);
  ASSERT_EQ(starts.size(), 8u);
  const auto running = running_of(starts);
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
TEST_F(PartitionSchedulerTest, MachinesWithoutHeartbeatCountAgainstTheQuota) {
  partition.add_machine("m-1", 5, false, 0);
  partition.add_machine("m-2", 5, false, 0);
  partition.open_job(job("run-2", 12), 11, false, {});
  partition.on_heartbeat(heartbeat("m-1"), 100);
  EXPECT_EQ(partition.place_tasks("m-1", 100).size(), 4u);  // 12 less the 8 of m-2
}

TEST_F(PartitionSchedulerTest, OrdersByFairShareThenAge) {
  partition.add_machine("m-1", 12, true, 0);
  partition.open_job(job("run-1", 8, "red"), 11, false, {});
  partition.open_job(job("run-2", 8, "blue"), 12, false, {});
  partition.on_heartbeat(heartbeat("m-1"), 100);
  auto starts = partition.place_tasks("m-1", 100);
  ASSERT_EQ(starts.size(), 8u);
  int red = 0;
  for (const auto& command : starts) red += command.job == "run-1";
  EXPECT_EQ(red, 4);
}

// The latest start counts, and what can no longer be in time lets the rest go first.
TEST_F(PartitionSchedulerTest, TightestFeasibleDeadlineGoesFirst) {
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
  auto starts = partition.place_tasks("m-1", 100);
  ASSERT_EQ(starts.size(), 8u);
  EXPECT_EQ(starts[0].job, "run-4");
  EXPECT_EQ(starts[2].job, "run-2");
  EXPECT_EQ(starts[4].job, "run-1");
  EXPECT_EQ(starts[6].job, "run-3");
}

TEST_F(PartitionSchedulerTest, HonoursOneZoneAndSpreadConstraints) {
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
  auto starts = partition.place_tasks("m-2", 200);
  ASSERT_EQ(starts.size(), 2u);
  EXPECT_EQ(starts[0].job, "run-1");
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
TEST_F(PartitionSchedulerTest, ServicePreemptsLowerPrioritiesInOneReply) {
  partition.add_machine("m-1", 12, true, 0);
  partition.open_job(job("run-1", 8), 11, false, {});
  partition.on_heartbeat(heartbeat("m-1"), 100);
  auto starts = partition.place_tasks("m-1", 100);
  ASSERT_EQ(starts.size(), 8u);
  const auto running = running_of(starts);
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
TEST_F(PartitionSchedulerTest, FairShareIsReclaimedFromBorrowers) {
  partition.add_machine("m-1", 12, true, 0);
  partition.open_job(job("run-1", 8, "red"), 11, false, {});
  partition.on_heartbeat(heartbeat("m-1"), 100);
  auto starts = partition.place_tasks("m-1", 100);
  ASSERT_EQ(starts.size(), 8u);
  const auto running = running_of(starts);
  partition.open_job(job("run-2", 8, "blue"), 12, false, {});
  partition.on_heartbeat(heartbeat("m-1", running), 200);
  EXPECT_TRUE(partition.place_tasks("m-1", 200).empty());
  partition.on_heartbeat(heartbeat("m-1", running), 4200);
  auto commands = partition.place_tasks("m-1", 4200);
  int kills = 0, launches = 0;
  for (const auto& command : commands) (command.type == CommandType::kill ? kills : launches)++;
  EXPECT_EQ(kills, 4);  // red keeps its four
  EXPECT_EQ(launches, 4);
}

// The largest job there may be is queued, recorded in chunks and ended.
TEST_F(PartitionSchedulerTest, LargestJobIsQueuedRecordedAndCompleted) {
  partition.add_machine("m-1", 12, true, 0);
  std::vector<std::uint32_t> done;
  for (std::uint32_t i = 0; i < constants::kTasksMax - 1; ++i) done.push_back(i);
  partition.open_job(job("run-1", constants::kTasksMax), 11, false, done);
  partition.on_heartbeat(heartbeat("m-1"), 100);
  auto starts = partition.place_tasks("m-1", 100);
  ASSERT_EQ(starts.size(), 1u);
  EXPECT_EQ(starts[0].index, constants::kTasksMax - 1);
  partition.on_heartbeat(heartbeat("m-1", {task("run-1", starts[0].index, starts[0].attempt,
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
TEST_F(PartitionSchedulerTest, HeartbeatWithAHigherFencingTokenIsStale) {
  partition.add_machine("m-1", 5, false, 0);
  EXPECT_EQ(partition.on_heartbeat(heartbeat("m-1", {}, kToken + 1), 100).verdict,
            HeartbeatVerdict::stale);
}

// Invariant 3: only an idle machine is given away, and nothing starts on it from then on.
TEST_F(PartitionSchedulerTest, OnlyIdleMachinesAreTransferred) {
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
TEST_F(PartitionSchedulerTest, MachineIsProbedWithOneTaskAfterALostReply) {
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
TEST_F(PartitionSchedulerTest, MachineThatReceivesNothingIsNotAnsweredUntilItsLeaseExpires) {
  partition.add_machine("m-1", 12, true, 0);
  partition.add_machine("m-2", 12, true, 0);
  partition.open_job(job("run-1", 1), 11, false, {});
  Ms now = 0;
  for (int i = 0; i < 3; ++i) {
    now += 1000;
    ASSERT_EQ(partition.on_heartbeat(heartbeat("m-1"), now).verdict, HeartbeatVerdict::ok) << i;
    ASSERT_EQ(partition.place_tasks("m-1", now).size(), 1u) << i;
    partition.heartbeat_answered("m-1", now);
  }
  EXPECT_EQ(partition.on_heartbeat(heartbeat("m-1"), 4000).verdict, HeartbeatVerdict::stale);
  EXPECT_EQ(partition.on_heartbeat(heartbeat("m-1"), 9000).verdict, HeartbeatVerdict::stale);
  partition.on_heartbeat(heartbeat("m-2"), 9000);
  partition.heartbeat_answered("m-2", 9000);
  // Its last launch is lost: run-1 waits again, and m-2 may have it.
  EXPECT_EQ(partition.place_tasks("m-2", 9000).size(), 1u);
  EXPECT_EQ(partition.tick(now + 10300), std::vector<std::string>{"m-1"});
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
TEST_F(PartitionSchedulerTest, MachineThatNeverAdoptsTheFencingTokenLosesItsLease) {
  partition.add_machine("m-1", 5, false, 0);
  partition.add_machine("m-2", 5, false, 0);
  partition.open_job(job("run-1", 1), 7, true, {});
  for (Ms now : {1000, 6000}) {
    EXPECT_EQ(partition.on_heartbeat(heartbeat("m-1", {}, kToken - 1), now).verdict,
              HeartbeatVerdict::ok);
    partition.heartbeat_answered("m-1", now);
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
TEST_F(PartitionSchedulerTest, LateDuplicatesProveNothing) {
  partition.add_machine("m-1", 12, true, 0);
  partition.open_job(job("run-1", 8), 11, false, {});
  const Heartbeat empty = heartbeat("m-1");
  partition.on_heartbeat(empty, 100);
  auto starts = partition.place_tasks("m-1", 100);
  ASSERT_EQ(starts.size(), 8u);
  partition.heartbeat_answered("m-1", 100);
  partition.on_heartbeat(heartbeat("m-1", running_of(starts)), 600);
  partition.heartbeat_answered("m-1", 600);
  for (Ms now : {2000, 9000})
    EXPECT_EQ(partition.on_heartbeat(empty, now).verdict, HeartbeatVerdict::stale);
  EXPECT_EQ(partition.status("run-1")->running, 8u);
  EXPECT_EQ(partition.tick(10900).size(), 1u);  // its lease counts from the last true heartbeat
  EXPECT_EQ(partition.on_heartbeat(empty, 30000).verdict, HeartbeatVerdict::stale);
}

// A job that nothing has been started of for long goes before all that is more urgent.
TEST_F(PartitionSchedulerTest, StarvedJobGoesFirst) {
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
  auto starts = partition.place_tasks("m-1", 100);
  ASSERT_FALSE(starts.empty());
  EXPECT_EQ(starts[0].job, "run-1");
}

// Work that borrows is not stopped sooner than the objective of the fair share asks for.
TEST_F(PartitionSchedulerTest, FairShareIsReclaimedInTimeForItsObjective) {
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
TEST_F(PartitionSchedulerTest, NoBorrowerIsPreemptedWhileThereIsFreeCapacityElsewhere) {
  partition.add_machine("m-1", 12, true, 0);
  partition.add_machine("m-2", 12, true, 0);
  partition.open_job(job("run-1", 8, "red"), 11, false, {});
  partition.on_heartbeat(heartbeat("m-1"), 100);
  auto starts = partition.place_tasks("m-1", 100);
  ASSERT_EQ(starts.size(), 8u);
  partition.on_heartbeat(heartbeat("m-2"), 200);
  partition.tick(250);
  partition.open_job(job("run-2", 4, "blue"), 12, false, {});
  partition.on_heartbeat(heartbeat("m-1", running_of(starts)), 300);
  partition.on_heartbeat(heartbeat("m-1", running_of(starts)), 4400);
  EXPECT_TRUE(partition.place_tasks("m-1", 4400).empty());
  EXPECT_EQ(partition.place_tasks("m-2", 4450).size(), 4u);
}

// Room that is held for a fetch does no work: a machine serves first what it has the image of, but
// only within twice the fetch, so that nobody is passed over for long.
TEST_F(PartitionSchedulerTest, JobsWithACachedImageGoFirstForAWhile) {
  MachineType box{"box", 8, 0, 64, 100, 0.1, 1, 1, 10, {"a", "b"}};
  partition.set_types({box});
  partition.add_machine("m-1", 12, true, 0);
  auto with_image = [](const char* id, const char* image) {
    JobSpec spec = job(id, 8);
    spec.image = image;
    spec.image_gb = 1;  // 10 s
    return spec;
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
TEST_F(PartitionSchedulerTest, HeartbeatCostIsIndependentOfPartitionSize) {
  auto steps = [this](int machines) {
    MachineType box{"box", 8, 0, 64, 100, 0.1, 1, 1, 10, {"a", "b"}};
    partition = PartitionScheduler(0, kToken, 0, kLimits, {{"red", 1e6, 1e6, 0, 0}});
    partition.set_types({box});
    std::vector<std::string> ids;
    for (int i = 0; i < machines; ++i) ids.push_back("m-" + std::to_string(i));
    for (const auto& id : ids) partition.add_machine(id, 12, true, 0);
    for (int n = 0; n < 20; ++n) {
      JobSpec spec = job("run-" + std::to_string(n), 2000);
      spec.image = "image-" + std::to_string(n);
      spec.image_gb = 1;
      partition.open_job(spec, 20 + static_cast<std::uint64_t>(n), false, {});
    }
    // Services that have waited long already, and find no room for long.
    for (int n = 20; n < 25; ++n) {
      JobSpec spec = job("run-" + std::to_string(n), 1);
      spec.kind = JobKind::service;
      spec.memory_gb = 65;
      partition.open_job(spec, 20 + static_cast<std::uint64_t>(n), false, {});
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
TEST_F(PartitionSchedulerTest, KnownImagesStayBounded) {
  partition.add_machine("m-1", 12, true, 0);
  for (std::uint64_t n = 0; n < 3 * constants::kImagesKnown; ++n) {
    JobSpec spec = job("run-" + std::to_string(n), 1);
    spec.image = "image-" + std::to_string(n);
    partition.open_job(spec, 20 + n, false, {});
    const Ms now = static_cast<Ms>(n);
    partition.on_heartbeat(heartbeat("m-1"), now);
    partition.tick(now);
    ASSERT_EQ(partition.place_tasks("m-1", now).size(), 1u) << n;
    partition.heartbeat_answered("m-1", now);
    partition.on_heartbeat(
        heartbeat("m-1", {task(spec.id, 0, (12 << constants::kAttemptBits) + n + 1,
                               TaskPhase::exited, ExitReason::done)}),
        now);
    partition.close_job(spec.id);
  }
  EXPECT_LE(partition.images_known(), constants::kImagesKnown + 1);
}

// What the leader hears of stated waits: the shortest among the arrays that the partition has.
TEST_F(PartitionSchedulerTest, LoadIncludesTheShortestWaitObjective) {
  EXPECT_EQ(partition.load(0).wait_s, 0);
  JobSpec spec = job("run-1");
  spec.jobclass = "prompt";
  spec.kind = JobKind::service;
  partition.open_job(spec, 11, false, {});
  EXPECT_EQ(partition.load(0).wait_s, 0);
  spec.id = "run-2";
  spec.kind = JobKind::array;
  partition.open_job(spec, 12, false, {});
  EXPECT_EQ(partition.load(0).wait_s, 60);
}

// A task waits a moment for a free machine that has its image, and no longer.
TEST_F(PartitionSchedulerTest, TaskWaitsBrieflyForAMachineWithItsImage) {
  MachineType box{"box", 8, 0, 64, 100, 0.1, 1, 1, 10, {"a", "b"}};
  partition.set_types({box});
  JobSpec spec = job("run-1", 2);
  spec.image = "red";
  spec.image_gb = 1;
  partition.add_machine("m-1", 12, true, 0);
  partition.open_job(spec, 11, false, {});
  partition.on_heartbeat(heartbeat("m-1"), 100);
  auto starts = partition.place_tasks("m-1", 100);
  ASSERT_EQ(starts.size(), 2u);
  partition.add_machine("m-2", 13, true, 100);
  partition.on_heartbeat(heartbeat("m-1", running_of(starts)), 200);
  partition.on_heartbeat(heartbeat("m-2"), 300);
  partition.tick(300);
  spec.id = "run-2";
  partition.open_job(spec, 14, false, {});
  EXPECT_TRUE(partition.place_tasks("m-2", 400).empty());
  EXPECT_EQ(partition.place_tasks("m-2", 300 + 1250).size(), 2u);
}

}  // namespace
