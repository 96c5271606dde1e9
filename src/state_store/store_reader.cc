// Reads single keys, lists and final records, and checks the existence of jobs.
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

struct StoreReader::FinalRecordsQuery {
  std::vector<std::string> ids;  // not read yet, descending: the next one is at the back
  StoreCallback<void> done;
};

struct StoreReader::AcceptedQuery {
  std::vector<std::string> ids;
  std::size_t next = 0;  // index of the first ID that was not requested yet
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

// ------------------------------------------------------------------------ final records

void StoreReader::read_final_records(std::vector<std::string> ids, StoreCallback<void> done) {
  std::sort(ids.begin(), ids.end(), std::greater<>());
  FinalRecordsQuery query{.ids = std::move(ids), .done = std::move(done)};
  read_next_final_records(std::make_shared<FinalRecordsQuery>(std::move(query)));
}

// One page settles all IDs up to its last key, so there are at most as many reads as IDs, and far
// fewer if the IDs are close together.
void StoreReader::read_next_final_records(const std::shared_ptr<FinalRecordsQuery>& query) {
  if (query->ids.empty()) {
    query->done({});
    return;
  }
  const PageQuery next{.prefix = codec::final_key(""),
                       .after = codec::before_final_key(query->ids.back()),
                       .page = k::kFinalRecordPageItems,
                       .timeout = k::kStateStoreTimeoutMs,
                       .priority = RequestPriority::user};
  read_page(next, [this, query](const StoreResult<codec::StateList>& page) {
    if (!page) {
      query->done(tl::unexpected(page.error()));
      return;
    }
    apply_final_records(*query, *page);
    read_next_final_records(query);
  });
}

// Applies the final records of the requested jobs, and removes the IDs that the page covers.
void StoreReader::apply_final_records(FinalRecordsQuery& query, const codec::StateList& page) {
  const std::set<std::string> requested_ids(query.ids.begin(), query.ids.end());
  for (const auto& row : page.rows)
    if (requested_ids.contains(codec::key_name(row.key))) replica_.apply(row, true);
  const bool is_last_page = !page.has_more || page.rows.empty();
  const std::string last_covered_id = is_last_page ? "" : codec::key_name(page.rows.back().key);
  // At least one ID is removed, so that every read makes progress.
  query.ids.pop_back();
  while (!query.ids.empty() && (is_last_page || query.ids.back() <= last_covered_id))
    query.ids.pop_back();
}

// ------------------------------------------------------------------------------ existence

// A transaction without writes checks all preconditions at a single revision, so a job whose open
// record is being replaced by its final record is found in either state.
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
  const auto batch_size =
      static_cast<std::size_t>(settings_.state_txn_ops * k::kPreconditionsPerChange / 2);
  const std::size_t batch_end = std::min(ids.size(), query->next + batch_size);
  std::vector<codec::Precondition> absent;
  for (std::size_t i = query->next; i < batch_end; ++i) {
    absent.push_back({codec::job_key(ids[i]), 0});
    absent.push_back({codec::final_key(ids[i]), 0});
  }
  query->next = batch_end;
  // A query with more than one batch gets a lower priority, so that it does not delay other user
  // requests.
  const auto priority = ids.size() > batch_size ? RequestPriority::fleet : RequestPriority::user;
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

// The reply to any comparison contains the newest revision. The replica reaches it through the
// watch; if it does not within kStateStoreTimeoutMs, the caller gets an error.
void StoreReader::catch_up(const StoreCallback<void>& done) {
  auto call_done_once = [done,
                         called = std::make_shared<bool>(false)](const StoreResult<void>& result) {
    if (!std::exchange(*called, true)) done(result);
  };
  compare({{codec::node_key(settings_.node), 0}}, RequestPriority::user,
          [this, call_done_once](const StoreResult<Comparison>& comparison) {
            if (!comparison) {
              call_done_once(tl::unexpected(comparison.error()));
              return;
            }
            waiters_.when_applied(comparison->store_revision,
                                  [call_done_once] { call_done_once({}); });
            runtime_.after(k::kStateStoreTimeoutMs, [call_done_once] {
              call_done_once(tl::unexpected(StoreError{.kind = StoreErrorKind::replica_behind,
                                                       .http_status = http_status::kOk,
                                                       .operation = "catch up",
                                                       .key = ""}));
            });
          });
}

}  // namespace eiderreel
