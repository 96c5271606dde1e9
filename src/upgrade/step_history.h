// The history of steps, kept in the state store.
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

/// Writes, reads and trims the records of steps that were asked for.
class StepHistory {
 public:
  /// In the order of time; nothing: the state store does not tell.
  using ReadDone = std::function<void(std::optional<std::vector<StepRecord>>)>;

  StepHistory(const Runtime& runtime, const Settings& settings, StateStoreClient& state_store)
      : runtime_(runtime), settings_(settings), state_store_(state_store) {}

  /// The record of a step that ends now with this outcome.
  StepRecord record_of(const StepOrder& order, const StepPlan& plan, StepOutcome outcome) const;
  /// The write of the record, for a commit with this nonce.
  static codec::Write write_of(StepRecord record, const std::string& nonce);
  /// Stores the record in a commit of its own. A failure is logged.
  void write(const StepRecord& record);
  /// Deletes the oldest records beyond those that are kept, as many as one transaction takes.
  void delete_old_records();
  /// Reads all records; those that cannot be parsed are left out.
  void read(ReadDone done);

 private:
  const Runtime& runtime_;
  const Settings& settings_;
  StateStoreClient& state_store_;
};

}  // namespace eiderreel::upgrade
