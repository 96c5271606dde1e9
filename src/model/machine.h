// Machine types of the cloud, and the rule which jobs a machine may host.
#pragma once
#include <algorithm>
#include <string>
#include <vector>

#include "model/job.h"

namespace eiderreel {

/// A machine type in the cloud's catalog.
struct MachineType {
  std::string name;
  double cpus = 0;
  double gpus = 0;
  double memory_gb = 0;
  double cache_gb = 0;
  double fetch_gb_per_s = 0;
  double price_per_hour = 0;
  double spot_price_per_hour = 0;
  double boot_s = 0;
  std::vector<std::string> zones;
};

/// Partition number of a released machine, which is to be returned to the cloud.
inline constexpr int kReleasedPartition = -1;

/// The type with this name; null if the catalog has no such type.
inline const MachineType* find_machine_type(const std::vector<MachineType>& types,
                                            const std::string& name) {
  const auto found = std::find_if(types.begin(), types.end(),
                                  [&](const MachineType& type) { return type.name == name; });
  return found == types.end() ? nullptr : &*found;
}

/// Whether an empty machine of this type, in this zone and on-demand or spot, could run a task of
/// the job.
inline bool may_host(const JobSpec& job, const MachineType& type, const std::string& zone,
                     bool spot) {
  if (spot && !job.spot) return false;
  if (!job.zone.empty() && job.zone != zone) return false;
  const bool any_type = job.types.empty();
  if (!any_type && std::find(job.types.begin(), job.types.end(), type.name) == job.types.end())
    return false;
  return job.cpus <= type.cpus && job.gpus <= type.gpus && job.memory_gb <= type.memory_gb;
}

}  // namespace eiderreel
