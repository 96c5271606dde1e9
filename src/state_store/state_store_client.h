// The state store client: all dealings with the state store. It owns this node's lease, the
// replica of every key under `e/`, and the requests that wait for the rate limiter.
#pragma once
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "codec/state_json.h"
#include "config/settings.h"
#include "runtime/runtime.h"
#include "state_store/rate_limiter.h"
#include "state_store/replicated_view.h"

namespace eiderreel {

enum class CasOutcome {
  ok,          // it is durable
  conflict,    // a guard failed: nothing was done, and nothing will be
  superseded,  // a guard on an absent key failed after a try without answer: somebody else's write
               // stands there, but that try may still land once the key is gone
  refused,     // nothing was done
  unknown,     // it may have been done, or may still be
};

// How a commit is bound to the version that its controller acts under, see upgrade::ActingVersion.
enum class VersionBinding {
  current,     // to the one at its sending; after a change of version it is sent again
  as_encoded,  // its values depend on the version, so it is never sent under another
  explicit_,   // its own preconditions say it all
};

struct CompareAndSwap {
  std::vector<codec::Precondition> preconditions;
  std::vector<codec::Write> writes;  // the first one puts a value with the nonce of this commit
  std::string nonce;
  RequestPriority request_priority = RequestPriority::user;
  int tries = constants::kCommitTries;
  std::function<void(CasOutcome, std::uint64_t store_revision)> done;
  // A try of it is without answer. A later try that is refused says nothing of that one, so
  // whoever tries again after `unknown` sends this same commit with its doubt kept.
  bool doubt = false;
  VersionBinding binding = VersionBinding::current;
  std::uint64_t encoded_under = 0;  // the revision of the controller's record; see `as_encoded`
};

class StateStoreClient {
 public:
  struct Counters {
    std::map<int, std::uint64_t> replies;  // by status, 0: none
    std::uint64_t refused_here = 0;        // over our own budget
  };

  StateStoreClient(Runtime& runtime, const Settings& settings);
  void start(ReplicatedView::Events events, std::function<void()> lease_lost);
  void tick();

  const ClusterView& view() const { return replica_.view(); }
  ReplicatedView& replica() { return replica_; }
  const ReplicatedView& replica() const { return replica_; }
  std::uint64_t lease_id() const { return lease_id_; }
  // Invariant 6: counted from the sending of the last good extend, less drift.
  bool lease_alive() const { return lease_id_ != 0 && runtime_.now() < lease_valid_until_; }
  Ms last_good() const { return last_good_; }
  const upgrade::ActingVersion& acting_version() const { return acting_version_; }
  upgrade::ProgressPolicy progress_policy() const {
    return upgrade::progress_policy(acting_version_.version());
  }
  // Why this controller must not act at all; empty: it may.
  std::string standby_reason() const { return acting_version_.obstacle(view().cluster); }
  // Marks a value as written by this process.
  std::string nonce();

  void compare_and_swap(CompareAndSwap c);
  // Linearizable read. `row.revision` 0: the key does not exist. Fails with nullopt.
  void read(const std::string& key, std::function<void(std::optional<codec::StateRow>)> done);
  void list(const std::string& prefix,
            std::function<void(std::optional<std::vector<codec::StateRow>>)> done);
  // Reads the final records of these jobs into the view, as far as there are any; false: some could
  // not be read.
  void read_ends(std::vector<std::string> ids, std::function<void(bool)> done);
  // Which of these jobs were ever accepted; nullopt when the state store does not tell.
  void find_accepted(std::vector<std::string> ids,
                     std::function<void(std::optional<std::set<std::string>>)> done);
  // Calls back once the view has all changes that were made before this call; false when the state
  // service does not tell.
  void catch_up(std::function<void(bool)> done);
  // Calls back once the view has all changes up to `store_revision`.
  void when_applied(std::uint64_t store_revision, std::function<void()> done);
  // What this node takes of the budgets, for its peers; and what a peer has said that it takes.
  StoreUsage use() const { return rate_limiter_.use(); }
  void peer_use(const std::string& node, const StoreUsage& use);
  const Counters& counters() const { return counters_; }
  std::size_t pending() const { return queue_.size(); }

 private:
  struct Pending {
    HttpRequest request;
    int writes = 0;
    RequestPriority request_priority = RequestPriority::user;
    Ms expires = 0;
    std::function<void(HttpReply)> done;
  };
  struct Comparison {  // the answer to a transaction without writes
    std::vector<std::string> failed;
    std::uint64_t store_revision = 0;
  };
  void compare(std::vector<codec::Precondition> preconditions, RequestPriority request_priority,
               std::function<void(std::optional<Comparison>)> done);
  void resolve();
  void read_next_ends(std::shared_ptr<std::vector<std::string>> ids,
                      std::function<void(bool)> done);
  void find_next_accepted(std::shared_ptr<std::vector<std::string>> ids, std::size_t from,
                          std::shared_ptr<std::set<std::string>> found,
                          std::function<void(std::optional<std::set<std::string>>)> done);
  void submit(Pending p);
  void enqueue(Pending p);
  void send_queued_requests();
  Ms watch_pause() const;
  void acquire_lease();
  void renew_lease();
  void begin_watch();
  void load(std::size_t prefix, std::string since);
  void watch(Ms wait);
  void try_swap(std::shared_ptr<CompareAndSwap> c, int tries);
  void on_swap_reply(const std::shared_ptr<CompareAndSwap>& c, int tries,
                     const std::optional<codec::Precondition>& guard, const HttpReply& r);
  bool is_bound(const CompareAndSwap& c) const;
  codec::Precondition version_precondition(const CompareAndSwap& c) const;
  void try_without_record(const std::shared_ptr<CompareAndSwap>& c, int tries);
  void version_changed(const std::shared_ptr<CompareAndSwap>& c, int tries,
                       std::uint64_t guard_revision);
  void log_standby();
  void write_node_record();
  void read_back(std::shared_ptr<CompareAndSwap> c, std::uint64_t store_revision, int tries);
  void list_from(const std::string& prefix, const std::string& since,
                 std::shared_ptr<std::vector<codec::StateRow>> rows,
                 std::function<void(std::optional<std::vector<codec::StateRow>>)> done);
  void notify_revision_waiters();

  Runtime& runtime_;
  const Settings& settings_;
  ReplicatedView replica_;
  std::function<void()> on_lease_lost_;
  std::uint64_t lease_id_ = 0;
  Ms lease_valid_until_ = 0, last_renewal_ = 0, last_good_ = 0;
  bool acquiring_lease_ = false, renewing_lease_ = false, node_written_ = false,
       writing_node_ = false;
  bool resolving_ = false;
  Ms resolve_at_ = 0;
  upgrade::ActingVersion acting_version_;
  std::string logged_standby_reason_;  // what was last logged of it
  std::uint64_t watch_revision_ = 0;
  std::set<std::string> loaded_;  // keys met while listing anew
  std::deque<Pending> queue_;
  RateLimiter rate_limiter_;
  int in_flight_ = 0;
  std::uint64_t nonce_counter_ = 0;
  std::multimap<std::uint64_t, std::function<void()>> revision_waiters_;
  Counters counters_;
};

}  // namespace eiderreel
