// Whether this controller stands by, because it cannot act under the durable cluster version.
#pragma once
#include <string>
#include <utility>

#include "versioning/acting_version.h"

namespace eiderreel {

/// Keeps the reason for which this controller must not act, and logs its changes. A build that
/// cannot act under the durable version asks for no lease, so it owns nothing and none of its
/// writes can be bound to a version.
class StandbyMonitor {
 public:
  StandbyMonitor(std::string node, const upgrade::ActingVersion& acting_version)
      : node_(std::move(node)), acting_version_(acting_version) {}

  /// Looks at the cluster version as the replica has it now.
  void update(const upgrade::ClusterState& cluster);
  /// Whether this controller had to stand by at the last update.
  bool in_standby() const { return !reason_.empty(); }

 private:
  std::string node_;
  const upgrade::ActingVersion& acting_version_;
  std::string reason_;  // as it was last logged; empty: this controller may act
};

}  // namespace eiderreel
