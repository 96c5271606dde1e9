// Direct reads of the state store, for data that the replica does not contain.
#pragma once
#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "codec/state_json.h"
#include "config/settings.h"
#include "constants.h"
#include "runtime/runtime.h"
#include "state_store/controller_lease.h"
#include "state_store/replicated_view.h"
#include "state_store/request_queue.h"
#include "state_store/revision_waiters.h"
#include "state_store/store_error.h"

namespace eiderreel {

/// The request for one page of a list.
struct PageQuery {
  std::string prefix;
  std::string after;  // the last key of the previous page; empty for the first page
  int page = constants::kListPageItems;
  Ms timeout = 2 * constants::kStateStoreTimeoutMs;
  RequestPriority priority = RequestPriority::urgent;
};

/// The result of a transaction without writes.
struct Comparison {
  std::vector<std::string> failed;  // keys whose precondition failed
  std::uint64_t store_revision = 0;
};

/// Reads from the state store. Every callback is called exactly once, with a result or an error.
class StoreReader {
 public:
  StoreReader(Runtime& runtime, const Settings& settings, RequestQueue& requests,
              ReplicatedView& replica, const ControllerLease& lease, RevisionWaiters& waiters)
      : runtime_(runtime),
        settings_(settings),
        requests_(requests),
        replica_(replica),
        lease_(lease),
        waiters_(waiters) {}

  /// Linearizable read of one key. A row with revision 0 means that the key does not exist.
  void read(const std::string& key, StoreCallback<codec::StateRow> done);
  /// Lists all keys under `prefix`, in key order. The pages may be read at different revisions.
  void list(const std::string& prefix, StoreCallback<std::vector<codec::StateRow>> done);
  /// Reads one page of a list.
  void read_page(const PageQuery& query, StoreCallback<codec::StateList> done);
  /// Reads the final records of these jobs into the replica; jobs without one are skipped. On an
  /// error some records may not have been read.
  void read_final_records(std::vector<std::string> ids, StoreCallback<void> done);
  /// Finds which of these jobs were ever accepted, that is, have an open or a final record.
  void find_accepted(std::vector<std::string> ids, StoreCallback<std::set<std::string>> done);
  /// Calls back once the replica contains all changes that were committed before this call, or with
  /// an error after a timeout.
  void catch_up(const StoreCallback<void>& done);

 private:
  struct FinalRecordsQuery;
  struct AcceptedQuery;
  struct ListQuery;
  void compare(const std::vector<codec::Precondition>& preconditions, RequestPriority priority,
               StoreCallback<Comparison> done);
  void list_next(const std::shared_ptr<ListQuery>& query);
  void read_next_final_records(const std::shared_ptr<FinalRecordsQuery>& query);
  void apply_final_records(FinalRecordsQuery& query, const codec::StateList& page);
  void find_next_accepted(const std::shared_ptr<AcceptedQuery>& query);

  Runtime& runtime_;
  const Settings& settings_;
  RequestQueue& requests_;
  ReplicatedView& replica_;
  const ControllerLease& lease_;
  RevisionWaiters& waiters_;
};

}  // namespace eiderreel
