// Transfers machines to other partitions, or releases them to the cloud.
#include "leadership/machine_transfers.h"

#include <spdlog/spdlog.h>

#include <utility>

namespace eiderreel {

namespace k = constants;

// All machines are chosen first, then moved in as few transactions as the size limit of the state
// store allows.
void MachineTransfers::transfer(const peer_rpc::TransferRequest& request) {
  LedPartition* led = led_partitions_.find_acting(request.partition);
  if (!led || request.to_partition == request.partition ||
      request.to_partition >= settings_.partition_count)
    return;
  PartitionScheduler& scheduler = *led->scheduler;
  const LeadershipTerm term = led->term();
  const bool release = request.to_partition < 0;
  Machines batch;
  for (const auto& machine :
       scheduler.idle_machines(request.spot, request.cpus, release, runtime_.now())) {
    if (!state_store_.view().machines.contains(machine) || !scheduler.begin_transfer(machine))
      continue;
    batch.push_back(machine);
    if (static_cast<int>(batch.size()) < settings_.max_transaction_writes()) continue;
    transfer_batch(term, request.to_partition, batch);
    batch.clear();
  }
  if (!batch.empty()) transfer_batch(term, request.to_partition, batch);
}

void MachineTransfers::transfer_batch(const LeadershipTerm& term, int to,
                                      const Machines& machines) {
  const ClusterView& view = state_store_.view();
  CompareAndSwap swap;
  swap.request_priority = RequestPriority::fleet;
  swap.nonce = state_store_.nonce();
  swap.preconditions = {{codec::partition_key(term.partition), term.fencing_token}};
  for (const auto& machine : machines) {
    const auto& entry = view.machines.at(machine);
    codec::MachineRecord record = entry.record;
    record.partition = to;
    swap.preconditions.push_back({codec::machine_key(machine), entry.revision});
    swap.writes.push_back({codec::machine_key(machine), codec::encode(record, swap.nonce), false});
    spdlog::info("machine transfer machine={} from={} to={} fencing_token={}", machine,
                 term.partition, to, term.fencing_token);
  }
  commit(term, machines, std::move(swap));
}

// While the outcome is unknown, the machines stay in transfer, and the same commit is retried until
// it is proven to have succeeded or failed. Otherwise the refusal of a later attempt let the leader
// use the machines again; when the first attempt then took effect, their tasks were started a
// second time while they were still running.
void MachineTransfers::commit(const LeadershipTerm& term, const Machines& machines,
                              CompareAndSwap swap) {
  CompareAndSwap retry_swap = swap;
  retry_swap.in_doubt = true;
  swap.done = [this, term, machines, retry_swap = std::move(retry_swap)](CasOutcome outcome,
                                                                         std::uint64_t) {
    LedPartition* led = led_partitions_.find(term);
    if (!led) return;
    if (outcome == CasOutcome::unknown) return retry(term, machines, retry_swap);
    for (const auto& machine : machines) led->scheduler->cancel_transfer(machine);
  };
  state_store_.compare_and_swap(std::move(swap));
}

void MachineTransfers::retry(const LeadershipTerm& term, const Machines& machines,
                             const CompareAndSwap& swap) {
  runtime_.after(k::kRetryDelayMs, [this, term, machines, swap] {
    if (!led_partitions_.find(term)) return;
    if (led_partitions_.is_acting_leader(term.partition))
      commit(term, machines, swap);
    else
      retry(term, machines, swap);
  });
}

}  // namespace eiderreel
