// Census of the stored progress values by form; the final step of an upgrade depends on it.
#pragma once
#include <functional>
#include <optional>
#include <vector>

#include "state_store/state_store_client.h"
#include "upgrade/step_plan.h"

namespace eiderreel::upgrade {

/// Counts the stored progress values of all partitions by form.
class ProgressCensusTaker {
 public:
  /// Receives std::nullopt if the state store could not be read.
  using Done = std::function<void(std::optional<ProgressCensus>)>;

  explicit ProgressCensusTaker(StateStoreClient& state_store) : state_store_(state_store) {}

  /// Reads every stored progress value and calls back with the counts.
  void take(Done done);

 private:
  ProgressCensus count(const std::vector<codec::StateRow>& rows) const;

  StateStoreClient& state_store_;
};

}  // namespace eiderreel::upgrade
