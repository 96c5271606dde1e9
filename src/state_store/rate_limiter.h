// Limits the rate of this controller's requests to the state store. All controllers share the
// store's limits: each has an even share, and borrows half of what its peers report as unused of
// theirs.
#pragma once
#include <map>
#include <string>

#include "config/settings.h"
#include "constants.h"
#include "model/load.h"
#include "state_store/request_priority.h"

namespace eiderreel {

/// Decides whether a request may be sent to the state store now. One token bucket counts requests,
/// another one the puts and deletes in them.
class RateLimiter {
 public:
  explicit RateLimiter(const Settings& settings);
  /// Starts the refill clock at `now`.
  void start(Ms now) { refilled_at_ = now; }

  /// The rates that this controller uses, to be reported to its peers.
  StoreUsage usage() const {
    return {.requests_per_s = requests_.used_rate, .changes_per_s = changes_.used_rate};
  }
  /// Stores the rates that a peer reported at `now`.
  void set_peer_usage(const std::string& node, const StoreUsage& usage, Ms now);

  /// Adds the tokens that have accrued since the last call.
  void refill(Ms now);
  /// Whether a request with `changes` puts and deletes may be sent now.
  bool allows(RequestPriority request_priority, int changes) const;
  /// Takes the tokens of a request with `changes` puts and deletes that is sent now.
  void consume(int changes);
  /// This controller's even share of the request limit, in requests per second.
  double request_share_per_s() const { return requests_.even_share; }

 private:
  struct TokenBucket {
    double total_limit = 0;  // per second, for all controllers together
    double even_share = 0;   // per second, the even share of one controller
    double rate = 0;         // per second, including what is borrowed from peers
    double tokens = 0;       // below 0: overdrawn
    double used_rate = 0;    // per second, exponential average over kUsageAveragingMs
    void configure(double limit, double controllers);
    void refill(double seconds, double unused);
    void consume(double count);
  };
  struct PeerUsage {
    Ms reported_at = 0;
    StoreUsage usage;
  };

  TokenBucket requests_;
  TokenBucket changes_;
  std::map<std::string, PeerUsage> peer_usage_;
  Ms refilled_at_ = 0;
};

}  // namespace eiderreel
