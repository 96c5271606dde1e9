// Costs and memory that must stay bounded for the largest jobs and partitions.
#include "scheduler/partition_scheduler_fixture.h"

using namespace eiderreel;
using namespace eiderreel::standin;

namespace {

class PartitionSchedulerScale : public PartitionSchedulerTest {};

// The largest permitted job is queued, recorded in chunks and completed.
TEST_F(PartitionSchedulerScale, LargestJobIsQueuedRecordedAndCompleted) {
  partition.add_machine("m-1", 12, true, 0);
  std::vector<std::uint32_t> done;
  for (std::uint32_t i = 0; i < constants::kMaxJobTasks - 1; ++i) done.push_back(i);
  partition.open_job(job("run-1", constants::kMaxJobTasks), 11, false, done);
  partition.on_heartbeat(heartbeat("m-1"), 100);
  auto starts = partition.place_tasks("m-1", 100);
  ASSERT_EQ(starts.size(), 1u);
  EXPECT_EQ(starts[0].index, constants::kMaxJobTasks - 1);
  partition.on_heartbeat(heartbeat("m-1", {task("run-1", starts[0].index, starts[0].attempt,
                                                TaskPhase::exited, ExitReason::done)}),
                         200);
  EXPECT_TRUE(partition.is_complete("run-1"));
  std::size_t recorded = 0;
  for (std::uint32_t first = 0; first < constants::kMaxJobTasks;
       first += constants::kProgressChunkTasks)
    recorded += partition.done_tasks("run-1", first, constants::kProgressChunkTasks).size();
  EXPECT_EQ(recorded, constants::kMaxJobTasks);
}

// The work per heartbeat must not grow with the number of machines in the partition.
TEST_F(PartitionSchedulerScale, HeartbeatCostIsIndependentOfPartitionSize) {
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
    // Services that fit no machine, so that they wait throughout.
    for (int n = 20; n < 25; ++n) {
      JobSpec spec = job("run-" + std::to_string(n), 1);
      spec.kind = JobKind::service;
      spec.memory_gb = 65;
      partition.open_job(spec, 20 + static_cast<std::uint64_t>(n), false, {});
    }
    for (Ms now : {2000, 4000, 6000}) {
      partition.tick(now);
      for (const auto& id : ids) {
        partition.on_heartbeat(heartbeat(id), now);  // lists none of the launched tasks
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

// Every job has an image of its own: the table of images stays bounded, and jobs still start.
TEST_F(PartitionSchedulerScale, KnownImagesStayBounded) {
  partition.add_machine("m-1", 12, true, 0);
  for (std::uint64_t n = 0; n < 3 * constants::kMaxRetainedImages; ++n) {
    JobSpec spec = job("run-" + std::to_string(n), 1);
    spec.image = "image-" + std::to_string(n);
    partition.open_job(spec, 20 + n, false, {});
    const Ms now = static_cast<Ms>(n);
    partition.on_heartbeat(heartbeat("m-1"), now);
    partition.tick(now);
    ASSERT_EQ(partition.place_tasks("m-1", now).size(), 1u) << n;
    partition.heartbeat_answered("m-1", now);
    partition.on_heartbeat(
        heartbeat("m-1", {task(spec.id, 0, (12 << constants::kAttemptCounterBits) + n + 1,
                               TaskPhase::exited, ExitReason::done)}),
        now);
    partition.close_job(spec.id);
  }
  EXPECT_LE(partition.numbered_image_count(), constants::kMaxRetainedImages + 1);
}

}  // namespace
