// Storage of a job's prerequisites that do not fit into its record.
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

/// Splits a list of prerequisites into values of the state store and writes these.
class PrerequisiteChunkWriter {
 public:
  /// The chunks of one job, all of them durable.
  struct Written {
    std::size_t count = 0;
    codec::Precondition last;  // holds while the last chunk stands as it was written
  };
  /// Nothing: the state store did not confirm all chunks; some may be stored.
  using Done = std::function<void(std::optional<Written>)>;

  PrerequisiteChunkWriter(const Settings& settings, StateStoreClient& state_store)
      : settings_(settings), state_store_(state_store) {}

  /// Writes the prerequisites of the job under `nonce`, the nonce of the record that will follow.
  void write(const JobSpec& job, const std::string& nonce, Done done);

 private:
  // The chunks of one job on their way to the state store.
  struct Upload {
    std::string job_id;
    std::string nonce;
    std::vector<std::string> values;
    std::size_t written = 0;  // values that are durable
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
