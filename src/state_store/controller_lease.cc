// Acquires and renews this controller's lease and detects its expiry.
#include "state_store/controller_lease.h"

#include <spdlog/spdlog.h>

#include "codec/state_json.h"
#include "runtime/http_status.h"
#include "state_store/store_http.h"

namespace eiderreel {

namespace k = constants;

namespace {

// Invariant 6: the validity of a lease counts from when the request that granted or renewed it was
// sent, shortened by the maximum clock drift and a safety margin.
Ms valid_until(Ms sent_at) {
  return sent_at + static_cast<Ms>(k::kLeaseTtlMs * (1 - k::kClockDriftShare)) - k::kLeaseMarginMs;
}

}  // namespace

void ControllerLease::tick() {
  if (id_ == 0)
    acquire();
  else if (!renewing_ && runtime_.now() - last_renewal_sent_at_ >= k::kLeaseRenewIntervalMs)
    renew();
}

void ControllerLease::acquire() {
  if (acquiring_) return;
  acquiring_ = true;
  const std::uint64_t earlier_lease_id = lease_of_earlier_process();
  if (earlier_lease_id != 0)
    revoke_earlier_lease(earlier_lease_id);
  else
    request_lease();
}

// The lease ID of an earlier process of this node, from its node record; 0 if there is none.
std::uint64_t ControllerLease::lease_of_earlier_process() const {
  const auto& nodes = replica_.view().nodes;
  const auto node = nodes.find(settings_.node);
  if (node == nodes.end() || node->second.record.boot_id == runtime_.boot_id()) return 0;
  return node->second.record.lease_id;
}

// The earlier process has ended; until its lease expires, no controller can claim the partitions
// bound to it.
void ControllerLease::revoke_earlier_lease(std::uint64_t lease_id) {
  spdlog::info("lease revoked node={} lease={} reason=earlier-process", settings_.node, lease_id);
  requests_.submit({.method = "DELETE",
                    .path = store_http::lease_path(lease_id),
                    .priority = RequestPriority::urgent,
                    .done = [this](const HttpReply& reply) {
                      const int status = reply.status;
                      if (status == http_status::kOk || status == http_status::kNotFound)
                        replica_.remove_node(settings_.node);
                      const bool failed = status == http_status::kNoAnswer ||
                                          status >= http_status::kTooManyRequests;
                      runtime_.after(failed ? k::kRetryDelayMs : 0, [this] { acquiring_ = false; });
                    }});
}

void ControllerLease::request_lease() {
  const Ms sent_at = runtime_.now();
  requests_.submit({.method = "POST",
                    .path = store_http::kLeasesPath,
                    .body = codec::lease_request_body(k::kLeaseTtlMs),
                    .priority = RequestPriority::urgent,
                    .done = [this, sent_at](const HttpReply& reply) {
                      const auto lease_id = reply.status == http_status::kOk
                                                ? codec::parse_lease_id(reply.body)
                                                : codec::status_error(reply.status);
                      if (!lease_id) {
                        runtime_.after(k::kRetryDelayMs, [this] { acquiring_ = false; });
                        return;
                      }
                      id_ = *lease_id;
                      last_renewal_sent_at_ = sent_at;
                      valid_until_ = valid_until(sent_at);
                      acquiring_ = false;
                      spdlog::info("lease acquired node={} lease={}", settings_.node, id_);
                    }});
}

void ControllerLease::renew() {
  renewing_ = true;
  const Ms sent_at = runtime_.now();
  last_renewal_sent_at_ = sent_at;
  requests_.submit({.method = "POST",
                    .path = store_http::lease_renewal_path(id_),
                    .priority = RequestPriority::urgent,
                    .done = [this, sent_at, lease_id = id_](const HttpReply& reply) {
                      on_renewal_reply(lease_id, sent_at, reply.status);
                    }});
}

void ControllerLease::on_renewal_reply(std::uint64_t lease_id, Ms sent_at, int status) {
  renewing_ = false;
  if (lease_id != id_) return;
  if (status == http_status::kOk)
    valid_until_ = valid_until(sent_at);
  else if (status == http_status::kNotFound)
    handle_loss();
  else  // retry the renewal after kRetryDelayMs instead of a whole renewal interval
    last_renewal_sent_at_ = runtime_.now() - k::kLeaseRenewIntervalMs + k::kRetryDelayMs;
}

void ControllerLease::handle_loss() {
  spdlog::warn("lease lost node={} lease={}", settings_.node, id_);
  id_ = 0;
  valid_until_ = 0;
  on_lost_();
}

}  // namespace eiderreel
