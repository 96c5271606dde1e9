// This controller's lease in the state store.
#pragma once
#include <cstdint>
#include <functional>
#include <utility>

#include "config/settings.h"
#include "constants.h"
#include "runtime/runtime.h"
#include "state_store/replicated_view.h"
#include "state_store/request_queue.h"

namespace eiderreel {

/// Acquires and renews this controller's lease and reports its loss. The state store deletes the
/// keys bound to a lease, such as partition claims, when the lease ends.
class ControllerLease {
 public:
  ControllerLease(Runtime& runtime, const Settings& settings, RequestQueue& requests,
                  ReplicatedView& replica)
      : runtime_(runtime), settings_(settings), requests_(requests), replica_(replica) {}
  /// Sets the callback that is called each time the state store reports that the lease has ended.
  void start(std::function<void()> on_lost) { on_lost_ = std::move(on_lost); }
  /// Acquires the lease if there is none, or renews it when that is due.
  void tick();

  /// The lease ID; 0 if there is no lease.
  std::uint64_t id() const { return id_; }
  /// Invariant 6: whether the lease is still valid, counted from when the last successful renewal
  /// was sent, less clock drift and a safety margin.
  bool alive() const { return id_ != 0 && runtime_.now() < valid_until_; }

 private:
  std::uint64_t lease_of_earlier_process() const;
  void acquire();
  void revoke_earlier_lease(std::uint64_t lease_id);
  void request_lease();
  void renew();
  void on_renewal_reply(std::uint64_t lease_id, Ms sent_at, int status);
  void handle_loss();

  Runtime& runtime_;
  const Settings& settings_;
  RequestQueue& requests_;
  ReplicatedView& replica_;
  std::function<void()> on_lost_;
  std::uint64_t id_ = 0;
  Ms valid_until_ = 0;
  Ms last_renewal_sent_at_ = 0;  // when the last renewal request was sent
  bool acquiring_ = false;
  bool renewing_ = false;
};

}  // namespace eiderreel
