// The cloud client: calls to the cloud's interface, within its rate limit.
#pragma once
#include <functional>
#include <map>

#include "config/settings.h"
#include "runtime/runtime.h"

namespace eiderreel {

class CloudClient {
 public:
  CloudClient(Runtime& runtime, const Settings& settings)
      : runtime_(runtime), settings_(settings) {}
  void start();
  // A call over the limit is refused here as the cloud would; its caller tries again.
  void call(HttpRequest r, std::function<void(HttpReply)> done);
  // How often the cloud has answered with each status; 0: not at all.
  const std::map<int, std::uint64_t>& replies() const { return replies_; }

 private:
  Runtime& runtime_;
  const Settings& settings_;
  double tokens_ = 0;
  Ms refilled_at_ = 0;
  std::map<int, std::uint64_t> replies_;
};

}  // namespace eiderreel
