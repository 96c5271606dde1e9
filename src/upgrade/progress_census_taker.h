// The census of stored progress, which the last step of an upgrade depends on.
#pragma once
#include <functional>
#include <optional>
#include <vector>

#include "state_store/state_store_client.h"
#include "upgrade/step_plan.h"

namespace eiderreel::upgrade {

/// Counts the stored values of progress by their form, over all partitions.
class ProgressCensusTaker {
 public:
  /// Nothing: the state store does not tell.
  using Done = std::function<void(std::optional<ProgressCensus>)>;

  explicit ProgressCensusTaker(StateStoreClient& state_store) : state_store_(state_store) {}

  /// Reads every stored value of progress and calls back with the counts.
  void take(Done done);

 private:
  ProgressCensus count(const std::vector<codec::StateRow>& rows) const;

  StateStoreClient& state_store_;
};

}  // namespace eiderreel::upgrade
