// Checks whether a controller may act under the durable cluster version.
#include "versioning/acting_version.h"

namespace eiderreel::upgrade {

std::string ActingVersion::standby_reason(const ClusterState& cluster) const {
  if (!enabled_) return "";
  // A controller that is already active may continue: no step can be taken while the durable
  // version is unreadable, so its acting version stays valid.
  if (!cluster.version)
    return record_revision_ != 0 ? "" : "the cluster version in the state service cannot be read";
  if (range_.contains(*cluster.version)) return "";
  return "the cluster is at version " + to_string(*cluster.version) + ", this build knows " +
         to_string(range_);
}

}  // namespace eiderreel::upgrade
