// Which cluster version this controller acts under, and the precondition that binds its writes to
// that version.
#pragma once
#include <cstdint>
#include <optional>
#include <string>

#include "versioning/cluster_version.h"

namespace eiderreel::upgrade {

// The durable cluster version as this controller's replica has it.
struct ClusterState {
  // Nothing: the key holds a value that cannot be read.
  std::optional<ClusterVersion> version = kFirstVersion;
  std::uint64_t revision = 0;  // of the key; 0: there is none, the version is the first one
};

// A controller acts under the version that its own lease-bound record names. The record's revision
// is a precondition of every write: once the record is replaced or its lease has ended, a write
// that was made before can land no more, however late it comes.
class ActingVersion {
 public:
  ActingVersion(bool enabled, VersionRange range) : enabled_(enabled), range_(range) {}

  // Disabled, a controller counts as a build from before cluster versions: it acts under the first
  // one and binds its writes to nothing.
  bool enabled() const { return enabled_; }
  const VersionRange& range() const { return range_; }
  ClusterVersion version() const { return version_; }
  // Of this controller's record; 0: there is none now, and nothing may be written.
  std::uint64_t record_revision() const { return record_revision_; }

  // Why this build must not act under the durable version; empty: it may.
  std::string obstacle(const ClusterState& cluster) const;
  // Whether the record has to be written: there is none, or it names another version.
  bool needs_record(const ClusterState& cluster) const {
    return cluster.version && (record_revision_ == 0 || *cluster.version != version_);
  }
  void record_written(ClusterVersion version, std::uint64_t revision) {
    version_ = version;
    record_revision_ = revision;
  }
  // The lease has ended, and the record with it.
  void record_lost() { record_revision_ = 0; }

 private:
  bool enabled_;
  VersionRange range_;
  ClusterVersion version_ = kFirstVersion;
  std::uint64_t record_revision_ = 0;
};

}  // namespace eiderreel::upgrade
