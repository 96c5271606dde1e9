// Token buckets for this controller's share of the state store's rate limits.
#include "state_store/rate_limiter.h"

#include <algorithm>
#include <cmath>

namespace eiderreel {

namespace k = constants;

void RateLimiter::TokenBucket::configure(double limit, double controllers) {
  total_limit = limit * k::kUsableRateShare;
  even_share = total_limit / controllers;
  rate = even_share;
  tokens = even_share;
}

void RateLimiter::TokenBucket::refill(double seconds, double unused) {
  rate = even_share + unused;
  tokens = std::min(rate, tokens + seconds * rate);
  used_rate *= std::exp(-seconds * 1000.0 / k::kUsageAveragingMs);
}

void RateLimiter::TokenBucket::consume(double count) {
  tokens -= count;
  used_rate += count * 1000.0 / k::kUsageAveragingMs;
}

RateLimiter::RateLimiter(const Settings& settings) {
  const auto controllers = static_cast<double>(settings.peers.size() + 1);
  requests_.configure(settings.state_rps, controllers);
  changes_.configure(settings.state_write_rps, controllers);
}

void RateLimiter::set_peer_usage(const std::string& node, const StoreUsage& usage, Ms now) {
  peer_usage_[node] = {.reported_at = now, .usage = usage};
}

// A peer without a recent status counts as using its whole share. Of the unused shares of the
// others, this controller borrows the fraction kBorrowableShare, so that two busy controllers do
// not both borrow all of it.
void RateLimiter::refill(Ms now) {
  const double seconds = static_cast<double>(now - refilled_at_) / 1000.0;
  refilled_at_ = now;
  StoreUsage unused;
  for (const auto& [node, peer] : peer_usage_) {
    if (now - peer.reported_at >= k::kPeerStatusTtlMs) continue;
    unused.requests_per_s += std::max(0.0, requests_.even_share - peer.usage.requests_per_s);
    unused.changes_per_s += std::max(0.0, changes_.even_share - peer.usage.changes_per_s);
  }
  requests_.refill(seconds, unused.requests_per_s * k::kBorrowableShare);
  changes_.refill(seconds, unused.changes_per_s * k::kBorrowableShare);
}

// User requests may overdraw the bucket by the shares of all other controllers: they contain few
// changes, and a refusal by the state store itself costs only one more attempt.
bool RateLimiter::allows(RequestPriority request_priority, int changes) const {
  if (request_priority == RequestPriority::urgent) return true;
  const double debt_factor = request_priority == RequestPriority::user ? 1 : 0;
  if (requests_.tokens - 1 < -debt_factor * (requests_.total_limit - requests_.even_share))
    return false;
  if (changes == 0) return true;
  const double required_tokens = std::min<double>(changes, changes_.rate - 0.5);
  const double reserve = request_priority == RequestPriority::progress
                             ? changes_.even_share * k::kProgressReserveShare
                             : 0;
  return changes_.tokens - required_tokens -
             std::min(reserve, changes_.rate - 0.5 - required_tokens) >=
         -debt_factor * (changes_.total_limit - changes_.even_share);
}

void RateLimiter::consume(int changes) {
  requests_.consume(1);
  changes_.consume(changes);
}

}  // namespace eiderreel
