// Implements the machine terminator: releases a machine durably, then has the cloud delete it, then
// deletes its key.
#include "fleet/machine_terminator.h"

#include <spdlog/spdlog.h>

#include <utility>

namespace eiderreel {

namespace k = constants;

// Invariant 10: a machine is released durably before the cloud deletes it. The leader of its
// partition need not be asked: a machine that failed runs no tasks, and a machine that never
// finished starting belongs to no partition.
void MachineTerminator::release(const std::string& machine, const codec::MachineRecord& record,
                                std::uint64_t revision) {
  if (!pending_commits_.insert(machine).second) return;
  CompareAndSwap commit;
  commit.request_priority = RequestPriority::fleet;
  commit.nonce = state_store_.nonce();
  commit.preconditions = {{codec::machine_key(machine), revision}};
  codec::MachineRecord released = record;
  released.partition = kReleasedPartition;
  commit.writes = {{codec::machine_key(machine), codec::encode(released, commit.nonce), false}};
  commit.done = [this, machine](CasOutcome, std::uint64_t) { pending_commits_.erase(machine); };
  spdlog::info("machine released machine={}", machine);
  state_store_.compare_and_swap(std::move(commit));
}

void MachineTerminator::delete_keys(const std::vector<std::string>& machines) {
  auto next = machines.begin();
  while (next != machines.end()) next = delete_key_batch(next, machines.end());
}

// Deletes as many keys as fit into one transaction. Returns the position of the next batch.
MachineTerminator::Iterator MachineTerminator::delete_key_batch(Iterator next, Iterator end) {
  const auto& keys = state_store_.view().machines;
  CompareAndSwap commit;
  std::vector<std::string> batch;
  for (; next != end && static_cast<int>(batch.size()) < settings_.max_transaction_writes();
       ++next) {
    const auto key = keys.find(*next);
    if (key == keys.end() || !pending_commits_.insert(*next).second) continue;
    spdlog::info("machine record deletion machine={}", *next);
    terminated_.insert(*next);
    batch.push_back(*next);
    commit.preconditions.push_back({codec::machine_key(*next), key->second.revision});
    commit.writes.push_back({codec::machine_key(*next), "", false});
  }
  if (batch.empty()) return next;
  commit.request_priority = RequestPriority::fleet;
  commit.nonce = state_store_.nonce();
  commit.done = [this, batch](CasOutcome, std::uint64_t) {
    for (const auto& machine : batch) pending_commits_.erase(machine);
  };
  state_store_.compare_and_swap(std::move(commit));
  return next;
}

void MachineTerminator::terminate_released() {
  if (terminating_) return;
  std::vector<std::string> machines;
  std::vector<std::string> already_terminated;  // deleted by the cloud, but the key still exists
  for (const auto& [id, machine] : state_store_.view().machines) {
    if (machine.record.partition >= 0 || pending_commits_.contains(id)) continue;
    if (is_terminated(id)) {
      already_terminated.push_back(id);
    } else if (machines.size() < k::kMaxTerminateMachines) {
      machines.push_back(id);
    }
  }
  delete_keys(already_terminated);
  if (machines.empty()) return;
  terminating_ = true;
  cloud_.terminate(machines, [this, machines](const CloudResult<void>& result) {
    terminating_ = false;
    if (result) on_terminated(machines);
  });
}

void MachineTerminator::on_terminated(const std::vector<std::string>& machines) {
  terminated_count_ += machines.size();
  terminated_hook_(machines);
  for (const auto& machine : machines) {
    spdlog::info("machine terminated machine={}", machine);
    provisioner_.remove(machine);
  }
  delete_keys(machines);
}

}  // namespace eiderreel
