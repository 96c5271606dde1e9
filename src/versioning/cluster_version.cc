#include "versioning/cluster_version.h"

#include <algorithm>
#include <iterator>

namespace eiderreel::upgrade {
namespace {

struct GateRow {
  Gate gate;
  VersionRange open;
};

constexpr GateRow kGates[] = {
    {Gate::write_compact_progress, {ClusterVersion::write_compact, kNewestVersion}},
    {Gate::convert_to_compact_progress, {ClusterVersion::convert, kNewestVersion}},
    {Gate::convert_to_bits_progress, {ClusterVersion::base, ClusterVersion::base}},
};

struct NotesRow {
  ClusterVersion version;
  VersionNotes notes;
};

constexpr NotesRow kNotes[] = {
    {ClusterVersion::base,
     {"progress is written as bits, and compact progress is rewritten as bits"}},
    {ClusterVersion::write_compact, {"progress is written in the compact form; both are read"}},
    {ClusterVersion::convert, {"progress stored as bits is rewritten in the compact form"}},
    {ClusterVersion::compact_only,
     {"the upgrade is final: earlier builds cannot come back", true, false}},
};

}  // namespace

std::string to_string(ClusterVersion version) { return std::to_string(number(version)); }

std::string to_string(const VersionRange& range) {
  return to_string(range.oldest) + " to " + to_string(range.newest);
}

bool is_open(Gate gate, ClusterVersion version) {
  return std::any_of(std::begin(kGates), std::end(kGates), [&](const GateRow& row) {
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

std::optional<VersionNotes> notes(ClusterVersion version) {
  const auto row = std::find_if(std::begin(kNotes), std::end(kNotes),
                                [&](const NotesRow& r) { return r.version == version; });
  if (row == std::end(kNotes)) return std::nullopt;
  return row->notes;
}

}  // namespace eiderreel::upgrade
