// Reads single keys, lists, final records and the existence of jobs.
#include "state_store/store_reader.h"

#include <algorithm>
#include <cstddef>
#include <utility>

#include "runtime/http_status.h"
#include "state_store/store_http.h"

namespace eiderreel {

namespace k = constants;

struct StoreReader::ListQuery {
  PageQuery next;
  std::vector<codec::StateRow> rows;
  StoreCallback<std::vector<codec::StateRow>> done;
};

struct StoreReader::EndsQuery {
  std::vector<std::string> ids;  // still to be read; descending, so that the next one is the last
  StoreCallback<void> done;
};

struct StoreReader::AcceptedQuery {
  std::vector<std::string> ids;
  std::size_t next = 0;  // the first one that was not asked for yet
  std::set<std::string> found;
  StoreCallback<std::set<std::string>> done;
};

// -------------------------------------------------------------------------- keys and lists

void StoreReader::read(const std::string& key, StoreCallback<codec::StateRow> done) {
  requests_.submit({.method = "GET",
                    .path = store_http::key_path(key),
                    .done = [key, done = std::move(done)](const HttpReply& reply) {
                      if (reply.status == http_status::kNotFound) {
                        codec::StateRow absent;
                        absent.key = key;
                        done(std::move(absent));
                        return;
                      }
                      auto row = reply.status == http_status::kOk
                                     ? codec::parse_row(reply.body)
                                     : codec::status_error(reply.status);
                      if (row)
                        done(std::move(*row));
                      else
                        done(tl::unexpected(error_of_reply(reply.status, "read", key)));
                    }});
}

void StoreReader::read_page(const PageQuery& query, StoreCallback<codec::StateList> done) {
  requests_.submit(
      {.method = "GET",
       .path = store_http::list_path(query.prefix, query.page, query.after),
       .timeout = query.timeout,
       .priority = query.priority,
       .done = [prefix = query.prefix, done = std::move(done)](const HttpReply& reply) {
         auto page = reply.status == http_status::kOk ? codec::parse_list(reply.body)
                                                      : codec::status_error(reply.status);
         if (page)
           done(std::move(*page));
         else
           done(tl::unexpected(error_of_reply(reply.status, "list", prefix)));
       }});
}

void StoreReader::list(const std::string& prefix,
                       StoreCallback<std::vector<codec::StateRow>> done) {
  ListQuery query{.next = {.prefix = prefix, .after = ""}, .rows = {}, .done = std::move(done)};
  list_next(std::make_shared<ListQuery>(std::move(query)));
}

void StoreReader::list_next(const std::shared_ptr<ListQuery>& query) {
  read_page(query->next, [this, query](const StoreResult<codec::StateList>& page) {
    if (!page) {
      query->done(tl::unexpected(page.error()));
      return;
    }
    query->rows.insert(query->rows.end(), page->rows.begin(), page->rows.end());
    if (!page->has_more || page->rows.empty()) {
      query->done(std::move(query->rows));
      return;
    }
    query->next.after = page->rows.back().key;
    list_next(query);
  });
}

// ------------------------------------------------------------------------ ends of jobs

void StoreReader::read_ends(std::vector<std::string> ids, StoreCallback<void> done) {
  std::sort(ids.begin(), ids.end(), std::greater<>());
  EndsQuery query{.ids = std::move(ids), .done = std::move(done)};
  read_next_ends(std::make_shared<EndsQuery>(std::move(query)));
}

// One read tells of all ids up to the last key of its page, so the reads are no more than the ids,
// and far fewer where these lie close together.
void StoreReader::read_next_ends(const std::shared_ptr<EndsQuery>& query) {
  if (query->ids.empty()) {
    query->done({});
    return;
  }
  const PageQuery next{.prefix = codec::final_key(""),
                       .after = codec::before_final_key(query->ids.back()),
                       .page = k::kEndsPage,
                       .timeout = k::kStateTimeoutMs,
                       .priority = RequestPriority::user};
  read_page(next, [this, query](const StoreResult<codec::StateList>& page) {
    if (!page) {
      query->done(tl::unexpected(page.error()));
      return;
    }
    apply_ends(*query, *page);
    read_next_ends(query);
  });
}

// Applies the ends that were asked for, and removes the ids that the page tells of.
void StoreReader::apply_ends(EndsQuery& query, const codec::StateList& page) {
  const std::set<std::string> asked(query.ids.begin(), query.ids.end());
  for (const auto& row : page.rows)
    if (asked.contains(codec::key_name(row.key))) replica_.apply(row, true);
  const bool last = !page.has_more || page.rows.empty();
  const std::string covered = last ? "" : codec::key_name(page.rows.back().key);
  // At least one goes, so that every read leads on.
  query.ids.pop_back();
  while (!query.ids.empty() && (last || query.ids.back() <= covered)) query.ids.pop_back();
}

// ------------------------------------------------------------------------------ existence

// A transaction without writes compares only, at one revision: a job that moves from its open
// record to its final one is there all the time.
void StoreReader::find_accepted(std::vector<std::string> ids,
                                StoreCallback<std::set<std::string>> done) {
  AcceptedQuery query{.ids = std::move(ids), .found = {}, .done = std::move(done)};
  find_next_accepted(std::make_shared<AcceptedQuery>(std::move(query)));
}

void StoreReader::find_next_accepted(const std::shared_ptr<AcceptedQuery>& query) {
  const auto& ids = query->ids;
  if (query->next >= ids.size()) {
    query->done(std::move(query->found));
    return;
  }
  const auto group =
      static_cast<std::size_t>(settings_.state_txn_ops * k::kPreconditionsPerChange / 2);
  const std::size_t end = std::min(ids.size(), query->next + group);
  std::vector<codec::Precondition> absent;
  for (std::size_t i = query->next; i < end; ++i) {
    absent.push_back({codec::job_key(ids[i]), 0});
    absent.push_back({codec::final_key(ids[i]), 0});
  }
  query->next = end;
  // Many at once leave the requests to users who ask for less.
  const auto priority = ids.size() > group ? RequestPriority::fleet : RequestPriority::user;
  compare(absent, priority, [this, query](const StoreResult<Comparison>& comparison) {
    if (!comparison) {
      query->done(tl::unexpected(comparison.error()));
      return;
    }
    for (const auto& key : comparison->failed) query->found.insert(codec::key_name(key));
    find_next_accepted(query);
  });
}

void StoreReader::compare(const std::vector<codec::Precondition>& preconditions,
                          RequestPriority priority, StoreCallback<Comparison> done) {
  requests_.submit({.method = "POST",
                    .path = store_http::kCommitPath,
                    .body = codec::commit_body(preconditions, {}, lease_.id()),
                    .priority = priority,
                    .done = [done = std::move(done)](const HttpReply& reply) {
                      const bool failed = reply.status == http_status::kConflict;
                      const auto revision = codec::parse_store_revision(reply.body);
                      if ((reply.status != http_status::kOk && !failed) || !revision) {
                        StoreError error = error_of_reply(reply.status, "compare", "");
                        if (failed) error.kind = StoreErrorKind::malformed_reply;
                        done(tl::unexpected(std::move(error)));
                        return;
                      }
                      Comparison comparison;
                      if (failed) comparison.failed = codec::parse_failed_keys(reply.body);
                      comparison.store_revision = *revision;
                      done(std::move(comparison));
                    }});
}

// The answer to any comparison tells the newest revision. The replica reaches it with the next
// changes that are followed; where these do not come, the caller is not kept waiting.
void StoreReader::catch_up(const StoreCallback<void>& done) {
  auto once = [done, called = std::make_shared<bool>(false)](const StoreResult<void>& result) {
    if (!std::exchange(*called, true)) done(result);
  };
  compare({{codec::node_key(settings_.node), 0}}, RequestPriority::user,
          [this, once](const StoreResult<Comparison>& comparison) {
            if (!comparison) {
              once(tl::unexpected(comparison.error()));
              return;
            }
            waiters_.when_applied(comparison->store_revision, [once] { once({}); });
            runtime_.after(k::kStateTimeoutMs, [once] {
              once(tl::unexpected(StoreError{.kind = StoreErrorKind::replica_behind,
                                             .http_status = http_status::kOk,
                                             .operation = "catch up",
                                             .key = ""}));
            });
          });
}

}  // namespace eiderreel
