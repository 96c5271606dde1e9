// History of requested steps, kept in the state store.
#pragma once
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "config/settings.h"
#include "runtime/runtime.h"
#include "state_store/state_store_client.h"
#include "upgrade/messages.h"

namespace eiderreel::upgrade {

/// Writes, reads and trims the records of requested steps.
class StepHistory {
 public:
  /// Receives the records ordered by time, or std::nullopt if the state store could not be read.
  using ReadDone = std::function<void(std::optional<std::vector<StepRecord>>)>;

  StepHistory(const Runtime& runtime, const Settings& settings, StateStoreClient& state_store)
      : runtime_(runtime), settings_(settings), state_store_(state_store) {}

  /// Builds the record of a step that ends now with `outcome`.
  StepRecord make_record(const StepOrder& order, const StepPlan& plan, StepOutcome outcome) const;
  /// Builds the write of the record for a commit with this nonce.
  static codec::Write make_write(StepRecord record, const std::string& nonce);
  /// Writes the record in a separate commit. A failure is logged.
  void write(const StepRecord& record);
  /// Deletes the oldest records beyond the retention limit, at most one transaction's worth.
  void delete_old_records();
  /// Reads all records, omitting those that cannot be parsed.
  void read(ReadDone done);

 private:
  const Runtime& runtime_;
  const Settings& settings_;
  StateStoreClient& state_store_;
};

}  // namespace eiderreel::upgrade
