// Placement of tasks: machine, order and preemption.
#include "scheduler/partition_scheduler_fixture.h"

using namespace eiderreel;
using namespace eiderreel::standin;

namespace {

class PartitionSchedulerPlacement : public PartitionSchedulerTest {};

TEST_F(PartitionSchedulerPlacement, OrdersByFairShareThenAge) {
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

// Jobs are ordered by the latest start that meets their deadline; a job that can no longer meet its
// deadline comes last.
TEST_F(PartitionSchedulerPlacement, TightestFeasibleDeadlineGoesFirst) {
  partition.add_machine("m-1", 12, true, 0);
  JobSpec loose = job("run-1", 2), tight = job("run-2", 2), infeasible = job("run-3", 2);
  loose.deadline_s = 100;
  tight.deadline_s = 40;
  infeasible.deadline_s = 10;
  loose.estimate_s = tight.estimate_s = infeasible.estimate_s = 20;
  partition.open_job(infeasible, 11, false, {});
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

TEST_F(PartitionSchedulerPlacement, HonoursOneZoneAndSpreadConstraints) {
  partition.add_machine("m-1", 12, true, 0);
  partition.add_machine("m-2", 12, true, 0);
  JobSpec spread_job = job("run-1", 5);
  spread_job.spread = true;
  partition.open_job(spread_job, 11, false, {});
  partition.on_heartbeat(heartbeat("m-1"), 100);
  EXPECT_EQ(partition.place_tasks("m-1", 100).size(), 3u);
  JobSpec one = job("run-2", 8, "blue");
  one.one_zone = true;
  partition.open_job(one, 12, false, {});
  EXPECT_EQ(partition.place_tasks("m-1", 150).size(), 5u);
  Heartbeat from_other_zone = heartbeat("m-2");
  from_other_zone.zone = "b";
  partition.on_heartbeat(from_other_zone, 200);
  auto starts = partition.place_tasks("m-2", 200);
  ASSERT_EQ(starts.size(), 2u);
  EXPECT_EQ(starts[0].job, "run-1");
}

// A cordoned machine gets no new tasks until the cordon expires; machines that run a service are
// not cordoned.
TEST_F(PartitionSchedulerPlacement, CordonedMachinesTakeNothingNew) {
  partition.add_machine("m-1", 12, true, 0);
  partition.open_job(job("run-1", 1), 11, false, {});
  partition.on_heartbeat(heartbeat("m-1"), 100);
  partition.cordon(8, false, 100);
  EXPECT_TRUE(partition.place_tasks("m-1", 100).empty());
  EXPECT_EQ(partition.place_tasks("m-1", 100 + constants::kCordonTtlMs).size(), 1u);
}

// A production service preempts tasks of lower priority and starts on the freed CPUs, in one reply.
TEST_F(PartitionSchedulerPlacement, ServicePreemptsLowerPrioritiesInOneReply) {
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
  EXPECT_TRUE(partition.place_tasks("m-1", 200).empty());  // first gives other machines a chance
  partition.on_heartbeat(heartbeat("m-1", running), 1200);
  auto commands = partition.place_tasks("m-1", 1200);
  ASSERT_EQ(commands.size(), 3u);
  EXPECT_EQ(commands[0].type, CommandType::kill);
  EXPECT_EQ(commands[1].type, CommandType::kill);
  EXPECT_EQ(commands[2].type, CommandType::launch);
  EXPECT_EQ(commands[2].job, "run-2");
  EXPECT_EQ(commands[0].index, 7u);  // the youngest tasks are preempted
}

// A team reclaims borrowed CPUs from another team up to its own fair share, and no more.
TEST_F(PartitionSchedulerPlacement, FairShareIsReclaimedFromBorrowers) {
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
  EXPECT_EQ(kills, 4);  // red keeps its fair share of four
  EXPECT_EQ(launches, 4);
}

// A job of which no task has started for kStarvationAgeMs goes before all more urgent jobs.
TEST_F(PartitionSchedulerPlacement, StarvedJobGoesFirst) {
  partition.add_machine("m-1", 12, true, 0);
  JobSpec large = job("run-1", 40);
  large.estimate_s = 1000;
  large.deadline_s = 5000;
  partition.open_job(large, 11, false, {}, constants::kStarvationAgeMs + 1000);
  JobSpec tight = job("run-2", 40);
  tight.estimate_s = 5;
  tight.deadline_s = 10;
  partition.open_job(tight, 12, false, {});
  partition.on_heartbeat(heartbeat("m-1"), 100);
  auto starts = partition.place_tasks("m-1", 100);
  ASSERT_FALSE(starts.empty());
  EXPECT_EQ(starts[0].job, "run-1");
}

// Borrowers are preempted no sooner than the objective for starts within the fair share requires.
TEST_F(PartitionSchedulerPlacement, FairShareIsReclaimedInTimeForItsObjective) {
  SchedulingPolicy limits = kLimits;
  limits.fair_share_start_ms = 15000;
  PartitionScheduler scheduler{0, kToken, 0, limits, {{"red", 4, 12, 0, 0}, {"blue", 4, 12, 0, 0}}};
  scheduler.set_types({box()});
  scheduler.add_machine("m-1", 12, true, 0);
  scheduler.open_job(job("run-1", 8, "red"), 11, false, {});
  scheduler.on_heartbeat(heartbeat("m-1", {}, 12), 100);
  const auto running = running_of(scheduler.place_tasks("m-1", 100));
  ASSERT_EQ(running.size(), 8u);
  scheduler.open_job(job("run-2", 4, "blue"), 12, false, {});
  for (Ms now : {1000, 4000, 8000, 12000}) {
    scheduler.on_heartbeat(heartbeat("m-1", running, 12), now);
    EXPECT_TRUE(scheduler.place_tasks("m-1", now).empty()) << now;
  }
  scheduler.on_heartbeat(heartbeat("m-1", running, 12), 13500);
  EXPECT_EQ(scheduler.place_tasks("m-1", 13500).size(), 8u);  // four kills, four launches
}

// No borrower is preempted for tasks that fit on another machine with free capacity, even if that
// machine has not sent a heartbeat since they were queued.
TEST_F(PartitionSchedulerPlacement, NoBorrowerIsPreemptedWhileThereIsFreeCapacityElsewhere) {
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

// CPUs that are reserved during an image fetch do no work, so a machine first starts jobs whose
// image it has cached. A job is passed over for this for at most twice the fetch time.
TEST_F(PartitionSchedulerPlacement, JobsWithACachedImageGoFirstForAWhile) {
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
  // Two jobs are queued; the image of the older one is not cached.
  partition.on_heartbeat(heartbeat("m-1", running_of(starts)), 5000);
  partition.open_job(with_image("run-2", "blue"), 13, false, {});
  partition.on_heartbeat(heartbeat("m-1", running_of(starts)), 10000);
  partition.open_job(with_image("run-3", "red"), 14, false, {});
  auto first_started_after_a_completion = [&](Ms now) {
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
  EXPECT_EQ(first_started_after_a_completion(20000), "run-3");
  partition.close_job("run-3");
  partition.open_job(with_image("run-4", "red"), 15, false, {}, -20000);
  EXPECT_EQ(first_started_after_a_completion(40000), "run-2");
}

// A task waits only briefly for a machine that has its image and free capacity.
TEST_F(PartitionSchedulerPlacement, TaskWaitsBrieflyForAMachineWithItsImage) {
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

// The load report contains the shortest wait objective among the partition's arrays; services don't
// count.
TEST_F(PartitionSchedulerPlacement, LoadIncludesTheShortestWaitObjective) {
  EXPECT_EQ(partition.load(0).start_objective_s, 0);
  JobSpec spec = job("run-1");
  spec.jobclass = "prompt";
  spec.kind = JobKind::service;
  partition.open_job(spec, 11, false, {});
  EXPECT_EQ(partition.load(0).start_objective_s, 0);
  spec.id = "run-2";
  spec.kind = JobKind::array;
  partition.open_job(spec, 12, false, {});
  EXPECT_EQ(partition.load(0).start_objective_s, 60);
}

}  // namespace
