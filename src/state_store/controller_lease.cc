// Acquires, renews and loses this controller's lease.
#include "state_store/controller_lease.h"

#include <spdlog/spdlog.h>

#include "codec/state_json.h"
#include "runtime/http_status.h"
#include "state_store/store_http.h"

namespace eiderreel {

namespace k = constants;

namespace {

// Invariant 6: a lease is counted from the sending of the request that gave it its time, less the
// drift of the clocks, and it is given up a margin early.
Ms valid_until(Ms sent) {
  return sent + static_cast<Ms>(k::kLeaseTtlMs * (1 - k::kDrift)) - k::kLeaseMarginMs;
}

}  // namespace

void ControllerLease::tick() {
  if (id_ == 0)
    acquire();
  else if (!renewing_ && runtime_.now() - last_renewal_ >= k::kLeaseRenewEveryMs)
    renew();
}

void ControllerLease::acquire() {
  if (acquiring_) return;
  acquiring_ = true;
  const std::uint64_t earlier = earlier_lease();
  if (earlier != 0)
    revoke_earlier(earlier);
  else
    request_lease();
}

// The lease that an earlier process of this node has left behind; 0: there is none.
std::uint64_t ControllerLease::earlier_lease() const {
  const auto& nodes = replica_.view().nodes;
  const auto node = nodes.find(settings_.node);
  if (node == nodes.end() || node->second.record.boot_id == runtime_.boot_id()) return 0;
  return node->second.record.lease_id;
}

// That process has ended, so its lease only keeps our partitions from being claimed.
void ControllerLease::revoke_earlier(std::uint64_t lease_id) {
  spdlog::info("lease revoked node={} lease={} reason=earlier-process", settings_.node, lease_id);
  requests_.submit({.method = "DELETE",
                    .path = store_http::lease_path(lease_id),
                    .priority = RequestPriority::urgent,
                    .done = [this](const HttpReply& reply) {
                      const int status = reply.status;
                      if (status == http_status::kOk || status == http_status::kNotFound)
                        replica_.forget_node(settings_.node);
                      const bool failed = status == http_status::kNoAnswer ||
                                          status >= http_status::kTooManyRequests;
                      runtime_.after(failed ? k::kRetryMs : 0, [this] { acquiring_ = false; });
                    }});
}

void ControllerLease::request_lease() {
  const Ms sent = runtime_.now();
  requests_.submit({.method = "POST",
                    .path = store_http::kLeasesPath,
                    .body = codec::lease_request_body(k::kLeaseTtlMs),
                    .priority = RequestPriority::urgent,
                    .done = [this, sent](const HttpReply& reply) {
                      const auto lease_id = reply.status == http_status::kOk
                                                ? codec::parse_lease_id(reply.body)
                                                : codec::status_error(reply.status);
                      if (!lease_id) {
                        runtime_.after(k::kRetryMs, [this] { acquiring_ = false; });
                        return;
                      }
                      id_ = *lease_id;
                      last_renewal_ = sent;
                      valid_until_ = valid_until(sent);
                      acquiring_ = false;
                      spdlog::info("lease acquired node={} lease={}", settings_.node, id_);
                    }});
}

void ControllerLease::renew() {
  renewing_ = true;
  const Ms sent = runtime_.now();
  last_renewal_ = sent;
  requests_.submit({.method = "POST",
                    .path = store_http::lease_renewal_path(id_),
                    .priority = RequestPriority::urgent,
                    .done = [this, sent, lease_id = id_](const HttpReply& reply) {
                      on_renewal_reply(lease_id, sent, reply.status);
                    }});
}

void ControllerLease::on_renewal_reply(std::uint64_t lease_id, Ms sent, int status) {
  renewing_ = false;
  if (lease_id != id_) return;
  if (status == http_status::kOk)
    valid_until_ = valid_until(sent);
  else if (status == http_status::kNotFound)
    lose();
  else  // renewed again after a short pause, and not after a whole interval
    last_renewal_ = runtime_.now() - k::kLeaseRenewEveryMs + k::kRetryMs;
}

void ControllerLease::lose() {
  spdlog::warn("lease lost node={} lease={}", settings_.node, id_);
  id_ = 0;
  valid_until_ = 0;
  on_lost_();
}

}  // namespace eiderreel
