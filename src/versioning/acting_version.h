// Which cluster version this controller acts under, and the precondition that binds its writes to
// that version.
#pragma once
#include <cstdint>
#include <optional>
#include <string>

#include "versioning/cluster_version.h"

namespace eiderreel::upgrade {

/// The durable cluster version, as this controller's replica has it.
struct ClusterState {
  /// Nothing if the key holds a value that cannot be read.
  std::optional<ClusterVersion> version = kFirstVersion;
  /// Revision of the key; 0 if there is none, and the version is the first one.
  std::uint64_t revision = 0;
};

/// The version that this controller acts under, which is the one that its own record in the state
/// store names. The record is bound to the controller's lease, and its revision is a precondition
/// of every write: once the record is replaced or its lease has ended, an earlier write is refused
/// however late it arrives.
class ActingVersion {
 public:
  /// `range` are the versions of this build.
  ActingVersion(bool enabled, VersionRange range) : enabled_(enabled), range_(range) {}

  /// Whether this controller takes part in cluster versions. One that does not behaves as a build
  /// from before them: it acts under the first version, and its writes have no such precondition.
  bool enabled() const { return enabled_; }
  /// The versions of this build.
  const VersionRange& range() const { return range_; }
  /// The version that this controller acts under.
  ClusterVersion version() const { return version_; }
  /// Revision of this controller's record; 0 if there is none and nothing may be written.
  std::uint64_t record_revision() const { return record_revision_; }

  /// Why this build must not act under the durable version; empty if it may.
  std::string obstacle(const ClusterState& cluster) const;
  /// Whether the record has to be written, because there is none or it names another version.
  bool needs_record(const ClusterState& cluster) const {
    return cluster.version && (record_revision_ == 0 || *cluster.version != version_);
  }
  /// The record was written with this version.
  void record_written(ClusterVersion version, std::uint64_t revision) {
    version_ = version;
    record_revision_ = revision;
  }
  /// The lease has ended, and the record with it.
  void record_lost() { record_revision_ = 0; }

 private:
  bool enabled_;
  VersionRange range_;
  ClusterVersion version_ = kFirstVersion;
  std::uint64_t record_revision_ = 0;
};

}  // namespace eiderreel::upgrade
