#include "fleet/machine_provisioner.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>

#include "codec/cloud_json.h"

namespace eiderreel {

namespace k = constants;

void MachineProvisioner::drop_lost(const std::set<std::string>& listed, Ms patience) {
  const auto& assigned = state_store_.view().machines;
  std::erase_if(provisioned_, [&](const auto& entry) {
    const auto& [id, provisioned] = entry;
    return assigned.count(id) > 0 ||
           (!listed.count(id) && runtime_.now() - provisioned.at > patience);
  });
}

// The cheapest core first, evenly over the zones; on spot machines at most `spot_cpus`.
void MachineProvisioner::provision_cheapest(double cpus, double spot_cpus) {
  struct Offer {
    const MachineType* t;
    std::string zone;
    bool spot;
    double price;
  };
  std::vector<Offer> offers;
  for (const auto& t : types_)
    for (const auto& zone : t.zones)
      for (bool spot : {true, false}) {
        if ((spot ? spot_cpus : cpus) <= 0 || !can_provision(t, zone, spot)) continue;
        offers.push_back({&t, zone, spot, (spot ? t.spot_price : t.price) / t.cpus});
      }
  std::stable_sort(offers.begin(), offers.end(),
                   [](const auto& a, const auto& b) { return a.price < b.price; });
  for (std::size_t i = 0; i < offers.size();) {
    std::size_t end = i;  // one type and kind, in all its zones
    while (end < offers.size() && offers[end].t == offers[i].t &&
           offers[end].spot == offers[i].spot)
      ++end;
    double& want = offers[i].spot ? spot_cpus : cpus;
    for (; i < end; ++i) {
      if (want <= 0) continue;
      const Offer& o = offers[i];
      const int count =
          std::clamp(static_cast<int>(std::ceil(want / o.t->cpus / static_cast<double>(end - i))),
                     1, k::kProvisionMost);
      provision(*o.t, o.zone, o.spot, count);
      want -= count * o.t->cpus;
      if (o.spot) cpus -= count * o.t->cpus;
    }
  }
}

// The cheapest core on which this job may run; what is asked for, in CPUs.
double MachineProvisioner::provision_for(const JobSpec& job, double cpus) {
  const MachineType* best = nullptr;
  std::string zone;
  bool spot = false;
  auto price = [](const MachineType& t, bool s) { return (s ? t.spot_price : t.price) / t.cpus; };
  for (const auto& t : types_)
    for (const auto& z : t.zones)
      for (bool s : {true, false})
        if (may_host(job, t, z, s) && can_provision(t, z, s) &&
            (!best || price(t, s) < price(*best, spot))) {
          best = &t;
          zone = z;
          spot = s;
        }
  if (!best) return 0;
  const int count =
      std::clamp(static_cast<int>(std::ceil(cpus / best->cpus)), 1, k::kProvisionMost);
  provision(*best, zone, spot, count);
  return count * best->cpus;
}

bool MachineProvisioner::can_provision(const MachineType& t, const std::string& zone,
                                       bool spot) const {
  auto pause = refused_.find(slot(t, zone, spot));
  return !provisioning_.count(slot(t, zone, spot)) &&
         (pause == refused_.end() || pause->second <= runtime_.now());
}

std::string MachineProvisioner::slot(const MachineType& t, const std::string& zone, bool spot) {
  return t.name + "/" + zone + (spot ? "/spot" : "/");
}

void MachineProvisioner::provision(const MachineType& t, const std::string& zone, bool spot,
                                   int count) {
  // Invariant 10: the revision of our claim is never given twice, and the counter not within it.
  auto partition = state_store_.view().partitions.find(0);
  if (partition == state_store_.view().partitions.end() ||
      partition->second.leader != settings_.node)
    return;
  provisioning_.insert(slot(t, zone, spot));
  send_provision_request(
      t, zone, spot, count,
      "r-" + std::to_string(partition->second.revision) + "-" + std::to_string(++request_counter_),
      k::kCommitTries);
}

void MachineProvisioner::send_provision_request(const MachineType& t, const std::string& zone,
                                                bool spot, int count,
                                                const std::string& request_name, int tries) {
  cloud_.call(
      {"", "POST", "/machines", codec::scale_out_body(request_name, t.name, zone, spot, count), 0},
      [=, this, t = t](HttpReply r) {
        if (r.status == 200) {
          auto ids = codec::parse_provisioned(r.body).value_or(std::vector<std::string>{});
          for (const auto& id : ids) provisioned_[id] = {t.name, zone, spot, runtime_.now()};
          provisioned_count_ += ids.size();
          spdlog::info("machines provisioned request={} type={} zone={} spot={} asked={} got={}",
                       request_name, t.name, zone, spot, count, ids.size());
          if (static_cast<int>(ids.size()) < count)
            refused_[slot(t, zone, spot)] = runtime_.now() + k::kNoCapacityPauseMs;
        } else if (r.status == 503 || r.status == 400) {
          refused_[slot(t, zone, spot)] = runtime_.now() + k::kNoCapacityPauseMs;
        } else if (tries > 1) {
          // Without an answer the same charter is asked again: it provisions once at most.
          runtime_.after(k::kRetryMs, [=, this] {
            send_provision_request(t, zone, spot, count, request_name, tries - 1);
          });
          return;
        }
        provisioning_.erase(slot(t, zone, spot));
      });
}

}  // namespace eiderreel
