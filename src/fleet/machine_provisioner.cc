#include "fleet/machine_provisioner.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>

namespace eiderreel {

namespace k = constants;

void MachineRental::drop_lost(const std::set<std::string>& listed, Ms patience) {
  const auto& assigned = state_store_.view().machines;
  std::erase_if(rented_, [&](const auto& entry) {
    const auto& [id, rented] = entry;
    return assigned.count(id) > 0 || (!listed.count(id) && rt_.now() - rented.at > patience);
  });
}

// The cheapest core first, evenly over the zones; on spot machines at most `spot_cpus`.
void MachineRental::rent_cheapest(double cpus, double spot_cpus) {
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
        if ((spot ? spot_cpus : cpus) <= 0 || !rentable(t, zone, spot)) continue;
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
                     1, k::kRentMost);
      rent(*o.t, o.zone, o.spot, count);
      want -= count * o.t->cpus;
      if (o.spot) cpus -= count * o.t->cpus;
    }
  }
}

// The cheapest core on which this job may run; what is asked for, in CPUs.
double MachineRental::rent_for(const JobSpec& job, double cpus) {
  const MachineType* best = nullptr;
  std::string zone;
  bool spot = false;
  auto price = [](const MachineType& t, bool s) { return (s ? t.spot_price : t.price) / t.cpus; };
  for (const auto& t : types_)
    for (const auto& z : t.zones)
      for (bool s : {true, false})
        if (allowed(job, t, z, s) && rentable(t, z, s) &&
            (!best || price(t, s) < price(*best, spot))) {
          best = &t;
          zone = z;
          spot = s;
        }
  if (!best) return 0;
  const int count = std::clamp(static_cast<int>(std::ceil(cpus / best->cpus)), 1, k::kRentMost);
  rent(*best, zone, spot, count);
  return count * best->cpus;
}

bool MachineRental::rentable(const MachineType& t, const std::string& zone, bool spot) const {
  auto pause = refused_.find(slot(t, zone, spot));
  return !renting_.count(slot(t, zone, spot)) &&
         (pause == refused_.end() || pause->second <= rt_.now());
}

std::string MachineRental::slot(const MachineType& t, const std::string& zone, bool spot) {
  return t.name + "/" + zone + (spot ? "/spot" : "/");
}

void MachineRental::rent(const MachineType& t, const std::string& zone, bool spot, int count) {
  // Invariant 10: the revision of our claim is never given twice, and the counter not within it.
  auto part = state_store_.view().parts.find(0);
  if (part == state_store_.view().parts.end() || part->second.owner != s_.node) return;
  renting_.insert(slot(t, zone, spot));
  send_charter(
      t, zone, spot, count,
      "r-" + std::to_string(part->second.revision) + "-" + std::to_string(++charter_counter_),
      k::kCommitTries);
}

void MachineRental::send_charter(const MachineType& t, const std::string& zone, bool spot,
                                 int count, const std::string& charter, int tries) {
  cloud_.call({"", "POST", "/machines", codec::rent_body(charter, t.name, zone, spot, count), 0},
              [=, this, t = t](HttpReply r) {
                if (r.status == 200) {
                  auto ids = codec::parse_rented(r.body).value_or(std::vector<std::string>{});
                  for (const auto& id : ids) rented_[id] = {t.name, zone, spot, rt_.now()};
                  rented_count_ += ids.size();
                  spdlog::info("machines rented charter={} type={} zone={} spot={} asked={} got={}",
                               charter, t.name, zone, spot, count, ids.size());
                  if (static_cast<int>(ids.size()) < count)
                    refused_[slot(t, zone, spot)] = rt_.now() + k::kNoCapacityPauseMs;
                } else if (r.status == 503 || r.status == 400) {
                  refused_[slot(t, zone, spot)] = rt_.now() + k::kNoCapacityPauseMs;
                } else if (tries > 1) {
                  // Without an answer the same charter is asked again: it rents once at most.
                  rt_.after(k::kRetryMs,
                            [=, this] { send_charter(t, zone, spot, count, charter, tries - 1); });
                  return;
                }
                renting_.erase(slot(t, zone, spot));
              });
}

}  // namespace eiderreel
