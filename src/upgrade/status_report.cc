// Status of an upgrade, from the view and from what peers tell.
#include "upgrade/status_report.h"

#include <algorithm>
#include <set>
#include <utility>

namespace eiderreel::upgrade {

namespace k = constants;

namespace {

void add(const std::optional<ConversionProgress>& progress, ConversionProgress& sum) {
  if (!progress) return;
  sum.values_left += progress->values_left;
  sum.values_converted += progress->values_converted;
  sum.unreadable += progress->unreadable;
  sum.values_per_s += progress->values_per_s;
}

}  // namespace

std::vector<ControllerFacts> controller_facts(const ClusterView& view, const Settings& settings) {
  const auto configured = settings.node_names();
  std::set<std::string> names(configured.begin(), configured.end());
  for (const auto& [name, entry] : view.nodes) names.insert(name);
  std::vector<ControllerFacts> facts;
  for (const std::string& name : names) {
    ControllerFacts controller;
    controller.name = name;
    controller.configured = std::binary_search(configured.begin(), configured.end(), name);
    if (const auto entry = view.nodes.find(name); entry != view.nodes.end()) {
      controller.record_revision = entry->second.revision;
      controller.versions = entry->second.record.versions;
    }
    facts.push_back(std::move(controller));
  }
  return facts;
}

bool StatusReporter::is_current() const {
  const Ms silent_ms = runtime_.now() - state_store_.last_good();
  return state_store_.view().ready && silent_ms < k::kWatchWaitMs + k::kStateSilentMs;
}

ConversionReport StatusReporter::conversion() const {
  ConversionReport report;
  const auto& version = state_store_.view().cluster.version;
  if (version) report.to = progress_policy(*version).convert_to;
  report.unknown_partitions = partition_leader_.unheard_partitions();
  add(partition_leader_.conversion(), report.sum);
  for (const Peer& peer : settings_.peers)
    add(partition_leader_.peer_conversion(peer.name), report.sum);
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
  report.controllers = controller_facts(view, settings_);
  report.conversion = conversion();
  report.automatic = settings_.upgrade.automatic;
  report.in_maintenance_window = settings_.upgrade.windows.contains(runtime_.wall());
  return report;
}

}  // namespace eiderreel::upgrade
