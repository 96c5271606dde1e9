// Writes this controller's own record, which says that it is there.
#pragma once
#include <cstdint>
#include <vector>

#include "codec/state_json.h"
#include "config/settings.h"
#include "runtime/runtime.h"
#include "state_store/compare_and_swapper.h"
#include "state_store/controller_lease.h"
#include "state_store/nonce_source.h"
#include "state_store/replicated_view.h"
#include "versioning/acting_version.h"

namespace eiderreel {

/// Writes a record, bound to the lease, that says that this controller is there and which cluster
/// version it acts under from now on. It is written once for each lease, and again for each change
/// of the version.
class NodeRecordWriter {
 public:
  /// What it works with; all of it outlives it.
  struct Dependencies {
    Runtime& runtime;
    const Settings& settings;
    const ReplicatedView& replica;
    const ControllerLease& lease;
    CompareAndSwapper& swapper;
    NonceSource& nonces;
    upgrade::ActingVersion& acting_version;
  };
  explicit NodeRecordWriter(const Dependencies& dependencies) : dependencies_(dependencies) {}

  /// Writes the record if that is due.
  void tick();

 private:
  bool is_due() const;
  void write();
  codec::NodeRecord record() const;
  std::vector<codec::Precondition> preconditions() const;
  void on_written(const codec::NodeRecord& record, CasOutcome outcome, std::uint64_t revision);

  Dependencies dependencies_;
  std::uint64_t written_lease_id_ = 0;  // the lease for which the record was written last
  bool writing_ = false;
};

}  // namespace eiderreel
