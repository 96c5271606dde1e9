// The cluster version that this controller acts under, and the revision of its record, which makes
// its writes conditional on that version.
#pragma once
#include <cstdint>
#include <optional>
#include <string>

#include "versioning/cluster_version.h"

namespace eiderreel::upgrade {

/// The durable cluster version in this controller's replica.
struct ClusterState {
  /// std::nullopt if the stored value cannot be parsed.
  std::optional<ClusterVersion> version = kFirstVersion;
  /// Revision of the key; 0 if the key does not exist, in which case the version is kFirstVersion.
  std::uint64_t revision = 0;
};

/// The version that this controller acts under, as named by its own record in the state store. The
/// record is bound to the controller's lease, and its revision is a precondition of every write.
/// Once the record is replaced or the lease has ended, the state store therefore refuses writes
/// that were sent before, however late they arrive.
class ActingVersion {
 public:
  /// `range` holds the versions that this build supports.
  ActingVersion(bool enabled, VersionRange range) : enabled_(enabled), range_(range) {}

  /// Whether this controller takes part in cluster versions. If not, it behaves like a build from
  /// before cluster versions: it acts under the first version, and its writes do not have the
  /// revision of its record as a precondition.
  bool enabled() const { return enabled_; }
  /// The versions that this build supports.
  const VersionRange& range() const { return range_; }
  /// The version that this controller acts under.
  ClusterVersion version() const { return version_; }
  /// Revision of this controller's record; 0 if it has none, in which case it must not write.
  std::uint64_t record_revision() const { return record_revision_; }

  /// Why this controller must not act under the durable version; empty if it may.
  std::string standby_reason(const ClusterState& cluster) const;
  /// Whether the record must be written because it does not exist or names another version.
  bool needs_record(const ClusterState& cluster) const {
    return cluster.version && (record_revision_ == 0 || *cluster.version != version_);
  }
  /// Called when the record was written with this version, at this revision.
  void on_record_written(ClusterVersion version, std::uint64_t revision) {
    version_ = version;
    record_revision_ = revision;
  }
  /// Called when the lease has ended, which deletes the record.
  void on_record_lost() { record_revision_ = 0; }

 private:
  bool enabled_;
  VersionRange range_;
  ClusterVersion version_ = kFirstVersion;
  std::uint64_t record_revision_ = 0;
};

}  // namespace eiderreel::upgrade
