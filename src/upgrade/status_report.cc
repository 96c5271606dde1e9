// Builds the upgrade status from the view and from the status messages of peers.
#include "upgrade/status_report.h"

#include <algorithm>
#include <set>
#include <utility>

namespace eiderreel::upgrade {

namespace k = constants;

namespace {

void add_progress(const std::optional<ConversionProgress>& progress, ConversionProgress& sum) {
  if (!progress) return;
  sum.values_left += progress->values_left;
  sum.values_converted += progress->values_converted;
  sum.unreadable += progress->unreadable;
  sum.values_per_s += progress->values_per_s;
}

}  // namespace

std::vector<ControllerState> controller_states(const ClusterView& view, const Settings& settings) {
  const auto configured = settings.node_names();
  std::set<std::string> names(configured.begin(), configured.end());
  for (const auto& [name, entry] : view.nodes) names.insert(name);
  std::vector<ControllerState> states;
  for (const std::string& name : names) {
    ControllerState controller;
    controller.name = name;
    controller.configured = std::binary_search(configured.begin(), configured.end(), name);
    if (const auto entry = view.nodes.find(name); entry != view.nodes.end()) {
      controller.record_revision = entry->second.revision;
      controller.versions = entry->second.record.versions;
    }
    states.push_back(std::move(controller));
  }
  return states;
}

bool StatusReporter::is_current() const {
  const Ms since_success_ms = runtime_.now() - state_store_.last_executed_at();
  return state_store_.view().ready &&
         since_success_ms < k::kWatchLongPollMs + k::kStateStoreSilenceMs;
}

ConversionReport StatusReporter::conversion() const {
  ConversionReport report;
  const auto& version = state_store_.view().cluster.version;
  if (version) report.to = progress_policy(*version).convert_to;
  report.unknown_partitions = partition_leader_.unreported_partitions();
  add_progress(partition_leader_.conversion(), report.sum);
  for (const Peer& peer : settings_.peers)
    add_progress(partition_leader_.peer_conversion(peer.name), report.sum);
  return report;
}

StatusReport StatusReporter::report(const std::optional<std::string>& step_in_doubt) const {
  const ClusterView& view = state_store_.view();
  StatusReport report;
  report.controller = settings_.node;
  report.enabled = settings_.upgrade.enabled;
  report.standby_reason = state_store_.standby_reason();
  report.current = is_current();
  report.cluster = view.cluster;
  if (view.version_record) {
    report.changed_by = view.version_record->requested_by;
    report.changed_at = view.version_record->at;
    report.last_request = view.version_record->request_id;
  }
  if (step_in_doubt && *step_in_doubt != report.last_request) report.step_in_doubt = step_in_doubt;
  report.controllers = controller_states(view, settings_);
  report.conversion = conversion();
  report.automatic = settings_.upgrade.automatic;
  report.in_maintenance_window = settings_.upgrade.windows.contains(runtime_.wall_clock_now());
  return report;
}

}  // namespace eiderreel::upgrade
