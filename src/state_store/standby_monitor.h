// Tracks whether this controller is in standby because it does not support the durable cluster
// version.
#pragma once
#include <string>
#include <utility>

#include "versioning/acting_version.h"

namespace eiderreel {

/// Stores the reason why this controller must not act, and logs its changes. A controller in
/// standby requests no lease, so it leads no partition and none of its writes can be bound to a
/// version.
class StandbyMonitor {
 public:
  StandbyMonitor(std::string node, const upgrade::ActingVersion& acting_version)
      : node_(std::move(node)), acting_version_(acting_version) {}

  /// Updates the reason from the cluster version in the replica.
  void update(const upgrade::ClusterState& cluster);
  /// Whether this controller was in standby at the last update.
  bool in_standby() const { return !reason_.empty(); }

 private:
  std::string node_;
  const upgrade::ActingVersion& acting_version_;
  std::string reason_;  // as last logged; empty: this controller may act
};

}  // namespace eiderreel
