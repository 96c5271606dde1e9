// What the state store client reads beside the keys that it follows.
#include <algorithm>
#include <memory>
#include <utility>

#include "state_store/state_store_client.h"

namespace eiderreel {

namespace k = constants;

void StateStoreClient::read(const std::string& key,
                            std::function<void(std::optional<codec::StateRow>)> done) {
  submit({{"", "GET", "/kv/" + key, "", k::kStateTimeoutMs},
          0,
          RequestPriority::user,
          0,
          [key, done = std::move(done)](HttpReply r) {
            if (r.status == 404) {
              codec::StateRow none;
              none.key = key;
              done(none);
            } else {
              done(r.status == 200 ? codec::optional_of(codec::parse_row(r.body)) : std::nullopt);
            }
          }});
}

void StateStoreClient::list(const std::string& prefix,
                            std::function<void(std::optional<std::vector<codec::StateRow>>)> done) {
  list_from(prefix, "", std::make_shared<std::vector<codec::StateRow>>(), std::move(done));
}

void StateStoreClient::list_from(
    const std::string& prefix, const std::string& since,
    std::shared_ptr<std::vector<codec::StateRow>> rows,
    std::function<void(std::optional<std::vector<codec::StateRow>>)> done) {
  std::string path = "/kv?prefix=" + prefix + "&page=" + std::to_string(k::kListPage);
  if (!since.empty()) path += "&since=" + since;
  submit({{"", "GET", path, "", k::kStateTimeoutMs * 2},
          0,
          RequestPriority::urgent,
          0,
          [this, prefix, rows, done = std::move(done)](HttpReply r) {
            auto page = r.status == 200 ? codec::parse_list(r.body) : codec::status_error(r.status);
            if (!page) {
              done(std::nullopt);
              return;
            }
            rows->insert(rows->end(), page->rows.begin(), page->rows.end());
            if (page->more && !page->rows.empty())
              list_from(prefix, page->rows.back().key, rows, done);
            else
              done(std::move(*rows));
          }});
}

// ------------------------------------------------------------------------ ends of jobs

// Ends that open jobs wait for, and that no change will tell. A moment is left to what is only not
// followed yet.
void StateStoreClient::resolve() {
  const auto& unresolved = replica_.unresolved();
  const Ms now = runtime_.now();
  if (unresolved.empty() || resolving_) {
    resolve_at_ = now + k::kRetryMs;
    return;
  }
  if (now < resolve_at_) return;
  resolving_ = true;
  read_ends({unresolved.begin(), unresolved.end()}, [this](bool) { resolving_ = false; });
}

void StateStoreClient::read_ends(std::vector<std::string> ids, std::function<void(bool)> done) {
  std::sort(ids.begin(), ids.end(), std::greater<>());  // the first one is taken from the end
  read_next_ends(std::make_shared<std::vector<std::string>>(std::move(ids)), std::move(done));
}

// One read tells of all ids up to the last key of its page, so the reads are no more than the ids,
// and far fewer where these lie close together.
void StateStoreClient::read_next_ends(std::shared_ptr<std::vector<std::string>> ids,
                                      std::function<void(bool)> done) {
  if (ids->empty()) return done(true);
  const std::string path = "/kv?prefix=" + codec::final_key("") +
                           "&page=" + std::to_string(k::kEndsPage) +
                           "&since=" + codec::before_final_key(ids->back());
  submit({{"", "GET", path, "", k::kStateTimeoutMs},
          0,
          RequestPriority::user,
          0,
          [this, ids, done = std::move(done)](HttpReply r) {
            auto page = r.status == 200 ? codec::parse_list(r.body) : codec::status_error(r.status);
            if (!page) return done(false);
            std::set<std::string> asked(ids->begin(), ids->end());
            for (const auto& row : page->rows)
              if (asked.count(codec::key_name(row.key))) replica_.apply(row, true);
            const bool last = !page->more || page->rows.empty();
            const std::string covered = last ? "" : codec::key_name(page->rows.back().key);
            do ids->pop_back();
            while (!ids->empty() && (last || ids->back() <= covered));
            read_next_ends(ids, done);
          }});
}

// ------------------------------------------------------------------------------ existence

// A transaction without writes compares only, at one revision: a job that moves from its open
// record to its final one is there all the time.
void StateStoreClient::find_accepted(
    std::vector<std::string> ids, std::function<void(std::optional<std::set<std::string>>)> done) {
  find_next_accepted(std::make_shared<std::vector<std::string>>(std::move(ids)), 0,
                     std::make_shared<std::set<std::string>>(), std::move(done));
}

void StateStoreClient::find_next_accepted(
    std::shared_ptr<std::vector<std::string>> ids, std::size_t from,
    std::shared_ptr<std::set<std::string>> found,
    std::function<void(std::optional<std::set<std::string>>)> done) {
  if (from >= ids->size()) return done(std::move(*found));
  const auto group =
      static_cast<std::size_t>(settings_.state_txn_ops * k::kPreconditionsPerChange / 2);
  const std::size_t end = std::min(ids->size(), from + group);
  std::vector<codec::Precondition> absent;
  for (std::size_t i = from; i < end; ++i) {
    absent.push_back({codec::job_key((*ids)[i]), 0});
    absent.push_back({codec::final_key((*ids)[i]), 0});
  }
  // Many at once leave the requests to users who ask for less.
  const RequestPriority request_priority =
      ids->size() > group ? RequestPriority::fleet : RequestPriority::user;
  compare(std::move(absent), request_priority, [=, this](std::optional<Comparison> c) {
    if (!c) return done(std::nullopt);
    for (const auto& key : c->failed) found->insert(codec::key_name(key));
    find_next_accepted(ids, end, found, done);
  });
}

void StateStoreClient::compare(std::vector<codec::Precondition> preconditions,
                               RequestPriority request_priority,
                               std::function<void(std::optional<Comparison>)> done) {
  submit(
      {{"", "POST", "/commit", codec::commit_body(preconditions, {}, lease_id_),
        k::kStateTimeoutMs},
       0,
       request_priority,
       0,
       [done = std::move(done)](HttpReply r) {
         const auto store_revision = codec::parse_store_revision(r.body);
         if ((r.status != 200 && r.status != 409) || !store_revision) return done(std::nullopt);
         done(Comparison{r.status == 409 ? codec::parse_failed(r.body) : std::vector<std::string>{},
                         *store_revision});
       }});
}

// The answer to any comparison tells the newest revision. The view reaches it with the next changes
// that are followed; where these do not come, the caller is not kept waiting.
void StateStoreClient::catch_up(std::function<void(bool)> done) {
  auto once = [done = std::move(done), called = std::make_shared<bool>(false)](bool caught_up) {
    if (!std::exchange(*called, true)) done(caught_up);
  };
  compare({{codec::node_key(settings_.node), 0}}, RequestPriority::user,
          [this, once](std::optional<Comparison> c) {
            if (!c) return once(false);
            when_applied(c->store_revision, [once] { once(true); });
            runtime_.after(k::kStateTimeoutMs, [once] { once(false); });
          });
}

}  // namespace eiderreel
