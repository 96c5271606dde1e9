// The machine catalog: the cloud's machine types with their prices, read by every controller.
#pragma once
#include <functional>
#include <string>
#include <vector>

#include "cloud/cloud_client.h"
#include "model/machine.h"
#include "runtime/runtime.h"

namespace eiderreel {

/// The machine types as last read from the cloud. It starts out empty.
class MachineCatalog {
 public:
  using Updated = std::function<void(const std::vector<MachineType>&)>;

  MachineCatalog(Runtime& runtime, CloudClient& cloud) : runtime_(runtime), cloud_(cloud) {}
  /// Reads the catalog. `updated` is called whenever it has been read.
  void start(Updated updated);
  /// Reads the catalog again when it is due; every constants::kTickMs.
  void tick();

  /// Whether no machine type is known yet.
  bool empty() const { return types_.empty(); }
  /// The machine types as last read.
  const std::vector<MachineType>& types() const { return types_; }
  /// The type of that name; null: the catalog has none. Valid until the catalog is read again.
  const MachineType* find(const std::string& name) const { return find_machine_type(types_, name); }
  /// CPUs of the smallest type. The catalog must not be empty.
  double smallest_cpus() const;
  /// CPUs of the largest type.
  double largest_cpus() const;
  /// The longest nominal boot time of all types, in seconds.
  double longest_boot_s() const;

 private:
  void read();

  Runtime& runtime_;
  CloudClient& cloud_;
  Updated updated_;
  std::vector<MachineType> types_;
  bool reading_ = false;
  Ms read_at_ = 0;
};

}  // namespace eiderreel
