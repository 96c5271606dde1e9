// Writes this controller's node record, which announces that the controller is alive.
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

/// Writes the node record of this controller: a lease-bound key that announces the controller and
/// the cluster version under which it acts from then on. It is written once for each lease and
/// again after each change of the version.
class NodeRecordWriter {
 public:
  /// References to the collaborators, which must outlive this object.
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

  /// Writes the record if it is missing for the current lease or names an outdated version.
  void tick();

 private:
  bool is_due() const;
  void write();
  codec::NodeRecord record() const;
  std::vector<codec::Precondition> preconditions() const;
  void on_written(const codec::NodeRecord& record, CasOutcome outcome, std::uint64_t revision);

  Dependencies dependencies_;
  std::uint64_t written_lease_id_ = 0;  // the lease to which the last written record is bound
  bool writing_ = false;
};

}  // namespace eiderreel
