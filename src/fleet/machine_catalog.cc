// Implements the machine catalog: reads it periodically and answers queries on its types.
#include "fleet/machine_catalog.h"

#include <algorithm>
#include <utility>

namespace eiderreel {

namespace k = constants;

void MachineCatalog::start(Updated updated) {
  updated_ = std::move(updated);
  read();
}

void MachineCatalog::tick() {
  const Ms interval = types_.empty() ? k::kRetryDelayMs : k::kCatalogIntervalMs;
  if (!reading_ && runtime_.now() - read_at_ >= interval) read();
}

void MachineCatalog::read() {
  reading_ = true;
  cloud_.get_catalog([this](CloudResult<std::vector<MachineType>> types) {
    reading_ = false;
    read_at_ = runtime_.now();
    if (!types) return;
    types_ = *std::move(types);
    updated_(types_);
  });
}

double MachineCatalog::smallest_cpus() const {
  double cpus = types_.front().cpus;
  for (const auto& type : types_) cpus = std::min(cpus, type.cpus);
  return cpus;
}

double MachineCatalog::largest_cpus() const {
  double cpus = 0;
  for (const auto& type : types_) cpus = std::max(cpus, type.cpus);
  return cpus;
}

double MachineCatalog::longest_boot_s() const {
  double boot_s = 0;
  for (const auto& type : types_) boot_s = std::max(boot_s, type.boot_s);
  return boot_s;
}

}  // namespace eiderreel
