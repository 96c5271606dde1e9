// How much this controller may ask of the state store, whose limits all controllers share: an
// even part for each, and half of what the others say that they leave of theirs.
#pragma once
#include <map>
#include <string>

#include "config/settings.h"
#include "constants.h"
#include "model/load.h"
#include "state_store/request_priority.h"

namespace eiderreel {

/// Decides which requests to the state store may go now. One token bucket counts requests, another
/// one the puts and deletes in them.
class RateLimiter {
 public:
  explicit RateLimiter(const Settings& settings);
  /// Begins to count time at `now`.
  void start(Ms now) { refilled_at_ = now; }

  /// What this controller takes of the limits, for its peers.
  StoreUsage use() const { return {.requests = requests_.used, .changes = changes_.used}; }
  /// What a peer has said at `now` that it takes.
  void set_peer_use(const std::string& node, const StoreUsage& use, Ms now);

  /// Adds what has accrued since the last call.
  void refill(Ms now);
  /// Whether a request with so many changes may go now.
  bool allows(RequestPriority request_priority, int changes) const;
  /// Counts a request that goes now.
  void take(int changes);
  /// The requests a second that are surely this controller's.
  double even_requests() const { return requests_.even; }

 private:
  struct TokenBucket {
    double total = 0;   // a second, of all controllers
    double even = 0;    // a second, the even part of each
    double rate = 0;    // a second, with what the others leave
    double tokens = 0;  // below 0: debt
    double used = 0;    // a second, on average over kUsageAveragingMs
    void set_up(double limit, double controllers);
    void refill(double seconds, double unused);
    void take(double count);
  };
  struct PeerUse {
    Ms at = 0;
    StoreUsage use;
  };

  TokenBucket requests_;
  TokenBucket changes_;
  std::map<std::string, PeerUse> peers_;
  Ms refilled_at_ = 0;
};

}  // namespace eiderreel
