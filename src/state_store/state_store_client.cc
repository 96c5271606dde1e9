#include "state_store/state_store_client.h"

#include <spdlog/spdlog.h>

#include <array>
#include <memory>

namespace eiderreel {
namespace {

namespace k = constants;

// The versions come last, and only where they are enabled.
const std::array<std::string, 6> kWatchedPrefixes = {
    "e/awaits/", "e/job/", "e/machine/", "e/node/", "e/part/", codec::version_prefix()};

}  // namespace

StateStoreClient::StateStoreClient(Runtime& runtime, const Settings& settings)
    : runtime_(runtime),
      settings_(settings),
      replica_(runtime),
      acting_version_(settings.upgrade.enabled, settings.upgrade.range),
      rate_limiter_(settings) {}

void StateStoreClient::start(ReplicatedView::Events events, std::function<void()> lease_lost) {
  on_lease_lost_ = std::move(lease_lost);
  replica_.start(std::move(events));
  rate_limiter_.start(runtime_.now());
  begin_watch();
}

std::string StateStoreClient::nonce() {
  return settings_.node + "." + runtime_.boot_id() + "." + std::to_string(++nonce_counter_);
}

// ----------------------------------------------------------------------------- requests

void StateStoreClient::peer_use(const std::string& node, const StoreUsage& use) {
  rate_limiter_.set_peer_use(node, use, runtime_.now());
}

void StateStoreClient::submit(Pending p) {
  p.request.addr = settings_.state_addr;
  // More than can be served while it waits would only be refused later.
  const double most = std::max(k::kPendingLeast, settings_.state_rps * k::kStateTimeoutMs / 1000);
  if (static_cast<double>(queue_.size()) >= most && p.request_priority != RequestPriority::urgent) {
    ++counters_.refused_here;
    runtime_.after(0, [done = std::move(p.done)] { done({429, ""}); });
    return;
  }
  p.expires = runtime_.now() + p.request.timeout;
  enqueue(std::move(p));
}

void StateStoreClient::enqueue(Pending p) {
  auto pos = queue_.end();
  while (pos != queue_.begin() && std::prev(pos)->request_priority > p.request_priority) --pos;
  queue_.insert(pos, std::move(p));
  send_queued_requests();
}

void StateStoreClient::send_queued_requests() {
  const Ms now = runtime_.now();
  rate_limiter_.refill(now);
  while (!queue_.empty()) {
    Pending& front = queue_.front();
    if (front.expires <= now && front.request_priority != RequestPriority::urgent) {
      // It was never sent, or refused: nothing was done.
      ++counters_.refused_here;
      auto done = std::move(front.done);
      queue_.pop_front();
      runtime_.after(0, [done = std::move(done)] { done({429, ""}); });
      continue;
    }
    if (!rate_limiter_.allows(front.request_priority, front.writes)) return;
    rate_limiter_.take(front.writes);
    auto sent = std::make_shared<Pending>(std::move(front));
    queue_.pop_front();
    ++in_flight_;
    runtime_.http(sent->request, [this, sent](HttpReply r) {
      --in_flight_;
      ++counters_.replies[r.status];
      if (r.status != 0 && r.status != 503 && r.status != 429) last_good_ = runtime_.now();
      // Over the limit after all: nothing was done, so it may go again as it is.
      if (r.status == 429 && sent->request_priority == RequestPriority::user &&
          runtime_.now() < sent->expires) {
        runtime_.after(k::kOverLimitMs, [this, sent] { enqueue(std::move(*sent)); });
        return;
      }
      sent->done(std::move(r));
    });
  }
}

void StateStoreClient::tick() {
  send_queued_requests();
  if (!view().ready) return;
  const Ms now = runtime_.now();
  resolve();
  log_standby();
  if (!logged_standby_reason_.empty()) return;
  if (lease_id_ == 0) {
    acquire_lease();
  } else if (!renewing_lease_ && now - last_renewal_ >= k::kLeaseRenewEveryMs) {
    renew_lease();
  }
  const bool record_due =
      !node_written_ || (acting_version_.enabled() && acting_version_.needs_record(view().cluster));
  if (lease_alive() && record_due && !writing_node_) write_node_record();
}

// Says that this controller is there, and which version it acts under from now on. Where
// versions are enabled the record names the durable version as it is at that moment, and replaces
// just the record that was known; so no late copy of an older one can bring back an older version.
void StateStoreClient::write_node_record() {
  writing_node_ = true;
  const std::string key = codec::node_key(settings_.node);
  codec::NodeRecord record{runtime_.boot_id(), lease_id_, k::kFeatures, std::nullopt};
  CompareAndSwap c;
  c.nonce = nonce();
  c.binding = VersionBinding::explicit_;
  c.request_priority = RequestPriority::urgent;
  if (acting_version_.enabled()) {
    record.versions = {acting_version_.range(), *view().cluster.version, settings_.upgrade.build};
    const auto known = view().nodes.find(settings_.node);
    c.preconditions = {{codec::version_key(), view().cluster.revision},
                       {key, known == view().nodes.end() ? 0 : known->second.revision}};
  }
  c.writes = {{key, codec::encode(record, c.nonce), true}};
  c.done = [this, versions = record.versions, lease_id = lease_id_](CasOutcome o,
                                                                    std::uint64_t revision) {
    const bool written = o == CasOutcome::ok && lease_id == lease_id_;
    if (written) node_written_ = true;
    if (written && versions) {
      spdlog::info("version acknowledged node={} version={} revision={}", settings_.node,
                   upgrade::to_string(versions->acting), revision);
      acting_version_.record_written(versions->acting, revision);
    }
    runtime_.after(written ? 0 : k::kRetryMs, [this] { writing_node_ = false; });
  };
  compare_and_swap(std::move(c));
}

// A build that cannot act under the durable version asks for no lease, so it owns nothing and none
// of its writes can be bound to a version.
void StateStoreClient::log_standby() {
  const std::string why = standby_reason();
  if (why == logged_standby_reason_) return;
  logged_standby_reason_ = why;
  if (why.empty())
    spdlog::info("version ok node={}", settings_.node);
  else
    spdlog::error("standby node={} reason=\"{}\"", settings_.node, why);
}

// -------------------------------------------------------------------------------- lease

void StateStoreClient::acquire_lease() {
  if (acquiring_lease_) return;
  acquiring_lease_ = true;
  // An earlier process of this node has ended, so its lease holds back our partitions for nothing.
  auto old = view().nodes.find(settings_.node);
  if (old != view().nodes.end() && old->second.record.boot != runtime_.boot_id() &&
      old->second.record.lease_id != 0) {
    const std::uint64_t lease_id = old->second.record.lease_id;
    spdlog::info("lease revoked node={} lease={} reason=earlier-process", settings_.node, lease_id);
    submit({{"", "DELETE", "/grants/" + std::to_string(lease_id), "", k::kStateTimeoutMs},
            0,
            RequestPriority::urgent,
            0,
            [this](HttpReply r) {
              if (r.status == 200 || r.status == 404) replica_.forget_node(settings_.node);
              runtime_.after(r.status == 0 || r.status >= 429 ? k::kRetryMs : 0,
                             [this] { acquiring_lease_ = false; });
            }});
    return;
  }
  const Ms sent = runtime_.now();
  submit({{"", "POST", "/grants", codec::lease_request_body(k::kLeaseTtlMs), k::kStateTimeoutMs},
          0,
          RequestPriority::urgent,
          0,
          [this, sent](HttpReply r) {
            auto id =
                r.status == 200 ? codec::parse_lease_id(r.body) : codec::status_error(r.status);
            if (id) {
              lease_id_ = *id;
              last_renewal_ = sent;
              lease_valid_until_ =
                  sent + static_cast<Ms>(k::kLeaseTtlMs * (1 - k::kDrift)) - k::kLeaseMarginMs;
              node_written_ = false;
              acquiring_lease_ = false;
              spdlog::info("lease acquired node={} lease={}", settings_.node, lease_id_);
            } else {
              runtime_.after(k::kRetryMs, [this] { acquiring_lease_ = false; });
            }
          }});
}

void StateStoreClient::renew_lease() {
  renewing_lease_ = true;
  const Ms sent = runtime_.now();
  const std::uint64_t id = lease_id_;
  last_renewal_ = sent;
  submit({{"", "POST", "/grants/" + std::to_string(id) + "/extend", "", k::kStateTimeoutMs},
          0,
          RequestPriority::urgent,
          0,
          [this, sent, id](HttpReply r) {
            renewing_lease_ = false;
            if (id != lease_id_) return;
            if (r.status == 200) {
              lease_valid_until_ =
                  sent + static_cast<Ms>(k::kLeaseTtlMs * (1 - k::kDrift)) - k::kLeaseMarginMs;
            } else if (r.status == 404) {
              spdlog::warn("lease lost node={} lease={}", settings_.node, lease_id_);
              lease_id_ = 0;
              lease_valid_until_ = 0;
              acting_version_.record_lost();
              on_lease_lost_();
            } else {
              last_renewal_ = runtime_.now() - k::kLeaseRenewEveryMs + k::kRetryMs;  // again soon
            }
          }});
}

// --------------------------------------------------------------------------------- view

void StateStoreClient::begin_watch() {
  loaded_.clear();
  watch_revision_ = 0;
  load(0, "");
}

void StateStoreClient::load(std::size_t prefix, std::string since) {
  if (prefix == kWatchedPrefixes.size() - (acting_version_.enabled() ? 0 : 1)) {
    replica_.remove_missing(loaded_, watch_revision_);
    watch(0);
    return;
  }
  std::string path =
      "/kv?prefix=" + kWatchedPrefixes[prefix] + "&page=" + std::to_string(k::kListPage);
  if (!since.empty()) path += "&since=" + since;
  submit({{"", "GET", path, "", k::kStateTimeoutMs * 2},
          0,
          RequestPriority::urgent,
          0,
          [=, this](HttpReply r) {
            auto page = r.status == 200 ? codec::parse_list(r.body) : codec::status_error(r.status);
            if (!page) {
              runtime_.after(k::kRetryMs, [=, this] { load(prefix, since); });
              return;
            }
            // Changes since the first page are followed from its revision, so none is missed.
            if (watch_revision_ == 0) {
              watch_revision_ = page->store_revision;
              replica_.begin_load(watch_revision_);
            }
            for (const auto& row : page->rows) {
              loaded_.insert(row.key);
              replica_.apply(row, true);
            }
            if (page->more && !page->rows.empty())
              load(prefix, page->rows.back().key);
            else
              load(prefix + 1, "");
          }});
}

void StateStoreClient::watch(Ms wait) {
  std::string path = "/follow?prefix=e/&since=" + std::to_string(watch_revision_) +
                     "&wait_ms=" + std::to_string(wait);
  submit({{"", "GET", path, "", wait + k::kWatchSlackMs},
          0,
          RequestPriority::urgent,
          0,
          [this](HttpReply r) {
            if (r.status == 410) {
              begin_watch();
              return;
            }
            auto events =
                r.status == 200 ? codec::parse_events(r.body) : codec::status_error(r.status);
            if (!events) {
              runtime_.after(k::kRetryMs, [this] { watch(k::kWatchWaitMs); });
              return;
            }
            for (const auto& row : events->rows) replica_.apply(row, view().ready);
            watch_revision_ = std::max(watch_revision_, events->store_revision);
            const bool first = !view().ready;
            replica_.applied_up_to(watch_revision_);
            if (first) {
              spdlog::info("view ready node={} revision={} jobs={} machines={}", settings_.node,
                           view().store_revision, view().jobs.size(), view().machines.size());
            }
            notify_revision_waiters();
            runtime_.after(watch_pause(), [this] { watch(k::kWatchWaitMs); });
          }});
}

// Following takes no more than a part of the requests, however busy the keys are.
Ms StateStoreClient::watch_pause() const {
  return std::max(k::kWatchPauseMs,
                  static_cast<Ms>(1000.0 / (rate_limiter_.even_requests() * k::kWatchShare)));
}

void StateStoreClient::notify_revision_waiters() {
  while (!revision_waiters_.empty() && revision_waiters_.begin()->first <= view().store_revision) {
    auto f = std::move(revision_waiters_.begin()->second);
    revision_waiters_.erase(revision_waiters_.begin());
    f();
  }
}

void StateStoreClient::when_applied(std::uint64_t store_revision, std::function<void()> done) {
  if (view().store_revision >= store_revision)
    done();
  else
    revision_waiters_.emplace(store_revision, std::move(done));
}

}  // namespace eiderreel
