// The machine terminator: durable release, deletion by the cloud, deletion of the key.
#include "fleet/machine_terminator.h"

#include <spdlog/spdlog.h>

#include <utility>

namespace eiderreel {

namespace k = constants;

// Invariant 10: released durably first. A machine that stopped by itself holds nothing that
// could run, so its leader need not be asked; one that never came up has no leader.
void MachineTerminator::release(const std::string& machine, const codec::MachineRecord& record,
                                std::uint64_t revision) {
  if (!changing_.insert(machine).second) return;
  CompareAndSwap commit;
  commit.request_priority = RequestPriority::fleet;
  commit.nonce = state_store_.nonce();
  commit.preconditions = {{codec::machine_key(machine), revision}};
  codec::MachineRecord released = record;
  released.partition = kReleasedPartition;
  commit.writes = {{codec::machine_key(machine), codec::encode(released, commit.nonce), false}};
  commit.done = [this, machine](CasOutcome, std::uint64_t) { changing_.erase(machine); };
  spdlog::info("machine released machine={}", machine);
  state_store_.compare_and_swap(std::move(commit));
}

void MachineTerminator::forget(const std::vector<std::string>& machines) {
  auto next = machines.begin();
  while (next != machines.end()) next = forget_batch(next, machines.end());
}

// Deletes as many keys as one transaction may; returns where the next one begins.
MachineTerminator::Iterator MachineTerminator::forget_batch(Iterator next, Iterator end) {
  const auto& keys = state_store_.view().machines;
  CompareAndSwap commit;
  std::vector<std::string> batch;
  for (; next != end && static_cast<int>(batch.size()) < settings_.max_transaction_writes();
       ++next) {
    const auto key = keys.find(*next);
    if (key == keys.end() || !changing_.insert(*next).second) continue;
    spdlog::info("machine forgotten machine={}", *next);
    terminated_.insert(*next);
    batch.push_back(*next);
    commit.preconditions.push_back({codec::machine_key(*next), key->second.revision});
    commit.writes.push_back({codec::machine_key(*next), "", false});
  }
  if (batch.empty()) return next;
  commit.request_priority = RequestPriority::fleet;
  commit.nonce = state_store_.nonce();
  commit.done = [this, batch](CasOutcome, std::uint64_t) {
    for (const auto& machine : batch) changing_.erase(machine);
  };
  state_store_.compare_and_swap(std::move(commit));
  return next;
}

void MachineTerminator::terminate_released() {
  if (terminating_) return;
  std::vector<std::string> machines;
  std::vector<std::string> already_gone;  // deleted before, but the key is still there
  for (const auto& [id, machine] : state_store_.view().machines) {
    if (machine.record.partition >= 0 || changing_.contains(id)) continue;
    if (is_terminated(id)) {
      already_gone.push_back(id);
    } else if (machines.size() < k::kTerminateMost) {
      machines.push_back(id);
    }
  }
  forget(already_gone);
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
    provisioner_.forget(machine);
  }
  forget(machines);
}

}  // namespace eiderreel
