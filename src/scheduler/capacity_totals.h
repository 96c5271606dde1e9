// Free and total CPUs of the machines of a partition.
#pragma once
#include <array>
#include <cstddef>
#include <vector>

#include "constants.h"
#include "scheduler/image_catalog.h"
#include "scheduler/job_queue.h"
#include "scheduler/machine_pool.h"
#include "scheduler/scheduled_job.h"
#include "scheduler/scheduled_machine.h"

namespace eiderreel {

/// Sums of free CPUs over all machines of the partition. The work for one heartbeat must not grow
/// with the number of machines, so `update` computes the sums in one pass per tick, and
/// `add_free_cpus` keeps them current between two passes.
class CapacityTotals {
 public:
  CapacityTotals(const MachinePool& machines, const JobQueue& jobs, const ImageCatalog& images)
      : machines_(machines), jobs_(jobs), images_(images) {}

  /// Recomputes the sums over all machines that accept tasks.
  void update(Ms now);
  /// Adds `cpus`, which a task on this machine has freed (positive) or taken (negative).
  void add_free_cpus(const ScheduledMachine& machine, double cpus);
  /// Drops the sums by image, as `ImageCatalog` assigns new numbers; they are empty until the next
  /// update.
  void forget_images() { free_by_image_.clear(); }
  /// Sets whether the machine is consolidated, and adjusts the sums.
  void set_consolidating(ScheduledMachine& machine, bool consolidating);

  /// Free CPUs of the machine that job arrays can use: without the headroom kept for services, and
  /// rounded down to a multiple of the smallest array task.
  double usable_free_cpus(const ScheduledMachine& machine) const;
  /// CPUs of all machines that accept tasks, as of the last update.
  double total_cpus() const { return total_cpus_; }
  /// CPUs of the largest of these machines.
  double largest_machine_cpus() const { return largest_machine_cpus_; }
  /// Free CPUs on machines that are not consolidated.
  double unconsolidated_free_cpus() const { return unconsolidated_free_cpus_; }
  /// Free CPUs on the machines that the job may use: on-demand ones, and spot ones if it allows
  /// them.
  double free_cpus_for(const ScheduledJob& job) const;
  /// Like `free_cpus_for`, but only on machines that are to be filled before this one.
  double free_cpus_on_fuller_machines(const ScheduledMachine& machine,
                                      const ScheduledJob& job) const;
  /// Whether machines that have the job's image together have enough free CPUs for a task of it.
  bool has_room_with_image(const ScheduledJob& job) const;

  /// Whether idle machines should be returned early to save cost. This holds where the average
  /// slack before a deadline is long compared with the boot time: a replacement is ready before a
  /// job is late.
  bool cost_saving_pays() const;
  /// How long a machine must have been idle before it may be returned to the cloud.
  Ms min_idle_ms() const;

 private:
  using ByFillLevel = std::array<double, kFillLevelCount>;
  ByFillLevel& free_of_kind(bool spot) { return spot ? free_spot_cpus_ : free_on_demand_cpus_; }

  const MachinePool& machines_;
  const JobQueue& jobs_;
  const ImageCatalog& images_;
  ByFillLevel free_on_demand_cpus_{};
  ByFillLevel free_spot_cpus_{};
  double unconsolidated_free_cpus_ = 0;
  double total_cpus_ = 0;
  double largest_machine_cpus_ = 0;
  double smallest_array_task_cpus_ = 0;  // arrays can't use less free room than this; 0: unknown
  std::vector<double> free_by_image_;    // by image number: free CPUs on the machines that have it
};

}  // namespace eiderreel
