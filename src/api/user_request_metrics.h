// Counts and latencies of users' requests, for /metrics.
#pragma once
#include <cstdint>
#include <map>

#include "observability/latency_histogram.h"
#include "runtime/runtime.h"

namespace eiderreel {

/// Counts each reply to a user by its HTTP status, and measures how long it took.
class UserRequestMetrics {
 public:
  /// Counts and latencies since the start of the process.
  struct Counters {
    std::map<int, std::uint64_t> submits, polls, cancels;  // by HTTP status
    LatencyHistogram submit_latency, poll_latency, cancel_latency;
  };

  explicit UserRequestMetrics(const Runtime& runtime) : runtime_(runtime) {}

  /// Returns a callback that counts the reply to a submission and then calls `reply`. The latency
  /// is measured from this call to the reply. This object must outlive the returned callback.
  Reply count_submit(Reply reply);
  /// Like count_submit(), for a poll.
  Reply count_poll(Reply reply);
  /// Like count_submit(), for a cancellation.
  Reply count_cancel(Reply reply);

  /// Counts since the start of the process.
  const Counters& counters() const { return counters_; }

 private:
  Reply with_metrics(std::map<int, std::uint64_t>& by_status, LatencyHistogram& latency,
                     Reply reply);

  const Runtime& runtime_;
  Counters counters_;
};

}  // namespace eiderreel
