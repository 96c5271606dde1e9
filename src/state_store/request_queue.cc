// Queues the requests to the state store, and retries those that it refuses over its limit.
#include "state_store/request_queue.h"

#include <algorithm>
#include <iterator>
#include <memory>
#include <utility>

#include "runtime/http_status.h"

namespace eiderreel {

namespace k = constants;

namespace {

// Any reply but these shows that the state store serves this controller.
bool is_executed(int status) {
  return status != http_status::kNoAnswer && status != http_status::kServiceUnavailable &&
         status != http_status::kTooManyRequests;
}

}  // namespace

// More than can be served while it waits would only be refused later.
bool RequestQueue::is_full() const {
  const double most =
      std::max(k::kMinRequestQueueCapacity, settings_.state_rps * k::kStateStoreTimeoutMs / 1000);
  return static_cast<double>(queue_.size()) >= most;
}

void RequestQueue::submit(StoreRequest request) {
  if (request.priority != RequestPriority::urgent && is_full()) {
    refuse(std::move(request.done));
    return;
  }
  const Ms expires = runtime_.now() + request.timeout;
  enqueue({.request = std::move(request), .expires = expires});
}

void RequestQueue::enqueue(Pending pending) {
  auto position = queue_.end();
  while (position != queue_.begin() &&
         std::prev(position)->request.priority > pending.request.priority)
    --position;
  queue_.insert(position, std::move(pending));
  send_allowed();
}

// The request was not sent, so nothing was done. The caller hears of it after its own call has
// returned, as of any other reply.
void RequestQueue::refuse(std::function<void(const HttpReply&)> done) {
  ++counters_.refused_here;
  runtime_.after(
      0, [done = std::move(done)] { done({.status = http_status::kTooManyRequests, .body = ""}); });
}

void RequestQueue::send_allowed() {
  const Ms now = runtime_.now();
  rate_limiter_.refill(now);
  while (!queue_.empty()) {
    Pending& front = queue_.front();
    if (front.expires <= now && front.request.priority != RequestPriority::urgent) {
      auto done = std::move(front.request.done);
      queue_.pop_front();
      refuse(std::move(done));
      continue;
    }
    if (!rate_limiter_.allows(front.request.priority, front.request.changes)) return;
    rate_limiter_.take(front.request.changes);
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
    if (is_executed(reply.status)) last_good_ = runtime_.now();
    // Over the limit after all: nothing was done, so it may go again as it is.
    if (reply.status == http_status::kTooManyRequests &&
        sent->request.priority == RequestPriority::user && runtime_.now() < sent->expires) {
      runtime_.after(k::kThrottledRetryDelayMs, [this, sent] { enqueue(std::move(*sent)); });
      return;
    }
    sent->request.done(reply);
  });
}

}  // namespace eiderreel
