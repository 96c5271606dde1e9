// Implements the machine assigner: chooses a partition for each new machine and commits the choice.
#include "fleet/machine_assigner.h"

#include <spdlog/spdlog.h>

#include <cstddef>
#include <utility>

#include "fleet/fair_share.h"
#include "runtime/http_status.h"

namespace eiderreel {

namespace k = constants;

void MachineAssigner::PartitionShare::assign(double cpus, bool spot) {
  all.assigned += cpus;
  if (!spot) on_demand.assigned += cpus;
}

void MachineAssigner::enqueue(const Heartbeat& heartbeat, Reply reply) {
  const auto [entry, is_new] = pending_assignments_.try_emplace(heartbeat.machine);
  const Reply superseded_reply = std::exchange(entry->second.reply, std::move(reply));
  entry->second.heartbeat = heartbeat;
  if (!is_new) superseded_reply(http_status::kServiceUnavailable, "");
}

std::vector<MachineAssigner::PartitionShare> MachineAssigner::partition_shares() const {
  std::vector<PartitionShare> shares(static_cast<std::size_t>(settings_.partition_count));
  const auto add_record = [&](const codec::MachineRecord& record) {
    const MachineType* type = catalog_.find(record.type);
    if (record.partition < 0 || record.partition >= settings_.partition_count || !type) return;
    shares[static_cast<std::size_t>(record.partition)].assign(type->cpus, record.spot);
  };
  for (const auto& [id, machine] : state_store_.view().machines) add_record(machine.record);
  for (const auto& [id, assignment] : pending_assignments_)
    if (assignment.committing) add_record(assignment.record);
  const auto loads = partition_leader_.partition_loads();
  for (int i = 0; i < settings_.partition_count; ++i) {
    PartitionShare& share = shares[static_cast<std::size_t>(i)];
    share.weight = fair_share_cpus_of(settings_, i);
    const auto found = loads.find(i);
    if (found == loads.end()) continue;
    const PartitionLoad& load = found->second;
    share.on_demand.requested =
        (load.used_service_cpus + load.waiting_service_cpus) * k::kServiceCapacityFactor +
        load.waiting_cpus - load.waiting_spot_cpus;
    share.all.requested = load.used_cpus + load.waiting_cpus;
  }
  return shares;
}

// Chooses the partition with the highest ratio of requested to assigned CPUs. For on-demand
// machines only the work that cannot run on spot machines counts, mostly services. A base by fair
// share is added to each request so that no partition is left without machines.
int MachineAssigner::choose_partition(std::vector<PartitionShare>& shares, double cpus, bool spot) {
  double all_weights = 0;
  double all_cpus = cpus;
  for (const PartitionShare& share : shares) {
    all_weights += share.weight;
    all_cpus += share.capacity_for(spot).assigned;
  }
  std::size_t best = 0;
  double best_ratio = -1;
  for (std::size_t i = 0; i < shares.size(); ++i) {
    const Capacity& capacity = shares[i].capacity_for(spot);
    const double base_cpus = k::kFairShareBaseShare * all_cpus * shares[i].weight / all_weights;
    const double ratio = (capacity.requested + base_cpus) / (capacity.assigned + cpus);
    if (ratio <= best_ratio) continue;
    best = i;
    best_ratio = ratio;
  }
  shares[best].assign(cpus, spot);
  return static_cast<int>(best);
}

void MachineAssigner::assign_all() {
  std::vector<std::string> batch;
  std::vector<PartitionShare> current_shares;  // computed when the first machine needs it
  for (auto& [id, assignment] : pending_assignments_) {
    if (assignment.committing) continue;
    if (current_shares.empty()) current_shares = partition_shares();
    const Heartbeat& heartbeat = assignment.heartbeat;
    const MachineType* type = catalog_.find(heartbeat.type);
    const int partition = choose_partition(current_shares, type ? type->cpus : 1, heartbeat.spot);
    assignment.record = {partition, heartbeat.type, heartbeat.zone, heartbeat.addr, heartbeat.spot};
    assignment.committing = true;
    batch.push_back(id);
    if (static_cast<int>(batch.size()) < settings_.max_transaction_writes()) continue;
    commit_assignments(batch);
    batch.clear();
  }
  if (!batch.empty()) commit_assignments(batch);
}

// Invariant 3: machines that are assigned together share a transaction, and each has its own key.
void MachineAssigner::commit_assignments(const std::vector<std::string>& machines) {
  CompareAndSwap commit;
  commit.request_priority = RequestPriority::fleet;
  commit.nonce = state_store_.nonce();
  for (const auto& id : machines) {
    const std::string key = codec::machine_key(id);
    commit.preconditions.push_back({key, 0});
    commit.writes.push_back(
        {key, codec::encode(pending_assignments_.at(id).record, commit.nonce), false});
  }
  commit.done = [this, machines](CasOutcome outcome, std::uint64_t) {
    const bool is_conflict = outcome == CasOutcome::conflict || outcome == CasOutcome::superseded;
    // A machine that is already assigned makes the whole transaction fail. Each machine is then
    // committed in a transaction of its own.
    if (is_conflict && machines.size() > 1) {
      for (const auto& id : machines) commit_assignments({id});
      return;
    }
    for (const auto& id : machines) finish_assignment(id, outcome);
  };
  state_store_.compare_and_swap(std::move(commit));
}

void MachineAssigner::finish_assignment(const std::string& machine, CasOutcome outcome) {
  const auto found = pending_assignments_.find(machine);
  PendingAssignment assignment = std::move(found->second);
  pending_assignments_.erase(found);
  assignment_ended_(machine);
  if (outcome != CasOutcome::ok) return assignment.reply(http_status::kServiceUnavailable, "");
  const codec::MachineRecord& record = assignment.record;
  spdlog::info("machine assigned machine={} partition={} type={} zone={} spot={}", machine,
               record.partition, record.type, record.zone, record.spot);
  partition_leader_.heartbeat(assignment.heartbeat, std::move(assignment.reply));
}

}  // namespace eiderreel
