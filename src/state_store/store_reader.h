// Reads of the state store beside the keys that the replica follows.
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

/// One page of a list.
struct PageQuery {
  std::string prefix;
  std::string after;  // the last key of the page before; empty: the first page
  int page = constants::kListPageItems;
  Ms timeout = 2 * constants::kStateStoreTimeoutMs;
  RequestPriority priority = RequestPriority::urgent;
};

/// The answer to a transaction without writes.
struct Comparison {
  std::vector<std::string> failed;  // keys that do not have the revision of their precondition
  std::uint64_t store_revision = 0;
};

/// Reads of the state store. Every callback is called exactly once, with a result or an error.
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

  /// Linearizable read of one key. A row of revision 0: the key does not exist.
  void read(const std::string& key, StoreCallback<codec::StateRow> done);
  /// Every key under `prefix`, in the order of the keys. The pages may differ in their revisions.
  void list(const std::string& prefix, StoreCallback<std::vector<codec::StateRow>> done);
  /// One page of a list.
  void read_page(const PageQuery& query, StoreCallback<codec::StateList> done);
  /// Reads the final records of these jobs into the replica, as far as there are any. With an error
  /// some of them could not be read.
  void read_ends(std::vector<std::string> ids, StoreCallback<void> done);
  /// Which of these jobs were ever accepted.
  void find_accepted(std::vector<std::string> ids, StoreCallback<std::set<std::string>> done);
  /// Calls back once the replica has all changes that were made before this call.
  void catch_up(const StoreCallback<void>& done);

 private:
  struct EndsQuery;
  struct AcceptedQuery;
  struct ListQuery;
  void compare(const std::vector<codec::Precondition>& preconditions, RequestPriority priority,
               StoreCallback<Comparison> done);
  void list_next(const std::shared_ptr<ListQuery>& query);
  void read_next_ends(const std::shared_ptr<EndsQuery>& query);
  void apply_ends(EndsQuery& query, const codec::StateList& page);
  void find_next_accepted(const std::shared_ptr<AcceptedQuery>& query);

  Runtime& runtime_;
  const Settings& settings_;
  RequestQueue& requests_;
  ReplicatedView& replica_;
  const ControllerLease& lease_;
  RevisionWaiters& waiters_;
};

}  // namespace eiderreel
