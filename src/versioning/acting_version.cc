// The cluster version that a controller acts under.
#include "versioning/acting_version.h"

namespace eiderreel::upgrade {

std::string ActingVersion::obstacle(const ClusterState& cluster) const {
  if (!enabled_) return "";
  // A controller that already acts may continue: no step can be taken from a version that nobody
  // can read, so the version it acts under stays valid.
  if (!cluster.version)
    return record_revision_ != 0 ? "" : "the cluster version in the state service cannot be read";
  if (range_.contains(*cluster.version)) return "";
  return "the cluster is at version " + to_string(*cluster.version) + ", this build knows " +
         to_string(range_);
}

}  // namespace eiderreel::upgrade
