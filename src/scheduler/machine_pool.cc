// Adds, removes and ranks the machines of a partition.
#include "scheduler/machine_pool.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "constants.h"
#include "model/machine.h"
#include "scheduler/scheduled_machine.h"

namespace eiderreel {

ScheduledMachine* MachinePool::find(const std::string& id) const {
  const auto found = machines_.find(id);
  return found == machines_.end() ? nullptr : found->second.get();
}

std::vector<std::string> MachinePool::names() const {
  std::vector<std::string> names;
  names.reserve(machines_.size());
  for (const auto& [id, machine] : machines_) names.push_back(id);
  std::sort(names.begin(), names.end());
  return names;
}

std::vector<std::string> MachinePool::fullest_first(std::vector<std::string> ids) const {
  using Rank = std::tuple<FillLevel, double, double>;
  std::vector<std::pair<Rank, std::string>> ranked;
  for (std::string& id : ids)
    if (const ScheduledMachine* machine = find(id))
      ranked.emplace_back(Rank{machine->fill_level(), machine->service_cpus, machine->used.cpus},
                          std::move(id));
  std::sort(ranked.begin(), ranked.end(), std::greater<>());
  ids.clear();
  for (auto& [rank, id] : ranked) ids.push_back(std::move(id));
  return ids;
}

void MachinePool::add(const std::string& id, std::uint64_t revision, bool assigned_after_claim,
                      Ms now) {
  auto& machine = machines_[id];
  if (machine) {
    machine->revision = std::max(machine->revision, revision);
    return;
  }
  machine = std::make_unique<ScheduledMachine>();
  machine->id = id;
  machine->revision = revision;
  machine->reconciled = assigned_after_claim;
  unreconciled_valid_ = false;
  // Invariant 5: no other leader can have replied later than this leader's claim.
  machine->last_ok_reply_at = assigned_after_claim ? now : claimed_at_;
  machine->last_heartbeat = now;
  machine->idle_since = now;
}

void MachinePool::erase(const std::string& id) {
  machines_.erase(id);
  unreconciled_valid_ = false;
}

void MachinePool::set_types(const std::vector<MachineType>& types) {
  for (const MachineType& type : types) types_[type.name] = type;
  for (const auto& [id, machine] : machines_)
    if (const MachineType* known = type(machine->type_name)) machine->type = known;
  unreconciled_valid_ = false;
}

const MachineType* MachinePool::type(const std::string& name) const {
  const auto found = types_.find(name);
  return found == types_.end() ? nullptr : &found->second;
}

double MachinePool::longest_boot_s() const {
  double longest = 0;
  for (const auto& [name, type] : types_) longest = std::max(longest, type.boot_s);
  return longest;
}

std::uint64_t MachinePool::fencing_token_of(const ScheduledMachine& machine) const {
  return std::max(fencing_token_, machine.revision);
}

void MachinePool::mark_reconciled(ScheduledMachine& machine) {
  if (!machine.reconciled) unreconciled_valid_ = false;
  machine.reconciled = true;
}

void MachinePool::add_unknown_tasks(ScheduledMachine& machine, int delta) {
  machine.unknown_tasks += delta;
  unreconciled_valid_ = false;
}

const UnreconciledMachines& MachinePool::unreconciled() {
  if (unreconciled_valid_) return unreconciled_;
  double largest = 0;
  for (const auto& [name, type] : types_) largest = std::max(largest, type.cpus);
  unreconciled_ = {};
  for (const auto& [id, machine] : machines_) {
    if (machine->reconciled && machine->unknown_tasks == 0) continue;
    unreconciled_.cpus += machine->type ? machine->type->cpus : largest;
    if (machine->reconciled) continue;
    ++unreconciled_.count;
    if (!machine->spot) ++unreconciled_.on_demand;
  }
  unreconciled_valid_ = true;
  return unreconciled_;
}

}  // namespace eiderreel
