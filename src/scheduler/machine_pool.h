// The machines of a partition, and how much is not known of them yet.
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

/// Machines that may hold what we do not know of.
struct UnreconciledMachines {
  std::size_t count = 0;      // those that have not sent a heartbeat under our fencing token
  std::size_t on_demand = 0;  // of them, those that are not spot machines
  double cpus = 0;            // of all that may hold unknown tasks, reconciled or not
};

/// Owns the machines and the catalog of their types.
class MachinePool {
 public:
  using Machines = std::unordered_map<std::string, std::unique_ptr<ScheduledMachine>>;

  MachinePool(std::uint64_t fencing_token, Ms claimed_at)
      : fencing_token_(fencing_token), claimed_at_(claimed_at) {}

  /// All machines, by id and in no order.
  Machines::const_iterator begin() const { return machines_.begin(); }
  Machines::const_iterator end() const { return machines_.end(); }
  /// How many machines there are.
  std::size_t size() const { return machines_.size(); }
  /// The machine of that name; null: it is not of this partition.
  ScheduledMachine* find(const std::string& id) const;
  /// All names, in alphabetical order.
  std::vector<std::string> names() const;
  /// Those of these machines that are in the pool, in the order in which they are to be filled: the
  /// most services first, then the fullest, so that others run empty.
  std::vector<std::string> fullest_first(std::vector<std::string> ids) const;

  /// Adds a machine, or takes over a newer revision of its key. `fresh`: it was assigned after our
  /// claim.
  void add(const std::string& id, std::uint64_t revision, bool fresh, Ms now);
  /// Removes a machine; an unknown one is ignored.
  void erase(const std::string& id);
  /// Takes over the types of the cloud's catalog.
  void set_types(const std::vector<MachineType>& types);
  /// The type of that name; null: the catalog has none.
  const MachineType* type(const std::string& name) const;
  /// Of all machine types, seconds.
  double longest_boot_s() const;

  /// The fencing token of the partition.
  std::uint64_t fencing_token() const { return fencing_token_; }
  /// Invariant 2: the fencing token of a machine is the newest revision of its partition's or its
  /// own key.
  std::uint64_t fencing_token_of(const ScheduledMachine& machine) const;

  /// All that runs on the machine is known from now on.
  void mark_reconciled(ScheduledMachine& machine);
  /// Counts tasks of jobs that we do not know; their size and team are unknown until they are gone.
  void add_unknown_tasks(ScheduledMachine& machine, int by);
  /// Counted when it is asked for, as it changes only while machines are heard of for the first
  /// time.
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
