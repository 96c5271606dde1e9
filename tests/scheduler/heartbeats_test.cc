// How heartbeats, leases and fencing tokens determine the scheduler's view of machines and tasks.
#include "scheduler/partition_scheduler_fixture.h"

using namespace eiderreel;
using namespace eiderreel::standin;

namespace {

class PartitionSchedulerHeartbeats : public PartitionSchedulerTest {};

// Invariant 5: after a failover, a job that was accepted earlier is placed only once every machine
// of the partition has sent a heartbeat; a job accepted after the failover need not wait.
TEST_F(PartitionSchedulerHeartbeats, OnlyJobsFromBeforeAFailoverWaitForEveryMachine) {
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

// The reply to a heartbeat with an older fencing token renews the machine's lease, so it carries
// the pending kills: those of tasks of finished or cancelled jobs. Nothing else of such a heartbeat
// is used.
TEST_F(PartitionSchedulerHeartbeats, HeartbeatWithAnOlderFencingTokenIsAnsweredWithPendingKills) {
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

// A heartbeat with an older fencing token may be minutes late, so it doesn't prove which tasks run
// on the machine.
TEST_F(PartitionSchedulerHeartbeats, HeartbeatWithAnOlderFencingTokenProvesNothing) {
  partition.add_machine("m-1", 5, false, 0);
  partition.open_job(job("run-1"), 7, true, {});
  HeartbeatReply reply = partition.on_heartbeat(heartbeat("m-1", {}, kToken - 1), 100);
  EXPECT_EQ(reply.verdict, HeartbeatVerdict::ok);
  EXPECT_EQ(reply.fencing_token, kToken);
  EXPECT_TRUE(partition.place_tasks("m-1", 100).empty());
}

TEST_F(PartitionSchedulerHeartbeats, RunningTaskIsNotRestartedAfterAFailover) {
  partition.add_machine("m-1", 5, false, 0);
  partition.open_job(job("run-1", 2), 7, true, {});
  partition.on_heartbeat(heartbeat("m-1", {task("run-1", 0, 77)}), 100);
  auto starts = partition.place_tasks("m-1", 100);
  ASSERT_EQ(starts.size(), 1u);
  EXPECT_EQ(starts[0].index, 1u);
}

TEST_F(PartitionSchedulerHeartbeats, SilentMachineIsDeadOnlyAfterItsLeaseExpires) {
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
  // A late heartbeat of the expired incarnation is stale.
  EXPECT_EQ(partition.on_heartbeat(heartbeat("m-1", {task("run-1", 0, 1)}), 10500).verdict,
            HeartbeatVerdict::stale);
}

// Invariant 4: a launch is pending until the next heartbeat of the same incarnation lists the task
// or omits it.
TEST_F(PartitionSchedulerHeartbeats, LaunchMissingFromTheNextHeartbeatIsRetried) {
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

TEST_F(PartitionSchedulerHeartbeats, DuplicatedAndReorderedHeartbeatsAreIgnored) {
  partition.add_machine("m-1", 12, true, 0);
  partition.open_job(job("run-1", 1), 11, false, {});
  Heartbeat first_heartbeat = heartbeat("m-1");
  partition.on_heartbeat(first_heartbeat, 100);
  auto starts = partition.place_tasks("m-1", 100);
  ASSERT_EQ(starts.size(), 1u);
  partition.on_heartbeat(heartbeat("m-1", {task("run-1", 0, starts[0].attempt)}), 200);
  EXPECT_EQ(partition.on_heartbeat(first_heartbeat, 300).verdict, HeartbeatVerdict::stale);
  EXPECT_EQ(partition.status("run-1")->running, 1u);
}

// Invariant 7: `clear` of a done task is sent only after its completion is recorded durably.
TEST_F(PartitionSchedulerHeartbeats, DoneTasksAreClearedOnlyOnceRecorded) {
  partition.add_machine("m-1", 12, true, 0);
  partition.open_job(job("run-1", 2), 11, false, {});
  partition.on_heartbeat(heartbeat("m-1"), 100);
  auto starts = partition.place_tasks("m-1", 100);
  ASSERT_EQ(starts.size(), 2u);
  auto done = [&] {
    return heartbeat("m-1",
                     {task("run-1", 0, starts[0].attempt, TaskPhase::exited, ExitReason::done),
                      task("run-1", 1, starts[1].attempt)});
  };
  EXPECT_TRUE(partition.on_heartbeat(done(), 200).commands.empty());
  EXPECT_EQ(partition.unrecorded_tasks("run-1"), std::vector<std::uint32_t>{0});
  partition.mark_recorded("run-1", {0});
  auto reply = partition.on_heartbeat(done(), 300);
  ASSERT_EQ(reply.commands.size(), 1u);
  EXPECT_EQ(reply.commands[0].type, CommandType::clear);
}

TEST_F(PartitionSchedulerHeartbeats, CancelledJobIsKilledAndCountsAgainstItsQuotaUntilGone) {
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
  // The quota is 12 CPUs: four more tasks fit until a heartbeat shows that the eight have stopped.
  partition.open_job(job("run-2", 8), 12, false, {});
  partition.on_heartbeat(heartbeat("m-2"), 300);
  EXPECT_EQ(partition.place_tasks("m-2", 300).size(), 4u);
  partition.on_heartbeat(heartbeat("m-1"), 1700);
  EXPECT_EQ(partition.place_tasks("m-1", 1700).size(), 4u);
}

// Until a machine has sent a heartbeat, all of its CPUs count against the quota, since tasks may
// run on them.
TEST_F(PartitionSchedulerHeartbeats, MachinesWithoutHeartbeatCountAgainstTheQuota) {
  partition.add_machine("m-1", 5, false, 0);
  partition.add_machine("m-2", 5, false, 0);
  partition.open_job(job("run-2", 12), 11, false, {});
  partition.on_heartbeat(heartbeat("m-1"), 100);
  EXPECT_EQ(partition.place_tasks("m-1", 100).size(), 4u);  // quota of 12 less the 8 CPUs of m-2
}

// Invariant 2: the fencing token is the newest revision of the partition's or the machine's own
// key.
TEST_F(PartitionSchedulerHeartbeats, FencingTokenIsTheNewestRevision) {
  partition.add_machine("m-1", 5, false, 0);
  partition.add_machine("m-2", 15, true, 0);
  EXPECT_EQ(partition.fencing_token_of("m-1"), kToken);
  EXPECT_EQ(partition.fencing_token_of("m-2"), 15u);
  partition.open_job(job("run-1", 1), 11, false, {});
  partition.on_heartbeat(heartbeat("m-2"), 100);
  auto starts = partition.place_tasks("m-2", 100);
  ASSERT_EQ(starts.size(), 1u);
  EXPECT_EQ(starts[0].attempt >> constants::kAttemptCounterBits, 15u);
}

// A worker with a higher fencing token has a newer leader.
TEST_F(PartitionSchedulerHeartbeats, HeartbeatWithAHigherFencingTokenIsStale) {
  partition.add_machine("m-1", 5, false, 0);
  EXPECT_EQ(partition.on_heartbeat(heartbeat("m-1", {}, kToken + 1), 100).verdict,
            HeartbeatVerdict::stale);
}

// Invariant 3: only an idle machine is transferred, and no task starts on it once the transfer
// begins.
TEST_F(PartitionSchedulerHeartbeats, OnlyIdleMachinesAreTransferred) {
  partition.add_machine("m-1", 12, true, 0);
  partition.open_job(job("run-1", 1), 11, false, {});
  partition.on_heartbeat(heartbeat("m-1"), 100);
  ASSERT_EQ(partition.place_tasks("m-1", 100).size(), 1u);
  EXPECT_FALSE(partition.begin_transfer("m-1"));
  partition.on_heartbeat(heartbeat("m-1"), 200);  // the launch was dropped
  EXPECT_TRUE(partition.begin_transfer("m-1"));
  EXPECT_TRUE(partition.place_tasks("m-1", 200).empty());
  partition.cancel_transfer("m-1");
  EXPECT_EQ(partition.place_tasks("m-1", 250).size(), 1u);
}

// After one lost reply the machine is sent a single task as a probe; once a heartbeat lists that
// task, its whole capacity is used again.
TEST_F(PartitionSchedulerHeartbeats, MachineIsProbedWithOneTaskAfterALostReply) {
  partition.add_machine("m-1", 12, true, 0);
  partition.open_job(job("run-1", 8), 11, false, {});
  partition.on_heartbeat(heartbeat("m-1"), 100);
  ASSERT_EQ(partition.place_tasks("m-1", 100).size(), 8u);
  partition.heartbeat_answered("m-1", 100);
  partition.on_heartbeat(heartbeat("m-1"), 1100);
  auto probe = partition.place_tasks("m-1", 1100);
  ASSERT_EQ(probe.size(), 1u);
  partition.heartbeat_answered("m-1", 1100);
  EXPECT_EQ(partition.on_heartbeat(heartbeat("m-1", running_of(probe)), 1600).verdict,
            HeartbeatVerdict::ok);
  EXPECT_EQ(partition.place_tasks("m-1", 1600).size(), 7u);
}

// A machine whose heartbeats arrive but which receives no replies. The controller stops answering
// it with 200, so the lease expires by the controller's clock too; only after that are its tasks
// started elsewhere. After a quarantine it is probed with one task.
TEST_F(PartitionSchedulerHeartbeats, MachineThatReceivesNothingIsNotAnsweredUntilItsLeaseExpires) {
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
  // The last launch on m-1 was lost: run-1 is queued again, and m-2 may start it.
  EXPECT_EQ(partition.place_tasks("m-2", 9000).size(), 1u);
  EXPECT_EQ(partition.tick(now + 10300), std::vector<std::string>{"m-1"});
  // The new incarnation is quarantined, then probed with one task.
  partition.open_job(job("run-2", 4), 12, false, {});
  EXPECT_EQ(partition.on_heartbeat(heartbeat("m-1", {}, 0, 2), 14000).verdict,
            HeartbeatVerdict::ok);
  EXPECT_TRUE(partition.place_tasks("m-1", 14000).empty());
  const Ms later = 4000 + constants::kInitialQuarantineMs;
  EXPECT_EQ(partition.on_heartbeat(heartbeat("m-1", {}, 0, 2), later).verdict,
            HeartbeatVerdict::ok);
  EXPECT_EQ(partition.place_tasks("m-1", later).size(), 1u);
}

// After a failover, a machine that receives no replies never adopts the new fencing token. It is
// answered twice with the token; after that its lease is no longer renewed and expires.
TEST_F(PartitionSchedulerHeartbeats, MachineThatNeverAdoptsTheFencingTokenLosesItsLease) {
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

// A late duplicate of an older heartbeat confirms nothing, renews no lease and frees no capacity.
TEST_F(PartitionSchedulerHeartbeats, LateDuplicatesProveNothing) {
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
  EXPECT_EQ(partition.tick(10900).size(), 1u);  // its lease runs from the last new heartbeat
  EXPECT_EQ(partition.on_heartbeat(empty, 30000).verdict, HeartbeatVerdict::stale);
}

}  // namespace
