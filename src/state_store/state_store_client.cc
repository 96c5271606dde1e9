#include "state_store/state_store_client.h"

#include <spdlog/spdlog.h>

#include <array>
#include <memory>

namespace eiderreel {
namespace {

namespace k = constants;

// The versions come last, and only where they are enabled.
const std::array<std::string, 6> kFollowed = {"e/awaits/", "e/job/",  "e/machine/",
                                              "e/node/",   "e/part/", codec::version_prefix()};

}  // namespace

StateStoreClient::StateStoreClient(Runtime& rt, const Settings& s)
    : rt_(rt),
      s_(s),
      replica_(rt),
      acting_version_(s.upgrade.enabled, s.upgrade.range),
      rate_limiter_(s) {}

void StateStoreClient::start(ReplicatedView::Events events, std::function<void()> grant_lost) {
  grant_lost_ = std::move(grant_lost);
  replica_.start(std::move(events));
  rate_limiter_.start(rt_.now());
  begin_follow();
}

std::string StateStoreClient::nonce() {
  return s_.node + "." + rt_.boot_id() + "." + std::to_string(++nonce_counter_);
}

// ----------------------------------------------------------------------------- requests

void StateStoreClient::peer_use(const std::string& node, const BudgetUse& use) {
  rate_limiter_.set_peer_use(node, use, rt_.now());
}

void StateStoreClient::submit(Pending p) {
  p.request.addr = s_.state_addr;
  // More than can be served while it waits would only be refused later.
  const double most = std::max(k::kPendingLeast, s_.state_rps * k::kStateTimeoutMs / 1000);
  if (static_cast<double>(queue_.size()) >= most && p.pace != Pace::urgent) {
    ++counters_.refused_here;
    rt_.after(0, [done = std::move(p.done)] { done({429, ""}); });
    return;
  }
  p.expires = rt_.now() + p.request.timeout;
  enqueue(std::move(p));
}

void StateStoreClient::enqueue(Pending p) {
  auto pos = queue_.end();
  while (pos != queue_.begin() && std::prev(pos)->pace > p.pace) --pos;
  queue_.insert(pos, std::move(p));
  pump();
}

void StateStoreClient::pump() {
  const Ms now = rt_.now();
  rate_limiter_.refill(now);
  while (!queue_.empty()) {
    Pending& front = queue_.front();
    if (front.expires <= now && front.pace != Pace::urgent) {
      // It was never sent, or refused: nothing was done.
      ++counters_.refused_here;
      auto done = std::move(front.done);
      queue_.pop_front();
      rt_.after(0, [done = std::move(done)] { done({429, ""}); });
      continue;
    }
    if (!rate_limiter_.allows(front.pace, front.writes)) return;
    rate_limiter_.take(front.writes);
    auto sent = std::make_shared<Pending>(std::move(front));
    queue_.pop_front();
    ++in_flight_;
    rt_.http(sent->request, [this, sent](HttpReply r) {
      --in_flight_;
      ++counters_.replies[r.status];
      if (r.status != 0 && r.status != 503 && r.status != 429) last_good_ = rt_.now();
      // Over the limit after all: nothing was done, so it may go again as it is.
      if (r.status == 429 && sent->pace == Pace::user && rt_.now() < sent->expires) {
        rt_.after(k::kOverLimitMs, [this, sent] { enqueue(std::move(*sent)); });
        return;
      }
      sent->done(std::move(r));
    });
  }
}

void StateStoreClient::tick() {
  pump();
  if (!view().ready) return;
  const Ms now = rt_.now();
  resolve();
  log_stand_aside();
  if (!told_aside_.empty()) return;
  if (grant_ == 0) {
    get_grant();
  } else if (!extending_ && now - last_extend_ >= k::kExtendEveryMs) {
    extend();
  }
  const bool record_due =
      !node_written_ || (acting_version_.enabled() && acting_version_.needs_record(view().cluster));
  if (grant_alive() && record_due && !writing_node_) write_node_record();
}

// Says that this controller is there, and which version it acts under from now on. Guard: where
// versions are enabled the record names the durable version as it is at that moment, and replaces
// just the record that was known; so no late copy of an older one can bring back an older version.
void StateStoreClient::write_node_record() {
  writing_node_ = true;
  const std::string key = codec::node_key(s_.node);
  codec::NodeRecord record{rt_.boot_id(), grant_, k::kFeatures, std::nullopt};
  Commit c;
  c.nonce = nonce();
  c.binding = VersionBinding::explicit_;
  c.pace = Pace::urgent;
  if (acting_version_.enabled()) {
    record.versions = {acting_version_.range(), *view().cluster.version, s_.upgrade.build};
    const auto known = view().nodes.find(s_.node);
    c.preconditions = {{codec::version_key(), view().cluster.revision},
                       {key, known == view().nodes.end() ? 0 : known->second.revision}};
  }
  c.writes = {{key, codec::encode(record, c.nonce), true}};
  c.done = [this, versions = record.versions, grant = grant_](Outcome o, std::uint64_t revision) {
    const bool written = o == Outcome::ok && grant == grant_;
    if (written) node_written_ = true;
    if (written && versions) {
      spdlog::info("version acknowledged node={} version={} revision={}", s_.node,
                   upgrade::to_string(versions->acting), revision);
      acting_version_.record_written(versions->acting, revision);
    }
    rt_.after(written ? 0 : k::kRetryMs, [this] { writing_node_ = false; });
  };
  commit(std::move(c));
}

// A build that cannot act under the durable version asks for no lease, so it owns nothing and none
// of its writes can be bound to a version.
void StateStoreClient::log_stand_aside() {
  const std::string why = stands_aside();
  if (why == told_aside_) return;
  told_aside_ = why;
  if (why.empty())
    spdlog::info("version ok node={}", s_.node);
  else
    spdlog::error("stands aside node={} reason=\"{}\"", s_.node, why);
}

// -------------------------------------------------------------------------------- grant

void StateStoreClient::get_grant() {
  if (granting_) return;
  granting_ = true;
  // An earlier process of this node has ended, so its grant holds back our parts for nothing.
  auto old = view().nodes.find(s_.node);
  if (old != view().nodes.end() && old->second.record.boot != rt_.boot_id() &&
      old->second.record.grant != 0) {
    const std::uint64_t grant = old->second.record.grant;
    spdlog::info("grant end node={} grant={} reason=earlier-process", s_.node, grant);
    submit({{"", "DELETE", "/grants/" + std::to_string(grant), "", k::kStateTimeoutMs},
            0,
            Pace::urgent,
            0,
            [this](HttpReply r) {
              if (r.status == 200 || r.status == 404) replica_.forget_node(s_.node);
              rt_.after(r.status == 0 || r.status >= 429 ? k::kRetryMs : 0,
                        [this] { granting_ = false; });
            }});
    return;
  }
  const Ms sent = rt_.now();
  submit({{"", "POST", "/grants", codec::grant_body(k::kGrantLifeMs), k::kStateTimeoutMs},
          0,
          Pace::urgent,
          0,
          [this, sent](HttpReply r) {
            auto id = r.status == 200 ? codec::parse_number(r.body, "tether") : std::nullopt;
            if (id) {
              grant_ = *id;
              last_extend_ = sent;
              alive_until_ =
                  sent + static_cast<Ms>(k::kGrantLifeMs * (1 - k::kDrift)) - k::kGrantMarginMs;
              node_written_ = false;
              granting_ = false;
              spdlog::info("grant new node={} grant={}", s_.node, grant_);
            } else {
              rt_.after(k::kRetryMs, [this] { granting_ = false; });
            }
          }});
}

void StateStoreClient::extend() {
  extending_ = true;
  const Ms sent = rt_.now();
  const std::uint64_t id = grant_;
  last_extend_ = sent;
  submit({{"", "POST", "/grants/" + std::to_string(id) + "/extend", "", k::kStateTimeoutMs},
          0,
          Pace::urgent,
          0,
          [this, sent, id](HttpReply r) {
            extending_ = false;
            if (id != grant_) return;
            if (r.status == 200) {
              alive_until_ =
                  sent + static_cast<Ms>(k::kGrantLifeMs * (1 - k::kDrift)) - k::kGrantMarginMs;
            } else if (r.status == 404) {
              spdlog::warn("grant lost node={} grant={}", s_.node, grant_);
              grant_ = 0;
              alive_until_ = 0;
              acting_version_.record_lost();
              grant_lost_();
            } else {
              last_extend_ = rt_.now() - k::kExtendEveryMs + k::kRetryMs;  // again soon
            }
          }});
}

// --------------------------------------------------------------------------------- view

void StateStoreClient::begin_follow() {
  loaded_.clear();
  follow_since_ = 0;
  load(0, "");
}

void StateStoreClient::load(std::size_t prefix, std::string since) {
  if (prefix == kFollowed.size() - (acting_version_.enabled() ? 0 : 1)) {
    replica_.remove_missing(loaded_, follow_since_);
    follow(0);
    return;
  }
  std::string path = "/kv?prefix=" + kFollowed[prefix] + "&page=" + std::to_string(k::kListPage);
  if (!since.empty()) path += "&since=" + since;
  submit(
      {{"", "GET", path, "", k::kStateTimeoutMs * 2}, 0, Pace::urgent, 0, [=, this](HttpReply r) {
         auto page = r.status == 200 ? codec::parse_list(r.body) : std::nullopt;
         if (!page) {
           rt_.after(k::kRetryMs, [=, this] { load(prefix, since); });
           return;
         }
         // Changes since the first page are followed from its revision, so none is missed.
         if (follow_since_ == 0) {
           follow_since_ = page->store_revision;
           replica_.begin_load(follow_since_);
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

void StateStoreClient::follow(Ms wait) {
  std::string path = "/follow?prefix=e/&since=" + std::to_string(follow_since_) +
                     "&wait_ms=" + std::to_string(wait);
  submit({{"", "GET", path, "", wait + k::kFollowSlackMs}, 0, Pace::urgent, 0, [this](HttpReply r) {
            if (r.status == 410) {
              begin_follow();
              return;
            }
            auto events = r.status == 200 ? codec::parse_events(r.body) : std::nullopt;
            if (!events) {
              rt_.after(k::kRetryMs, [this] { follow(k::kFollowWaitMs); });
              return;
            }
            for (const auto& row : events->rows) replica_.apply(row, view().ready);
            follow_since_ = std::max(follow_since_, events->store_revision);
            const bool first = !view().ready;
            replica_.followed(follow_since_);
            if (first) {
              spdlog::info("view ready node={} revision={} jobs={} machines={}", s_.node,
                           view().store_revision, view().jobs.size(), view().machines.size());
            }
            announce_seen();
            rt_.after(follow_pause(), [this] { follow(k::kFollowWaitMs); });
          }});
}

// Following takes no more than a part of the requests, however busy the keys are.
Ms StateStoreClient::follow_pause() const {
  return std::max(k::kFollowPauseMs,
                  static_cast<Ms>(1000.0 / (rate_limiter_.even_requests() * k::kFollowShare)));
}

void StateStoreClient::announce_seen() {
  while (!waiting_.empty() && waiting_.begin()->first <= view().store_revision) {
    auto f = std::move(waiting_.begin()->second);
    waiting_.erase(waiting_.begin());
    f();
  }
}

void StateStoreClient::when_seen(std::uint64_t store_revision, std::function<void()> done) {
  if (view().store_revision >= store_revision)
    done();
  else
    waiting_.emplace(store_revision, std::move(done));
}

}  // namespace eiderreel
