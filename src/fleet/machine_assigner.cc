// The machine assigner: which partition a new machine goes to, and the commits.
#include "fleet/machine_assigner.h"

#include <spdlog/spdlog.h>

#include <cstddef>
#include <utility>

#include "fleet/fair_share.h"
#include "runtime/http_status.h"

namespace eiderreel {

namespace k = constants;

void MachineAssigner::Share::assign(double cpus, bool spot) {
  all.assigned += cpus;
  if (!spot) on_demand.assigned += cpus;
}

void MachineAssigner::add(const Heartbeat& heartbeat, Reply reply) {
  const auto [entry, is_new] = pending_assignments_.try_emplace(heartbeat.machine);
  const Reply earlier = std::exchange(entry->second.reply, std::move(reply));
  entry->second.heartbeat = heartbeat;
  if (!is_new) earlier(http_status::kServiceUnavailable, "");
}

std::vector<MachineAssigner::Share> MachineAssigner::shares() const {
  std::vector<Share> shares(static_cast<std::size_t>(settings_.partition_count));
  const auto add = [&](const codec::MachineRecord& record) {
    const MachineType* type = catalog_.find(record.type);
    if (record.partition < 0 || record.partition >= settings_.partition_count || !type) return;
    shares[static_cast<std::size_t>(record.partition)].assign(type->cpus, record.spot);
  };
  for (const auto& [id, machine] : state_store_.view().machines) add(machine.record);
  for (const auto& [id, assignment] : pending_assignments_)
    if (assignment.sent) add(assignment.record);
  const auto loads = partition_leader_.partition_loads();
  for (int i = 0; i < settings_.partition_count; ++i) {
    Share& share = shares[static_cast<std::size_t>(i)];
    share.weight = fair_share_cpus_of(settings_, i);
    const auto found = loads.find(i);
    if (found == loads.end()) continue;
    const PartitionLoad& load = found->second;
    share.on_demand.requested =
        (load.used_service_cpus + load.waiting_service_cpus) * k::kServiceRoom + load.waiting_cpus -
        load.waiting_spot_cpus;
    share.all.requested = load.used_cpus + load.waiting_cpus;
  }
  return shares;
}

// A new machine goes where most is asked for what is there. On-demand machines are dealt out by
// what cannot run on spot ones, above all services. The fair shares count as a base, so that no
// partition is left without machines.
int MachineAssigner::choose_partition(std::vector<Share>& shares, double cpus, bool spot) {
  double all_weights = 0;
  double all_cpus = cpus;
  for (const Share& share : shares) {
    all_weights += share.weight;
    all_cpus += share.of(spot).assigned;
  }
  std::size_t best = 0;
  double best_ratio = -1;
  for (std::size_t i = 0; i < shares.size(); ++i) {
    const Capacity& capacity = shares[i].of(spot);
    const double base = k::kBaseShare * all_cpus * shares[i].weight / all_weights;
    const double ratio = (capacity.requested + base) / (capacity.assigned + cpus);
    if (ratio <= best_ratio) continue;
    best = i;
    best_ratio = ratio;
  }
  shares[best].assign(cpus, spot);
  return static_cast<int>(best);
}

void MachineAssigner::assign_all() {
  std::vector<std::string> batch;
  std::vector<Share> current;  // made when the first machine needs them
  for (auto& [id, assignment] : pending_assignments_) {
    if (assignment.sent) continue;
    if (current.empty()) current = shares();
    const Heartbeat& heartbeat = assignment.heartbeat;
    const MachineType* type = catalog_.find(heartbeat.type);
    const int partition = choose_partition(current, type ? type->cpus : 1, heartbeat.spot);
    assignment.record = {partition, heartbeat.type, heartbeat.zone, heartbeat.addr, heartbeat.spot};
    assignment.sent = true;
    batch.push_back(id);
    if (static_cast<int>(batch.size()) < settings_.max_transaction_writes()) continue;
    send(batch);
    batch.clear();
  }
  if (!batch.empty()) send(batch);
}

// Invariant 3: machines that come together share a transaction, and each has its own key.
void MachineAssigner::send(const std::vector<std::string>& machines) {
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
    // One that was assigned before holds up the others: each goes alone then.
    if (is_conflict && machines.size() > 1) {
      for (const auto& id : machines) send({id});
      return;
    }
    for (const auto& id : machines) end(id, outcome);
  };
  state_store_.compare_and_swap(std::move(commit));
}

void MachineAssigner::end(const std::string& machine, CasOutcome outcome) {
  const auto found = pending_assignments_.find(machine);
  PendingAssignment assignment = std::move(found->second);
  pending_assignments_.erase(found);
  ended_(machine);
  if (outcome != CasOutcome::ok) return assignment.reply(http_status::kServiceUnavailable, "");
  const codec::MachineRecord& record = assignment.record;
  spdlog::info("machine assigned machine={} partition={} type={} zone={} spot={}", machine,
               record.partition, record.type, record.zone, record.spot);
  partition_leader_.heartbeat(assignment.heartbeat, std::move(assignment.reply));
}

}  // namespace eiderreel
