// Token buckets for this controller's share of the state store's rate limits.
#include "state_store/rate_limiter.h"

#include <algorithm>
#include <cmath>

namespace eiderreel {

namespace k = constants;

void RateLimiter::TokenBucket::set_up(double limit, double controllers) {
  total = limit * k::kBudgetShare;
  even = total / controllers;
  rate = even;
  tokens = even;
}

void RateLimiter::TokenBucket::refill(double seconds, double unused) {
  rate = even + unused;
  tokens = std::min(rate, tokens + seconds * rate);
  used *= std::exp(-seconds * 1000.0 / k::kUseMs);
}

void RateLimiter::TokenBucket::take(double count) {
  tokens -= count;
  used += count * 1000.0 / k::kUseMs;
}

RateLimiter::RateLimiter(const Settings& settings) {
  const auto controllers = static_cast<double>(settings.peers.size() + 1);
  requests_.set_up(settings.state_rps, controllers);
  changes_.set_up(settings.state_write_rps, controllers);
}

void RateLimiter::set_peer_use(const std::string& node, const StoreUsage& use, Ms now) {
  peers_[node] = {.at = now, .use = use};
}

// A peer without a recent status counts as using its whole share. Of the unused shares of the
// others, this controller borrows the fraction kBorrowedShare, so that two busy controllers do not
// both borrow all of it.
void RateLimiter::refill(Ms now) {
  const double seconds = static_cast<double>(now - refilled_at_) / 1000.0;
  refilled_at_ = now;
  StoreUsage unused;
  for (const auto& [node, peer] : peers_) {
    if (now - peer.at >= k::kStatusStaleMs) continue;
    unused.requests += std::max(0.0, requests_.even - peer.use.requests);
    unused.changes += std::max(0.0, changes_.even - peer.use.changes);
  }
  requests_.refill(seconds, unused.requests * k::kBorrowedShare);
  changes_.refill(seconds, unused.changes * k::kBorrowedShare);
}

// User requests may overdraw the bucket by the shares of all other controllers: they contain few
// changes, and a refusal by the state store itself costs only one more attempt.
bool RateLimiter::allows(RequestPriority request_priority, int changes) const {
  if (request_priority == RequestPriority::urgent) return true;
  const double debt = request_priority == RequestPriority::user ? 1 : 0;
  if (requests_.tokens - 1 < -debt * (requests_.total - requests_.even)) return false;
  if (changes == 0) return true;
  const double want = std::min<double>(changes, changes_.rate - 0.5);
  const double reserve =
      request_priority == RequestPriority::progress ? changes_.even * k::kProgressKeep : 0;
  return changes_.tokens - want - std::min(reserve, changes_.rate - 0.5 - want) >=
         -debt * (changes_.total - changes_.even);
}

void RateLimiter::take(int changes) {
  requests_.take(1);
  changes_.take(changes);
}

}  // namespace eiderreel
