// Counts replies to users by wrapping the reply callbacks.
#include "api/user_request_metrics.h"

#include <string>
#include <utility>

namespace eiderreel {

Reply UserRequestMetrics::with_metrics(std::map<int, std::uint64_t>& by_status,
                                       LatencyHistogram& latency, Reply reply) {
  return [this, &by_status, &latency, started_at = runtime_.now(), reply = std::move(reply)](
             int status, std::string body) {
    ++by_status[status];
    latency.add(runtime_.now() - started_at);
    reply(status, std::move(body));
  };
}

Reply UserRequestMetrics::count_submit(Reply reply) {
  return with_metrics(counters_.submits, counters_.submit_latency, std::move(reply));
}

Reply UserRequestMetrics::count_poll(Reply reply) {
  return with_metrics(counters_.polls, counters_.poll_latency, std::move(reply));
}

Reply UserRequestMetrics::count_cancel(Reply reply) {
  return with_metrics(counters_.cancels, counters_.cancel_latency, std::move(reply));
}

}  // namespace eiderreel
