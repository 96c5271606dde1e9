// Implements machine provisioning: chooses the machines and sends the requests to the cloud.
#include "fleet/machine_provisioner.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>
#include <cstddef>

namespace eiderreel {
namespace {

namespace k = constants;

// Rounds up to a number of machines for one request: at least 1, at most the limit of the cloud.
int machine_count(double machines) {
  return std::clamp(static_cast<int>(std::ceil(machines)), 1, k::kMaxProvisionMachines);
}

}  // namespace

void MachineProvisioner::remove_assigned_and_lost(const std::set<std::string>& listed, Ms timeout) {
  const auto& assigned = state_store_.view().machines;
  std::erase_if(provisioned_, [&](const auto& entry) {
    const auto& [id, provisioned] = entry;
    return assigned.contains(id) ||
           (!listed.contains(id) && runtime_.now() - provisioned.provisioned_at > timeout);
  });
}

void MachineProvisioner::provision_cheapest(double cpus, double spot_cpus) {
  std::vector<Offer> cheapest = offers([&](const Offer& offer) {
    return (offer.pool.spot ? spot_cpus : cpus) > 0 && can_provision(offer.pool);
  });
  std::stable_sort(cheapest.begin(), cheapest.end(), [](const Offer& a, const Offer& b) {
    return a.price_per_cpu < b.price_per_cpu;
  });
  for (std::size_t i = 0; i < cheapest.size();) {
    std::size_t end = i;  // one past the offers of the same type and kind, one for each zone
    while (end < cheapest.size() && cheapest[end].type == cheapest[i].type &&
           cheapest[end].pool.spot == cheapest[i].pool.spot)
      ++end;
    double& remaining_cpus = cheapest[i].pool.spot ? spot_cpus : cpus;
    for (; i < end; ++i) {
      if (remaining_cpus <= 0) continue;
      const Offer& offer = cheapest[i];
      const double type_cpus = offer.type->cpus;
      const int count = machine_count(remaining_cpus / type_cpus / static_cast<double>(end - i));
      provision(offer.pool, count);
      remaining_cpus -= count * type_cpus;
      if (offer.pool.spot) cpus -= count * type_cpus;
    }
  }
}

double MachineProvisioner::provision_for(const JobSpec& job, double cpus) {
  const std::vector<Offer> suitable = offers([&](const Offer& offer) {
    return may_host(job, *offer.type, offer.pool.zone, offer.pool.spot) &&
           can_provision(offer.pool);
  });
  const auto best = std::min_element(
      suitable.begin(), suitable.end(),
      [](const Offer& a, const Offer& b) { return a.price_per_cpu < b.price_per_cpu; });
  if (best == suitable.end()) return 0;
  const int count = machine_count(cpus / best->type->cpus);
  provision(best->pool, count);
  return count * best->type->cpus;
}

// Returns the offers that match, in the order of the catalog.
std::vector<MachineProvisioner::Offer> MachineProvisioner::offers(
    const std::function<bool(const Offer&)>& matches) const {
  std::vector<Offer> found;
  for (const auto& type : catalog_.types()) {
    for (const auto& zone : type.zones) {
      for (const bool spot : {true, false}) {
        Offer offer{&type,
                    {type.name, zone, spot},
                    (spot ? type.spot_price_per_hour : type.price_per_hour) / type.cpus};
        if (matches(offer)) found.push_back(std::move(offer));
      }
    }
  }
  return found;
}

bool MachineProvisioner::can_provision(const Pool& pool) const {
  if (pending_pools_.contains(pool)) return false;
  const auto paused = paused_until_.find(pool);
  return paused == paused_until_.end() || paused->second <= runtime_.now();
}

void MachineProvisioner::provision(const Pool& pool, int count) {
  // Invariant 10: request names are unique. No two claims of the partition have the same revision,
  // and the counter is unique within one claim.
  const auto partition = state_store_.view().partitions.find(0);
  if (partition == state_store_.view().partitions.end() ||
      partition->second.leader != settings_.node)
    return;
  pending_pools_.insert(pool);
  const std::string name =
      "r-" + std::to_string(partition->second.revision) + "-" + std::to_string(++request_counter_);
  send_request(pool, {name, pool.type, pool.zone, pool.spot, count}, k::kMaxCommitAttempts);
}

void MachineProvisioner::send_request(const Pool& pool, const ProvisionRequest& request,
                                      int attempts_left) {
  cloud_.provision(request, [=, this](const CloudResult<std::vector<std::string>>& machines) {
    on_reply(pool, request, attempts_left, machines);
  });
}

void MachineProvisioner::on_reply(const Pool& pool, const ProvisionRequest& request,
                                  int attempts_left,
                                  const CloudResult<std::vector<std::string>>& machines) {
  if (machines) {
    record_provisioned(request, *machines);
    if (static_cast<int>(machines->size()) < request.count) pause(pool);
  } else if (machines.error() == CloudError::rejected) {
    pause(pool);
  } else if (attempts_left > 1) {
    // The same request is retried under the same name, so the cloud carries it out at most once.
    runtime_.after(k::kRetryDelayMs, [=, this] { send_request(pool, request, attempts_left - 1); });
    return;
  }
  pending_pools_.erase(pool);
}

void MachineProvisioner::record_provisioned(const ProvisionRequest& request,
                                            const std::vector<std::string>& machines) {
  for (const auto& id : machines)
    provisioned_[id] = {request.type, request.zone, request.spot, runtime_.now()};
  provisioned_count_ += machines.size();
  spdlog::info("machines provisioned request={} type={} zone={} spot={} asked={} got={}",
               request.name, request.type, request.zone, request.spot, request.count,
               machines.size());
}

void MachineProvisioner::pause(const Pool& pool) {
  paused_until_[pool] = runtime_.now() + k::kNoCapacityPauseMs;
}

}  // namespace eiderreel
