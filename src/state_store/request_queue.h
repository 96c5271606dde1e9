// Queue of requests to the state store that wait for the rate limiter.
#pragma once
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>

#include "config/settings.h"
#include "constants.h"
#include "runtime/runtime.h"
#include "state_store/rate_limiter.h"
#include "state_store/request_priority.h"

namespace eiderreel {

/// A request to the state store.
struct StoreRequest {
  std::string method;
  std::string path;
  std::string body = {};  // empty: no body
  Ms timeout = constants::kStateStoreTimeoutMs;
  int changes = 0;  // number of puts and deletes
  RequestPriority priority = RequestPriority::user;
  std::function<void(const HttpReply&)> done;  // called exactly once
};

/// Sends requests by priority, as fast as the rate limiter allows. A request that has waited for
/// its whole timeout without being sent gets status 429, as does one that is submitted while the
/// queue is full; urgent requests are exempt from both.
class RequestQueue {
 public:
  /// Totals since the start of the process.
  struct Counters {
    std::map<int, std::uint64_t> replies;  // by HTTP status; 0: no reply
    std::uint64_t refused_locally = 0;     // rejected by this queue, not by the state store
  };

  RequestQueue(Runtime& runtime, const Settings& settings, RateLimiter& rate_limiter)
      : runtime_(runtime), settings_(settings), rate_limiter_(rate_limiter) {}

  /// Queues a request, and sends it at once if the rate limiter allows it.
  void submit(StoreRequest request);
  /// Sends the queued requests that the rate limiter allows now.
  void send_allowed();

  /// When the last reply arrived that shows that the state store executes this node's requests.
  Ms last_executed_at() const { return last_executed_at_; }
  /// The totals since the start of the process.
  const Counters& counters() const { return counters_; }
  /// The number of requests that wait to be sent.
  std::size_t size() const { return queue_.size(); }

 private:
  struct Pending {
    StoreRequest request;
    Ms expires_at = 0;  // end of its timeout, counted from its submission
  };
  bool is_full() const;
  void enqueue(Pending pending);
  void refuse(std::function<void(const HttpReply&)> done);
  void send(Pending pending);
  HttpRequest http_request(const StoreRequest& request) const;

  Runtime& runtime_;
  const Settings& settings_;
  RateLimiter& rate_limiter_;
  std::deque<Pending> queue_;  // by priority, then by arrival
  Ms last_executed_at_ = 0;
  Counters counters_;
};

}  // namespace eiderreel
