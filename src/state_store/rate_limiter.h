// How much this controller may ask of the state store, whose limits all controllers share: an
// even part for each, and half of what the others say that they leave of theirs.
#pragma once
#include <map>
#include <string>

#include "config/settings.h"
#include "constants.h"
#include "model/load.h"

namespace eiderreel {

// What goes first when the budget of the state store is short. Users and what they are told come
// before machines, and machines before progress, which is written as often as the rest allows.
enum class RequestPriority { urgent, user, fleet, progress };

class RateLimiter {
 public:
  explicit RateLimiter(const Settings& s);
  void start(Ms now) { refilled_at_ = now; }

  // What this controller takes of the limits, for its peers; and what a peer has said that it
  // takes.
  StoreUsage use() const { return {requests_.used, changes_.used}; }
  void set_peer_use(const std::string& node, const StoreUsage& use, Ms now);

  void refill(Ms now);
  // Whether a request with so many changes may go now.
  bool allows(RequestPriority request_priority, int changes) const;
  void take(int changes);
  // The requests a second that are surely this controller's.
  double even_requests() const { return requests_.even; }

 private:
  struct TokenBucket {
    double total = 0, even = 0, rate = 0, tokens = 0, used = 0;
    void set_up(double limit, double controllers);
    void refill(double seconds, double unused);
    void take(double n);
  };
  struct PeerUse {
    Ms at = 0;
    StoreUsage use;
  };

  TokenBucket requests_, changes_;
  std::map<std::string, PeerUse> peers_;
  Ms refilled_at_ = 0;
};

}  // namespace eiderreel
