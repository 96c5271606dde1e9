// Queues requests to the state store and retries user requests that it rejects with 429.
#include "state_store/request_queue.h"

#include <algorithm>
#include <iterator>
#include <memory>
#include <utility>

#include "runtime/http_status.h"

namespace eiderreel {

namespace k = constants;

namespace {

// Whether the reply shows that the state store executes requests of this controller.
bool shows_execution(int status) {
  return status != http_status::kNoAnswer && status != http_status::kServiceUnavailable &&
         status != http_status::kTooManyRequests;
}

}  // namespace

// A request beyond the number that can be sent within the timeout would expire in the queue anyway.
bool RequestQueue::is_full() const {
  const double max_size =
      std::max(k::kMinRequestQueueCapacity, settings_.state_rps * k::kStateStoreTimeoutMs / 1000);
  return static_cast<double>(queue_.size()) >= max_size;
}

void RequestQueue::submit(StoreRequest request) {
  if (request.priority != RequestPriority::urgent && is_full()) {
    refuse(std::move(request.done));
    return;
  }
  const Ms expires_at = runtime_.now() + request.timeout;
  enqueue({.request = std::move(request), .expires_at = expires_at});
}

void RequestQueue::enqueue(Pending pending) {
  auto position = queue_.end();
  while (position != queue_.begin() &&
         std::prev(position)->request.priority > pending.request.priority)
    --position;
  queue_.insert(position, std::move(pending));
  send_allowed();
}

// Replies 429 to a request that was not sent. The callback runs after the caller's submit() has
// returned, as with any other reply.
void RequestQueue::refuse(std::function<void(const HttpReply&)> done) {
  ++counters_.refused_locally;
  runtime_.after(
      0, [done = std::move(done)] { done({.status = http_status::kTooManyRequests, .body = ""}); });
}

void RequestQueue::send_allowed() {
  const Ms now = runtime_.now();
  rate_limiter_.refill(now);
  while (!queue_.empty()) {
    Pending& front = queue_.front();
    if (front.expires_at <= now && front.request.priority != RequestPriority::urgent) {
      auto done = std::move(front.request.done);
      queue_.pop_front();
      refuse(std::move(done));
      continue;
    }
    if (!rate_limiter_.allows(front.request.priority, front.request.changes)) return;
    rate_limiter_.consume(front.request.changes);
    Pending next = std::move(front);
    queue_.pop_front();
    send(std::move(next));
  }
}

HttpRequest RequestQueue::http_request(const StoreRequest& request) const {
  return {.addr = settings_.state_addr,
          .method = request.method,
          .path = request.path,
          .body = request.body,
          .timeout = request.timeout};
}

void RequestQueue::send(Pending pending) {
  auto sent = std::make_shared<Pending>(std::move(pending));
  runtime_.http(http_request(sent->request), [this, sent](const HttpReply& reply) {
    ++counters_.replies[reply.status];
    if (shows_execution(reply.status)) last_executed_at_ = runtime_.now();
    // The state store rejected the request over its rate limit and did not execute it, so it can be
    // sent again unchanged.
    if (reply.status == http_status::kTooManyRequests &&
        sent->request.priority == RequestPriority::user && runtime_.now() < sent->expires_at) {
      runtime_.after(k::kThrottledRetryDelayMs, [this, sent] { enqueue(std::move(*sent)); });
      return;
    }
    sent->request.done(reply);
  });
}

}  // namespace eiderreel
