// The machine catalog: the cloud's machine types with their prices. Every controller reads it.
#pragma once
#include <functional>
#include <string>
#include <vector>

#include "cloud/cloud_client.h"
#include "model/machine.h"
#include "runtime/runtime.h"

namespace eiderreel {

/// The machine types as last read from the cloud; empty until the first read succeeds.
class MachineCatalog {
 public:
  using Updated = std::function<void(const std::vector<MachineType>&)>;

  MachineCatalog(Runtime& runtime, CloudClient& cloud) : runtime_(runtime), cloud_(cloud) {}
  /// Starts to read the catalog. `updated` is called after each successful read.
  void start(Updated updated);
  /// Reads the catalog again if that is due. Called every constants::kTickMs.
  void tick();

  /// Whether the catalog has not been read yet.
  bool empty() const { return types_.empty(); }
  /// The machine types as last read.
  const std::vector<MachineType>& types() const { return types_; }
  /// Returns the type of that name, or null if the catalog has none. The pointer is valid until the
  /// catalog is read again.
  const MachineType* find(const std::string& name) const { return find_machine_type(types_, name); }
  /// CPUs of the smallest type. The catalog must not be empty.
  double smallest_cpus() const;
  /// CPUs of the largest type; 0 if the catalog is empty.
  double largest_cpus() const;
  /// The longest nominal boot time of all types, in seconds; 0 if the catalog is empty.
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
