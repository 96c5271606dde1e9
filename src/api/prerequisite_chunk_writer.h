// Storage of prerequisites that do not fit into the job's record.
#pragma once
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "config/settings.h"
#include "state_store/state_store_client.h"

namespace eiderreel {

/// Splits a list of prerequisites into values within the size limit and writes them.
class PrerequisiteChunkWriter {
 public:
  /// The durable chunks of one job.
  struct WrittenChunks {
    std::size_t count = 0;
    codec::Precondition last_chunk;  // the last chunk is unchanged since it was written
  };
  /// Receives std::nullopt if the state store did not confirm all chunks; some may be stored.
  using Done = std::function<void(std::optional<WrittenChunks>)>;

  PrerequisiteChunkWriter(const Settings& settings, StateStoreClient& state_store)
      : settings_(settings), state_store_(state_store) {}

  /// Writes the prerequisites of the job under `nonce`, the nonce of the job record written next.
  void write(const JobSpec& job, const std::string& nonce, Done done);

 private:
  // Chunks of one job that are being written.
  struct Upload {
    std::string job_id;
    std::string nonce;
    std::vector<std::string> values;
    std::size_t durable_count = 0;  // number of durable values
    std::uint64_t last_revision = 0;
    Done done;
  };
  using PendingUpload = std::shared_ptr<Upload>;

  std::vector<std::string> split(const JobSpec& job, const std::string& nonce) const;
  void write_next(const PendingUpload& upload);

  const Settings& settings_;
  StateStoreClient& state_store_;
};

}  // namespace eiderreel
