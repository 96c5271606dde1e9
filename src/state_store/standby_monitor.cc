// Tracks whether this controller is in standby because it does not support the durable cluster
// version.
#include "state_store/standby_monitor.h"

#include <spdlog/spdlog.h>

namespace eiderreel {

void StandbyMonitor::update(const upgrade::ClusterState& cluster) {
  std::string reason = acting_version_.standby_reason(cluster);
  if (reason == reason_) return;
  reason_ = std::move(reason);
  if (reason_.empty())
    spdlog::info("controller left standby, cluster version supported node={}", node_);
  else
    spdlog::error("controller in standby, claims no partition node={} reason=\"{}\"", node_,
                  reason_);
}

}  // namespace eiderreel
