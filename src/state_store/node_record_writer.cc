// Writes this controller's own record, which says that it is there.
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
                           .features = k::kFeatures,
                           .versions = std::nullopt};
  if (acting_version.enabled())
    record.versions = {acting_version.range(), *dependencies_.replica.view().cluster.version,
                       dependencies_.settings.upgrade.build};
  return record;
}

// Where versions are enabled the record names the durable version as it is at that moment, and
// replaces just the record that was known; so no late copy of an older one can bring back an older
// version.
std::vector<codec::Precondition> NodeRecordWriter::preconditions() const {
  if (!dependencies_.acting_version.enabled()) return {};
  const ClusterView& view = dependencies_.replica.view();
  const auto known = view.nodes.find(dependencies_.settings.node);
  const std::uint64_t known_revision = known == view.nodes.end() ? 0 : known->second.revision;
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
    dependencies_.acting_version.record_written(version, revision);
  }
  dependencies_.runtime.after(written ? 0 : k::kRetryMs, [this] { writing_ = false; });
}

}  // namespace eiderreel
