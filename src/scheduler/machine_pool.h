// The machines of a partition, and totals of those whose tasks are not fully known yet.
#pragma once
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "constants.h"
#include "model/machine.h"
#include "scheduler/scheduled_machine.h"

namespace eiderreel {

/// Totals of the machines that may run tasks which this leader doesn't know.
struct UnreconciledMachines {
  std::size_t count = 0;      // those without a heartbeat that carries this leader's fencing token
  std::size_t on_demand = 0;  // those of `count` that are not spot machines
  double cpus = 0;            // of all machines that may run unknown tasks, reconciled or not
};

/// Owns the machines and the catalog of their types.
class MachinePool {
 public:
  using Machines = std::unordered_map<std::string, std::unique_ptr<ScheduledMachine>>;

  MachinePool(std::uint64_t fencing_token, Ms claimed_at)
      : fencing_token_(fencing_token), claimed_at_(claimed_at) {}

  /// Iterates over all machines with their ids, in no particular order.
  Machines::const_iterator begin() const { return machines_.begin(); }
  Machines::const_iterator end() const { return machines_.end(); }
  /// The number of machines.
  std::size_t size() const { return machines_.size(); }
  /// The machine with this id; null if it is not in this partition.
  ScheduledMachine* find(const std::string& id) const;
  /// The ids of all machines, in alphabetical order.
  std::vector<std::string> names() const;
  /// Those of these machines that are in the pool, in the order in which they are to be filled:
  /// machines with services first, by CPUs of services, then the fullest, so that the others run
  /// empty.
  std::vector<std::string> fullest_first(std::vector<std::string> ids) const;

  /// Adds a machine, or updates the revision of its key if it is newer. `assigned_after_claim`: it
  /// was assigned to the partition after this leader's claim.
  void add(const std::string& id, std::uint64_t revision, bool assigned_after_claim, Ms now);
  /// Removes a machine; an unknown id is ignored.
  void erase(const std::string& id);
  /// Adds or replaces machine types, as listed in the cloud's catalog.
  void set_types(const std::vector<MachineType>& types);
  /// The machine type with this name; null if it is not in the catalog.
  const MachineType* type(const std::string& name) const;
  /// The longest boot time of all machine types, in seconds.
  double longest_boot_s() const;

  /// The fencing token of the partition.
  std::uint64_t fencing_token() const { return fencing_token_; }
  /// The fencing token of a machine. Invariant 2: it is the higher of the revisions of the
  /// machine's own key and of its partition's.
  std::uint64_t fencing_token_of(const ScheduledMachine& machine) const;

  /// Marks the machine as reconciled: all its tasks are known from now on.
  void mark_reconciled(ScheduledMachine& machine);
  /// Adds `delta` to the machine's number of tasks of unknown jobs; the size and the team of such
  /// tasks are unknown as long as they run.
  void add_unknown_tasks(ScheduledMachine& machine, int delta);
  /// Totals of the machines that may run unknown tasks. Cached, and computed anew on the first call
  /// after a change: changes are rare once all machines are reconciled.
  const UnreconciledMachines& unreconciled();

 private:
  std::uint64_t fencing_token_;
  Ms claimed_at_;
  Machines machines_;
  std::map<std::string, MachineType> types_;
  UnreconciledMachines unreconciled_;
  bool unreconciled_valid_ = false;
};

}  // namespace eiderreel
