// Whether this controller hears any worker at all, or is cut off from them.
#include "leadership/worker_liveness.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "runtime/http_status.h"

namespace eiderreel {

namespace k = constants;

// Counted by ticks, so that a process which stood still does not take its own absence for the
// workers'. A node that has heard none for a moment, perhaps since it leads no machines, probes any
// of all machines.
void WorkerLiveness::tick() {
  const Ms now = runtime_.now();
  silent_ms_ += std::min(now - std::exchange(counted_at_, now), 2 * k::kTickMs);
  if (state_store_.view().machines.empty()) silent_ms_ = 0;
  if (silent_ms_ < static_cast<Ms>(settings_.heartbeat_interval_s * 1000 / 2) ||
      now - probed_at_ < k::kProbeIntervalMs)
    return;
  probed_at_ = now;
  probe_random_worker();
}

void WorkerLiveness::probe_random_worker() {
  const auto& machines = state_store_.view().machines;
  const auto offset =
      static_cast<std::ptrdiff_t>(runtime_.random() * static_cast<double>(machines.size()));
  const std::string& addr = std::next(machines.begin(), offset)->second.record.addr;
  runtime_.http({addr, "GET", "/inspect", "", k::kWorkerRequestTimeoutMs, true},
                [this](const HttpReply& reply) {
                  if (reply.status == http_status::kOk) heard();
                });
}

bool WorkerLiveness::hears_workers() const {
  return silent_ms_ <
         static_cast<Ms>(settings_.heartbeat_interval_s * 1000 * 5 / 4) + k::kWorkerSilenceMarginMs;
}

}  // namespace eiderreel
