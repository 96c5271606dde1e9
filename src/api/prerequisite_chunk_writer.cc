// Splits prerequisites into chunks and writes them in transactions.
#include "api/prerequisite_chunk_writer.h"

#include <utility>

#include "api/value_limit.h"

namespace eiderreel {

namespace {

namespace k = constants;

constexpr std::size_t kJsonBytesPerId = sizeof("\"\",") - 1;  // quotes and comma around an id

}  // namespace

void PrerequisiteChunkWriter::write(const JobSpec& job, const std::string& nonce, Done done) {
  const auto upload = std::make_shared<Upload>();
  upload->job_id = job.id;
  upload->nonce = nonce;
  upload->values = split(job, nonce);
  upload->done = std::move(done);
  write_next(upload);
}

std::vector<std::string> PrerequisiteChunkWriter::split(const JobSpec& job,
                                                        const std::string& nonce) const {
  std::vector<std::string> values;
  codec::PrerequisiteChunk chunk;
  std::size_t bytes = k::kRecordOverheadBytes;
  auto close_chunk = [&] {
    values.push_back(codec::encode(chunk, nonce));
    chunk.jobs.clear();
    bytes = k::kRecordOverheadBytes;
  };
  for (const auto& id : job.prerequisites) {
    const std::size_t id_bytes = id.size() + kJsonBytesPerId;
    if (bytes + id_bytes > value_limit_bytes(settings_)) close_chunk();
    bytes += id_bytes;
    chunk.jobs.push_back(id);
  }
  close_chunk();
  return values;
}

// Writes as many of the remaining chunks as fit into one transaction, then continues with the rest.
void PrerequisiteChunkWriter::write_next(const PendingUpload& upload) {
  const auto& values = upload->values;
  if (upload->durable_count == values.size()) {
    const std::string last_key =
        codec::prerequisite_key(upload->job_id, upload->nonce, values.size() - 1);
    return upload->done(WrittenChunks{values.size(), {last_key, upload->last_revision}});
  }
  CompareAndSwap commit;
  commit.nonce = upload->nonce;
  std::size_t bytes = 0;
  std::size_t next = upload->durable_count;
  const auto max_writes = static_cast<std::size_t>(settings_.max_transaction_writes());
  while (next < values.size() && commit.writes.size() < max_writes &&
         (commit.writes.empty() || bytes + values[next].size() <= k::kTransactionBytes)) {
    const std::string key = codec::prerequisite_key(upload->job_id, upload->nonce, next);
    bytes += values[next].size();
    commit.preconditions.push_back({key, 0});
    commit.writes.push_back({key, values[next], false});
    ++next;
  }
  commit.done = [this, upload, next](CasOutcome outcome, std::uint64_t revision) {
    if (outcome != CasOutcome::ok) return upload->done(std::nullopt);
    upload->durable_count = next;
    upload->last_revision = revision;
    write_next(upload);
  };
  state_store_.compare_and_swap(std::move(commit));
}

}  // namespace eiderreel
