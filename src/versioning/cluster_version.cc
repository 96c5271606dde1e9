// Tables of the gates and of the properties of cluster versions.
#include "versioning/cluster_version.h"

#include <algorithm>
#include <array>

namespace eiderreel::upgrade {
namespace {

// The range of versions in which a gate is open.
struct GateRow {
  Gate gate{};
  VersionRange open;
};

constexpr std::array kGates = {
    GateRow{Gate::write_compact_progress, {ClusterVersion::write_compact, kNewestVersion}},
    GateRow{Gate::convert_to_compact_progress, {ClusterVersion::convert, kNewestVersion}},
    GateRow{Gate::convert_to_bits_progress, {ClusterVersion::base, ClusterVersion::base}},
};

struct VersionInfoRow {
  ClusterVersion version{};
  VersionInfo info;
};

constexpr std::array kVersionInfos = {
    VersionInfoRow{ClusterVersion::base,
                   {"progress is written as bits, and compact progress is rewritten as bits"}},
    VersionInfoRow{ClusterVersion::write_compact,
                   {"progress is written in the compact form; both are read"}},
    VersionInfoRow{ClusterVersion::convert,
                   {"progress stored as bits is rewritten in the compact form"}},
    VersionInfoRow{ClusterVersion::compact_only,
                   {"the upgrade is final: earlier builds cannot come back", true, false}},
};

}  // namespace

std::string to_string(ClusterVersion version) { return std::to_string(number(version)); }

std::string to_string(const VersionRange& range) {
  return to_string(range.oldest) + " to " + to_string(range.newest);
}

bool is_open(Gate gate, ClusterVersion version) {
  return std::any_of(kGates.begin(), kGates.end(), [&](const GateRow& row) {
    return row.gate == gate && row.open.contains(version);
  });
}

ProgressPolicy progress_policy(ClusterVersion version) {
  ProgressPolicy policy;
  if (is_open(Gate::write_compact_progress, version)) policy.write = ProgressForm::compact;
  if (is_open(Gate::convert_to_compact_progress, version))
    policy.convert_to = ProgressForm::compact;
  if (is_open(Gate::convert_to_bits_progress, version)) policy.convert_to = ProgressForm::bits;
  return policy;
}

std::optional<VersionInfo> version_info(ClusterVersion version) {
  const auto* const row =
      std::find_if(kVersionInfos.begin(), kVersionInfos.end(),
                   [&](const VersionInfoRow& candidate) { return candidate.version == version; });
  if (row == kVersionInfos.end()) return std::nullopt;
  return row->info;
}

}  // namespace eiderreel::upgrade
