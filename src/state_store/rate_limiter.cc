// Token buckets over this controller's part of the state store's limits.
#include "state_store/rate_limiter.h"

#include <algorithm>
#include <cmath>

namespace eiderreel {

namespace k = constants;

void RateLimiter::TokenBucket::set_up(double limit, double controllers) {
  total = limit * k::kUsableRateShare;
  even = total / controllers;
  rate = even;
  tokens = even;
}

void RateLimiter::TokenBucket::refill(double seconds, double unused) {
  rate = even + unused;
  tokens = std::min(rate, tokens + seconds * rate);
  used *= std::exp(-seconds * 1000.0 / k::kUsageAveragingMs);
}

void RateLimiter::TokenBucket::take(double count) {
  tokens -= count;
  used += count * 1000.0 / k::kUsageAveragingMs;
}

RateLimiter::RateLimiter(const Settings& settings) {
  const auto controllers = static_cast<double>(settings.peers.size() + 1);
  requests_.set_up(settings.state_rps, controllers);
  changes_.set_up(settings.state_write_rps, controllers);
}

void RateLimiter::set_peer_use(const std::string& node, const StoreUsage& use, Ms now) {
  peers_[node] = {.at = now, .use = use};
}

// A controller that is not heard of may use all of its part. Of what the others leave, an even
// share is ours: so two that are in need together do not both take the whole.
void RateLimiter::refill(Ms now) {
  const double seconds = static_cast<double>(now - refilled_at_) / 1000.0;
  refilled_at_ = now;
  StoreUsage unused;
  for (const auto& [node, peer] : peers_) {
    if (now - peer.at >= k::kPeerStatusTtlMs) continue;
    unused.requests += std::max(0.0, requests_.even - peer.use.requests);
    unused.changes += std::max(0.0, changes_.even - peer.use.changes);
  }
  requests_.refill(seconds, unused.requests * k::kBorrowableShare);
  changes_.refill(seconds, unused.changes * k::kBorrowableShare);
}

// Users may run into debt up to what the others would have to leave unused: their changes are few,
// and a refusal by the state store itself costs one more try.
bool RateLimiter::allows(RequestPriority request_priority, int changes) const {
  if (request_priority == RequestPriority::urgent) return true;
  const double debt = request_priority == RequestPriority::user ? 1 : 0;
  if (requests_.tokens - 1 < -debt * (requests_.total - requests_.even)) return false;
  if (changes == 0) return true;
  const double want = std::min<double>(changes, changes_.rate - 0.5);
  const double reserve =
      request_priority == RequestPriority::progress ? changes_.even * k::kProgressReserveShare : 0;
  return changes_.tokens - want - std::min(reserve, changes_.rate - 0.5 - want) >=
         -debt * (changes_.total - changes_.even);
}

void RateLimiter::take(int changes) {
  requests_.take(1);
  changes_.take(changes);
}

}  // namespace eiderreel
