#include "cloud/cloud_client.h"

#include <algorithm>
#include <utility>

namespace eiderreel {

namespace k = constants;

void CloudClient::start() {
  refilled_at_ = runtime_.now();
  tokens_ = settings_.cloud_rps / 2;
}

void CloudClient::call(HttpRequest r, std::function<void(HttpReply)> done) {
  const Ms now = runtime_.now();
  const double seconds = static_cast<double>(now - refilled_at_) / 1000.0;
  tokens_ =
      std::min(settings_.cloud_rps, tokens_ + seconds * settings_.cloud_rps * k::kBudgetShare);
  refilled_at_ = now;
  if (tokens_ < 1) {
    runtime_.after(k::kRetryMs, [done = std::move(done)] { done({429, ""}); });
    return;
  }
  tokens_ -= 1;
  r.addr = settings_.cloud_addr;
  r.timeout = k::kCloudTimeoutMs;
  runtime_.http(std::move(r), [this, done = std::move(done)](HttpReply reply) {
    ++replies_[reply.status];
    done(std::move(reply));
  });
}

}  // namespace eiderreel
