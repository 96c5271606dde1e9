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
  /// What was counted since the start of the process.
  struct Counters {
    std::map<int, std::uint64_t> submits, polls, cancels;  // by HTTP status
    LatencyHistogram submit_latency, poll_latency, cancel_latency;
  };

  explicit UserRequestMetrics(const Runtime& runtime) : runtime_(runtime) {}

  /// Each returns a reply that counts itself and then passes on to `reply`. The latency runs from
  /// this call to the reply. This object must outlive the reply.
  Reply count_submit(Reply reply);
  /// The same for a question about a job.
  Reply count_poll(Reply reply);
  /// The same for a cancellation.
  Reply count_cancel(Reply reply);

  /// All that was counted since the start.
  const Counters& counters() const { return counters_; }

 private:
  Reply counted(std::map<int, std::uint64_t>& by_status, LatencyHistogram& latency, Reply reply);

  const Runtime& runtime_;
  Counters counters_;
};

}  // namespace eiderreel
