// Whether this controller hears any worker at all, or is cut off from them.
#pragma once
#include "config/settings.h"
#include "state_store/state_store_client.h"

namespace eiderreel {

/// Counts for how long no worker has been heard, and probes one at random when it has been silent.
class WorkerLiveness {
 public:
  WorkerLiveness(Runtime& runtime, const Settings& settings, const StateStoreClient& state_store)
      : runtime_(runtime), settings_(settings), state_store_(state_store) {}

  /// A worker has sent a heartbeat.
  void heard() { silent_ms_ = 0; }
  /// Counts the silence, and probes a worker when it lasts.
  void tick();
  /// Whether this controller hears workers, as far as it can tell.
  bool hears_workers() const;

 private:
  void probe_random_worker();

  Runtime& runtime_;
  const Settings& settings_;
  const StateStoreClient& state_store_;
  Ms silent_ms_ = 0;
  Ms counted_at_ = 0;
  Ms probed_at_ = 0;
};

}  // namespace eiderreel
