// Keeps the replica up to date: lists the watched keys, then watches their changes.
#include "state_store/store_watcher.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "runtime/http_status.h"
#include "state_store/followed_keys.h"
#include "state_store/store_http.h"

namespace eiderreel {

namespace k = constants;

// Final records are too many to be listed; only their changes are watched. The versions are listed
// last, and only if cluster versions are enabled.
StoreWatcher::StoreWatcher(const Dependencies& dependencies)
    : dependencies_(dependencies),
      prefixes_{
          std::string(followed_keys::kPrerequisiteChunksPrefix),
          std::string(followed_keys::kJobsPrefix), std::string(followed_keys::kMachinesPrefix),
          std::string(followed_keys::kNodesPrefix), std::string(followed_keys::kPartitionsPrefix)} {
  if (dependencies.settings.upgrade.enabled) prefixes_.push_back(codec::version_prefix());
}

// -------------------------------------------------------------------------------- listing

void StoreWatcher::start() {
  listed_keys_.clear();
  revision_ = 0;
  load_page(0, "");
}

void StoreWatcher::load_page(std::size_t prefix_index, const std::string& after) {
  if (prefix_index == prefixes_.size()) {
    dependencies_.replica.remove_missing(listed_keys_, revision_);
    watch(0);
    return;
  }
  dependencies_.reader.read_page(
      {.prefix = prefixes_[prefix_index], .after = after},
      [this, prefix_index, after](const StoreResult<codec::StateList>& page) {
        if (page) {
          on_page(prefix_index, *page);
          return;
        }
        dependencies_.runtime.after(
            k::kRetryDelayMs, [this, prefix_index, after] { load_page(prefix_index, after); });
      });
}

void StoreWatcher::on_page(std::size_t prefix_index, const codec::StateList& page) {
  // The watch starts at the revision of the first page, so no change during the listing is missed.
  if (revision_ == 0) {
    revision_ = page.store_revision;
    dependencies_.replica.begin_load(revision_);
  }
  for (const auto& row : page.rows) {
    listed_keys_.insert(row.key);
    dependencies_.replica.apply(row, true);
  }
  if (page.has_more && !page.rows.empty())
    load_page(prefix_index, page.rows.back().key);
  else
    load_page(prefix_index + 1, "");
}

// ------------------------------------------------------------------------------- watching

void StoreWatcher::watch(Ms wait) {
  dependencies_.requests.submit(
      {.method = "GET",
       .path = store_http::watch_path(std::string(followed_keys::kCommonPrefix), revision_, wait),
       .timeout = wait + k::kWatchTimeoutMarginMs,
       .priority = RequestPriority::urgent,
       .done = [this](const HttpReply& reply) { on_watch_reply(reply); }});
}

void StoreWatcher::on_watch_reply(const HttpReply& reply) {
  // The state store no longer has all changes since `revision_`, so the keys are listed again.
  if (reply.status == http_status::kGone) {
    start();
    return;
  }
  const auto changes = reply.status == http_status::kOk ? codec::parse_events(reply.body)
                                                        : codec::status_error(reply.status);
  if (!changes) {
    dependencies_.runtime.after(k::kRetryDelayMs, [this] { watch(k::kWatchLongPollMs); });
    return;
  }
  apply_changes(*changes);
  dependencies_.runtime.after(watch_interval(), [this] { watch(k::kWatchLongPollMs); });
}

void StoreWatcher::apply_changes(const codec::StateList& changes) {
  const ClusterView& view = dependencies_.replica.view();
  for (const auto& row : changes.rows) dependencies_.replica.apply(row, view.ready);
  revision_ = std::max(revision_, changes.store_revision);
  const bool first_load = !view.ready;
  dependencies_.replica.mark_applied(revision_);
  if (first_load) {
    spdlog::info("view ready node={} revision={} jobs={} machines={}", dependencies_.settings.node,
                 view.store_revision, view.jobs.size(), view.machines.size());
  }
  dependencies_.waiters.notify();
}

// Limits the watch to the share kWatchRequestShare of this node's requests, however often the keys
// change.
Ms StoreWatcher::watch_interval() const {
  const double watches_per_s =
      dependencies_.rate_limiter.request_share_per_s() * k::kWatchRequestShare;
  return std::max(k::kMinWatchPauseMs, static_cast<Ms>(1000.0 / watches_per_s));
}

}  // namespace eiderreel
