// Machine provisioning: the choice of machines, and the requests to the cloud.
#include "fleet/machine_provisioner.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>
#include <cstddef>

namespace eiderreel {
namespace {

namespace k = constants;

// Machines in one request for so many CPUs: one at least, and what the cloud allows at most.
int machine_count(double machines) {
  return std::clamp(static_cast<int>(std::ceil(machines)), 1, k::kMaxProvisionMachines);
}

}  // namespace

void MachineProvisioner::drop_lost(const std::set<std::string>& listed, Ms patience) {
  const auto& assigned = state_store_.view().machines;
  std::erase_if(provisioned_, [&](const auto& entry) {
    const auto& [id, provisioned] = entry;
    return assigned.contains(id) ||
           (!listed.contains(id) && runtime_.now() - provisioned.at > patience);
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
    std::size_t end = i;  // offers of one type and kind, in all its zones
    while (end < cheapest.size() && cheapest[end].type == cheapest[i].type &&
           cheapest[end].pool.spot == cheapest[i].pool.spot)
      ++end;
    double& wanted = cheapest[i].pool.spot ? spot_cpus : cpus;
    for (; i < end; ++i) {
      if (wanted <= 0) continue;
      const Offer& offer = cheapest[i];
      const double type_cpus = offer.type->cpus;
      const int count = machine_count(wanted / type_cpus / static_cast<double>(end - i));
      provision(offer.pool, count);
      wanted -= count * type_cpus;
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

// In the order of the catalog.
std::vector<MachineProvisioner::Offer> MachineProvisioner::offers(
    const std::function<bool(const Offer&)>& wanted) const {
  std::vector<Offer> found;
  for (const auto& type : catalog_.types()) {
    for (const auto& zone : type.zones) {
      for (const bool spot : {true, false}) {
        Offer offer{
            &type, {type.name, zone, spot}, (spot ? type.spot_price : type.price) / type.cpus};
        if (wanted(offer)) found.push_back(std::move(offer));
      }
    }
  }
  return found;
}

bool MachineProvisioner::can_provision(const Pool& pool) const {
  if (provisioning_.contains(pool)) return false;
  const auto paused = paused_until_.find(pool);
  return paused == paused_until_.end() || paused->second <= runtime_.now();
}

void MachineProvisioner::provision(const Pool& pool, int count) {
  // Invariant 10: the revision of our claim is never given twice, and the counter not within it.
  const auto partition = state_store_.view().partitions.find(0);
  if (partition == state_store_.view().partitions.end() ||
      partition->second.leader != settings_.node)
    return;
  provisioning_.insert(pool);
  const std::string name =
      "r-" + std::to_string(partition->second.revision) + "-" + std::to_string(++request_counter_);
  send(pool, {name, pool.type, pool.zone, pool.spot, count}, k::kMaxCommitAttempts);
}

void MachineProvisioner::send(const Pool& pool, const ProvisionRequest& request, int tries) {
  cloud_.provision(request, [=, this](const CloudResult<std::vector<std::string>>& machines) {
    on_reply(pool, request, tries, machines);
  });
}

void MachineProvisioner::on_reply(const Pool& pool, const ProvisionRequest& request, int tries,
                                  const CloudResult<std::vector<std::string>>& machines) {
  if (machines) {
    add(request, *machines);
    if (static_cast<int>(machines->size()) < request.count) pause(pool);
  } else if (machines.error() == CloudError::rejected) {
    pause(pool);
  } else if (tries > 1) {
    // Without an answer the same request is sent again: it provisions once at most.
    runtime_.after(k::kRetryDelayMs, [=, this] { send(pool, request, tries - 1); });
    return;
  }
  provisioning_.erase(pool);
}

void MachineProvisioner::add(const ProvisionRequest& request,
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
