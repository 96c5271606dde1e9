// What this controller knows of the cluster's versions. Reads only.
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

/// All controllers that are configured or have a record, by name.
std::vector<ControllerFacts> controller_facts(const ClusterView& view, const Settings& settings);

/// Builds the answer to `upgrade status` from what this controller knows.
class StatusReporter {
 public:
  StatusReporter(const Runtime& runtime, const Settings& settings,
                 const StateStoreClient& state_store, const PartitionLeader& partition_leader)
      : runtime_(runtime),
        settings_(settings),
        state_store_(state_store),
        partition_leader_(partition_leader) {}

  /// `step_in_doubt` is the request of the step that got no answer, if there is one.
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
