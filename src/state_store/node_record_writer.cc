// Writes this controller's node record, which announces that the controller is alive.
#include "state_store/node_record_writer.h"

#include <spdlog/spdlog.h>

#include <string>
#include <utility>

namespace eiderreel {

namespace k = constants;

void NodeRecordWriter::tick() {
  if (dependencies_.lease.alive() && is_due() && !writing_) write();
}

bool NodeRecordWriter::is_due() const {
  if (written_lease_id_ != dependencies_.lease.id()) return true;
  return dependencies_.acting_version.enabled() &&
         dependencies_.acting_version.needs_record(dependencies_.replica.view().cluster);
}

void NodeRecordWriter::write() {
  writing_ = true;
  const codec::NodeRecord written = record();
  CompareAndSwap transaction;
  transaction.nonce = dependencies_.nonces.next();
  transaction.binding = VersionBinding::by_preconditions;
  transaction.request_priority = RequestPriority::urgent;
  transaction.preconditions = preconditions();
  transaction.writes = {{.key = codec::node_key(dependencies_.settings.node),
                         .value = codec::encode(written, transaction.nonce),
                         .lease_bound = true}};
  transaction.done = [this, written](CasOutcome outcome, std::uint64_t revision) {
    on_written(written, outcome, revision);
  };
  dependencies_.swapper.submit(std::move(transaction));
}

codec::NodeRecord NodeRecordWriter::record() const {
  const upgrade::ActingVersion& acting_version = dependencies_.acting_version;
  codec::NodeRecord record{.boot_id = dependencies_.runtime.boot_id(),
                           .lease_id = dependencies_.lease.id(),
                           .features = k::kBuildFeatureBits,
                           .versions = std::nullopt};
  if (acting_version.enabled())
    record.versions = {acting_version.range(), *dependencies_.replica.view().cluster.version,
                       dependencies_.settings.upgrade.build};
  return record;
}

// If versions are enabled, the write requires that the durable version is unchanged and that the
// record it replaces is the one in the replica. A delayed duplicate of an earlier write therefore
// cannot restore an older version.
std::vector<codec::Precondition> NodeRecordWriter::preconditions() const {
  if (!dependencies_.acting_version.enabled()) return {};
  const ClusterView& view = dependencies_.replica.view();
  const auto known_entry = view.nodes.find(dependencies_.settings.node);
  const std::uint64_t known_revision =
      known_entry == view.nodes.end() ? 0 : known_entry->second.revision;
  return {{codec::version_key(), view.cluster.revision},
          {codec::node_key(dependencies_.settings.node), known_revision}};
}

void NodeRecordWriter::on_written(const codec::NodeRecord& record, CasOutcome outcome,
                                  std::uint64_t revision) {
  const bool written = outcome == CasOutcome::ok && record.lease_id == dependencies_.lease.id();
  if (written) written_lease_id_ = record.lease_id;
  if (written && record.versions) {
    const auto version = record.versions->acting;
    spdlog::info("version acknowledged node={} version={} revision={}", dependencies_.settings.node,
                 upgrade::to_string(version), revision);
    dependencies_.acting_version.on_record_written(version, revision);
  }
  dependencies_.runtime.after(written ? 0 : k::kRetryDelayMs, [this] { writing_ = false; });
}

}  // namespace eiderreel
