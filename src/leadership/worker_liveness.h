// Detects whether this controller has contact with any worker or is cut off from all of them.
#pragma once
#include "config/settings.h"
#include "state_store/state_store_client.h"

namespace eiderreel {

/// Measures the time without contact to any worker, and probes a random worker when it grows.
class WorkerLiveness {
 public:
  WorkerLiveness(Runtime& runtime, const Settings& settings, const StateStoreClient& state_store)
      : runtime_(runtime), settings_(settings), state_store_(state_store) {}

  /// Records contact: a worker has sent a heartbeat or answered a probe.
  void record_contact() { no_contact_ms_ = 0; }
  /// Adds to the time without contact, and probes a worker if it has lasted half a heartbeat
  /// interval.
  void tick();
  /// Whether this controller has contact with workers: false once there was none for 5/4 of a
  /// heartbeat interval plus constants::kWorkerSilenceMarginMs.
  bool has_worker_contact() const;

 private:
  void probe_random_worker();

  Runtime& runtime_;
  const Settings& settings_;
  const StateStoreClient& state_store_;
  Ms no_contact_ms_ = 0;
  Ms last_tick_at_ = 0;
  Ms probed_at_ = 0;
};

}  // namespace eiderreel
