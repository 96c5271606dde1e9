// Detects whether this controller has contact with any worker or is cut off from all of them.
#include "leadership/worker_liveness.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "runtime/http_status.h"

namespace eiderreel {

namespace k = constants;

// A tick adds at most two tick intervals, so that a process that was paused does not mistake its
// own pause for silence of the workers. A node that has had no contact for half a heartbeat
// interval, perhaps because it leads no machines, probes a random machine of the cluster.
void WorkerLiveness::tick() {
  const Ms now = runtime_.now();
  no_contact_ms_ += std::min(now - std::exchange(last_tick_at_, now), 2 * k::kTickMs);
  if (state_store_.view().machines.empty()) no_contact_ms_ = 0;
  if (no_contact_ms_ < static_cast<Ms>(settings_.heartbeat_interval_s * 1000 / 2) ||
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
                  if (reply.status == http_status::kOk) record_contact();
                });
}

bool WorkerLiveness::has_worker_contact() const {
  return no_contact_ms_ <
         static_cast<Ms>(settings_.heartbeat_interval_s * 1000 * 5 / 4) + k::kWorkerSilenceMarginMs;
}

}  // namespace eiderreel
