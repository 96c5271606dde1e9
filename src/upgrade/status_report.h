// Upgrade status in the view of this controller. Read-only.
#pragma once
#include <optional>
#include <string>
#include <vector>

#include "config/settings.h"
#include "leadership/partition_leader.h"
#include "runtime/runtime.h"
#include "state_store/state_store_client.h"
#include "upgrade/messages.h"

namespace eiderreel::upgrade {

/// All controllers that are configured or have a record, sorted by name.
std::vector<ControllerState> controller_states(const ClusterView& view, const Settings& settings);

/// Builds the reply to `upgrade status` from this controller's view and its peers' status
/// messages.
class StatusReporter {
 public:
  StatusReporter(const Runtime& runtime, const Settings& settings,
                 const StateStoreClient& state_store, const PartitionLeader& partition_leader)
      : runtime_(runtime),
        settings_(settings),
        state_store_(state_store),
        partition_leader_(partition_leader) {}

  /// `step_in_doubt` is the request id of a step whose outcome is unknown, if there is one.
  StatusReport report(const std::optional<std::string>& step_in_doubt) const;

 private:
  bool is_current() const;
  ConversionReport conversion() const;

  const Runtime& runtime_;
  const Settings& settings_;
  const StateStoreClient& state_store_;
  const PartitionLeader& partition_leader_;
};

}  // namespace eiderreel::upgrade
