// What the machines of a partition come to together.
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

/// Sums of free CPUs. The work for one heartbeat must not grow with the machines of the partition,
/// so `update` adds them up in one pass a tick, and `add_free` keeps them up to date between two
/// passes.
class CapacityTotals {
 public:
  CapacityTotals(const MachinePool& machines, const JobQueue& jobs, const ImageCatalog& images)
      : machines_(machines), jobs_(jobs), images_(images) {}

  /// Adds up all machines that take work.
  void update(Ms now);
  /// A task here has taken (negative) or given back so many CPUs.
  void add_free(const ScheduledMachine& machine, double cpus);
  /// Image numbers are given anew: nothing is known of them until the next update.
  void forget_images() { with_image_.clear(); }
  /// Sets whether the machine is being consolidated.
  void set_consolidating(ScheduledMachine& machine, bool consolidating);

  /// Free CPUs of the machine that arrays can use.
  double usable_free_cpus(const ScheduledMachine& machine) const;
  /// CPUs of all machines that take work, at the last update.
  double total_cpus() const { return total_cpus_; }
  /// CPUs of the largest of them.
  double largest_machine_cpus() const { return largest_machine_cpus_; }
  /// Free CPUs on machines that are not consolidated.
  double free_in_use() const { return free_in_use_; }
  /// Free CPUs on machines of the kinds that the job may use.
  double free_for(const ScheduledJob& job) const;
  /// The same on machines that are to be filled before this one.
  double free_on_fuller_machines(const ScheduledMachine& machine, const ScheduledJob& job) const;
  /// Whether machines that have the job's image have room for a task of it.
  bool free_with_image(const ScheduledJob& job) const;

  /// Whether a machine let go costs little: where the usual slack before a deadline is long beside
  /// a boot time, it is there again before a job is late.
  bool cost_saving() const;
  /// How long a machine must have been idle before it may be given back.
  Ms idle_keep_ms() const;

 private:
  using ByFillLevel = std::array<double, kFillLevelCount>;
  ByFillLevel& free_of_kind(bool spot) { return spot ? free_spot_ : free_on_demand_; }

  const MachinePool& machines_;
  const JobQueue& jobs_;
  const ImageCatalog& images_;
  ByFillLevel free_on_demand_{};
  ByFillLevel free_spot_{};
  double free_in_use_ = 0;
  double total_cpus_ = 0;
  double largest_machine_cpus_ = 0;
  double smallest_array_task_ = 0;  // less room than that is of no use to arrays; 0: unknown
  std::vector<double> with_image_;  // free on those machines that have it, by image
};

}  // namespace eiderreel
