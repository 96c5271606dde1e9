// Brings the replica up to date: lists the followed keys, then follows their changes.
#include "state_store/store_watcher.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "runtime/http_status.h"
#include "state_store/followed_keys.h"
#include "state_store/store_http.h"

namespace eiderreel {

namespace k = constants;

// Final records are too many to be listed; their changes are followed like all others. The versions
// come last, and only where they are enabled.
StoreWatcher::StoreWatcher(const Dependencies& dependencies)
    : dependencies_(dependencies),
      prefixes_{std::string(followed_keys::kPrerequisiteChunks), std::string(followed_keys::kJobs),
                std::string(followed_keys::kMachines), std::string(followed_keys::kNodes),
                std::string(followed_keys::kPartitions)} {
  if (dependencies.settings.upgrade.enabled) prefixes_.push_back(codec::version_prefix());
}

// -------------------------------------------------------------------------------- listing

void StoreWatcher::start() {
  loaded_.clear();
  revision_ = 0;
  load_page(0, "");
}

void StoreWatcher::load_page(std::size_t prefix_index, const std::string& after) {
  if (prefix_index == prefixes_.size()) {
    dependencies_.replica.remove_missing(loaded_, revision_);
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
            k::kRetryMs, [this, prefix_index, after] { load_page(prefix_index, after); });
      });
}

void StoreWatcher::on_page(std::size_t prefix_index, const codec::StateList& page) {
  // Changes since the first page are followed from its revision, so none is missed.
  if (revision_ == 0) {
    revision_ = page.store_revision;
    dependencies_.replica.begin_load(revision_);
  }
  for (const auto& row : page.rows) {
    loaded_.insert(row.key);
    dependencies_.replica.apply(row, true);
  }
  if (page.has_more && !page.rows.empty())
    load_page(prefix_index, page.rows.back().key);
  else
    load_page(prefix_index + 1, "");
}

// ------------------------------------------------------------------------------ following

void StoreWatcher::watch(Ms wait) {
  dependencies_.requests.submit(
      {.method = "GET",
       .path = store_http::watch_path(std::string(followed_keys::kAll), revision_, wait),
       .timeout = wait + k::kWatchSlackMs,
       .priority = RequestPriority::urgent,
       .done = [this](const HttpReply& reply) { on_watch_reply(reply); }});
}

void StoreWatcher::on_watch_reply(const HttpReply& reply) {
  // The state store no longer has all changes since our revision.
  if (reply.status == http_status::kGone) {
    start();
    return;
  }
  const auto changes = reply.status == http_status::kOk ? codec::parse_events(reply.body)
                                                        : codec::status_error(reply.status);
  if (!changes) {
    dependencies_.runtime.after(k::kRetryMs, [this] { watch(k::kWatchWaitMs); });
    return;
  }
  apply_changes(*changes);
  dependencies_.runtime.after(pause(), [this] { watch(k::kWatchWaitMs); });
}

void StoreWatcher::apply_changes(const codec::StateList& changes) {
  const ClusterView& view = dependencies_.replica.view();
  for (const auto& row : changes.rows) dependencies_.replica.apply(row, view.ready);
  revision_ = std::max(revision_, changes.store_revision);
  const bool first = !view.ready;
  dependencies_.replica.applied_up_to(revision_);
  if (first) {
    spdlog::info("view ready node={} revision={} jobs={} machines={}", dependencies_.settings.node,
                 view.store_revision, view.jobs.size(), view.machines.size());
  }
  dependencies_.waiters.notify();
}

// Following takes no more than a part of the requests, however busy the keys are.
Ms StoreWatcher::pause() const {
  const double requests_per_s = dependencies_.rate_limiter.even_requests() * k::kWatchShare;
  return std::max(k::kWatchPauseMs, static_cast<Ms>(1000.0 / requests_per_s));
}

}  // namespace eiderreel
