// The requests to the state store that wait for the rate limiter.
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
  std::string body = {};  // empty: none
  Ms timeout = constants::kStateStoreTimeoutMs;
  int changes = 0;  // puts and deletes in it
  RequestPriority priority = RequestPriority::user;
  std::function<void(const HttpReply&)> done;  // called exactly once
};

/// Sends requests in the order of their priorities, as fast as the rate limiter allows. One that
/// has waited for its whole timeout without being sent gets a 429, as does one that finds the queue
/// full; urgent ones are exempt from both.
class RequestQueue {
 public:
  /// What has happened since the start.
  struct Counters {
    std::map<int, std::uint64_t> replies;  // by status, 0: none
    std::uint64_t refused_here = 0;        // over our own budget
  };

  RequestQueue(Runtime& runtime, const Settings& settings, RateLimiter& rate_limiter)
      : runtime_(runtime), settings_(settings), rate_limiter_(rate_limiter) {}

  /// Queues a request, and sends it at once if it may go.
  void submit(StoreRequest request);
  /// Sends what may go by now.
  void send_allowed();

  /// When the state store last executed a request of ours.
  Ms last_good() const { return last_good_; }
  /// All that was counted since the start.
  const Counters& counters() const { return counters_; }
  /// How many requests wait to be sent.
  std::size_t size() const { return queue_.size(); }

 private:
  struct Pending {
    StoreRequest request;
    Ms expires = 0;  // when it has waited for its whole timeout
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
  Ms last_good_ = 0;
  Counters counters_;
};

}  // namespace eiderreel
