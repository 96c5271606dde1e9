// The state store client: all dealings with the state service. It owns this node's grant, the
// replica of every key under `e/`, and the requests that wait for the rate limiter.
#pragma once
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "codec/json.h"
#include "config/settings.h"
#include "runtime/runtime.h"
#include "state_store/rate_limiter.h"
#include "state_store/replicated_view.h"

namespace eiderreel {

enum class Outcome {
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

struct Commit {
  std::vector<codec::Precondition> preconditions;
  std::vector<codec::Write> writes;  // the first one puts a value with the nonce of this commit
  std::string nonce;
  Pace pace = Pace::user;
  int tries = constants::kCommitTries;
  std::function<void(Outcome, std::uint64_t store_revision)> done;
  // A try of it is without answer. Guard: a later try that is refused says nothing of that one, so
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

  StateStoreClient(Runtime& rt, const Settings& s);
  void start(ReplicatedView::Events events, std::function<void()> grant_lost);
  void tick();

  const View& view() const { return replica_.view(); }
  ReplicatedView& replica() { return replica_; }
  const ReplicatedView& replica() const { return replica_; }
  std::uint64_t grant() const { return grant_; }
  // Invariant 6: counted from the sending of the last good extend, less drift.
  bool grant_alive() const { return grant_ != 0 && rt_.now() < alive_until_; }
  Ms last_good() const { return last_good_; }
  const upgrade::ActingVersion& acting_version() const { return acting_version_; }
  upgrade::ProgressPolicy progress_policy() const {
    return upgrade::progress_policy(acting_version_.version());
  }
  // Why this controller must not act at all; empty: it may.
  std::string stands_aside() const { return acting_version_.obstacle(view().cluster); }
  // Marks a value as written by this process.
  std::string nonce();

  void commit(Commit c);
  // Linearizable read. `row.revision` 0: the key does not exist. Fails with nullopt.
  void read(const std::string& key, std::function<void(std::optional<codec::StateRow>)> done);
  void list(const std::string& prefix,
            std::function<void(std::optional<std::vector<codec::StateRow>>)> done);
  // Reads the final records of these jobs into the view, as far as there are any; false: some could
  // not be read.
  void read_ends(std::vector<std::string> ids, std::function<void(bool)> done);
  // Which of these jobs were ever accepted; nullopt when the state service does not tell.
  void find_accepted(std::vector<std::string> ids,
                     std::function<void(std::optional<std::set<std::string>>)> done);
  // Calls back once the view has all changes that were made before this call; false when the state
  // service does not tell.
  void catch_up(std::function<void(bool)> done);
  // Calls back once the view has all changes up to `store_revision`.
  void when_seen(std::uint64_t store_revision, std::function<void()> done);
  // What this node takes of the budgets, for its peers; and what a peer has said that it takes.
  BudgetUse use() const { return rate_limiter_.use(); }
  void peer_use(const std::string& node, const BudgetUse& use);
  const Counters& counters() const { return counters_; }
  std::size_t pending() const { return queue_.size(); }

 private:
  struct Pending {
    HttpRequest request;
    int writes = 0;
    Pace pace = Pace::user;
    Ms expires = 0;
    std::function<void(HttpReply)> done;
  };
  struct Comparison {  // the answer to a transaction without writes
    std::vector<std::string> failed;
    std::uint64_t store_revision = 0;
  };
  void compare(std::vector<codec::Precondition> preconditions, Pace pace,
               std::function<void(std::optional<Comparison>)> done);
  void resolve();
  void read_next_ends(std::shared_ptr<std::vector<std::string>> ids,
                      std::function<void(bool)> done);
  void find_next_accepted(std::shared_ptr<std::vector<std::string>> ids, std::size_t from,
                          std::shared_ptr<std::set<std::string>> found,
                          std::function<void(std::optional<std::set<std::string>>)> done);
  void submit(Pending p);
  void enqueue(Pending p);
  void pump();
  Ms follow_pause() const;
  void get_grant();
  void extend();
  void begin_follow();
  void load(std::size_t prefix, std::string since);
  void follow(Ms wait);
  void try_commit(std::shared_ptr<Commit> c, int tries);
  void commit_answered(const std::shared_ptr<Commit>& c, int tries,
                       const std::optional<codec::Precondition>& guard, const HttpReply& r);
  bool is_bound(const Commit& c) const;
  codec::Precondition version_guard(const Commit& c) const;
  void try_without_record(const std::shared_ptr<Commit>& c, int tries);
  void version_changed(const std::shared_ptr<Commit>& c, int tries, std::uint64_t guard_revision);
  void log_stand_aside();
  void write_node_record();
  void read_back(std::shared_ptr<Commit> c, std::uint64_t store_revision, int tries);
  void list_from(const std::string& prefix, const std::string& since,
                 std::shared_ptr<std::vector<codec::StateRow>> rows,
                 std::function<void(std::optional<std::vector<codec::StateRow>>)> done);
  void announce_seen();

  Runtime& rt_;
  const Settings& s_;
  ReplicatedView replica_;
  std::function<void()> grant_lost_;
  std::uint64_t grant_ = 0;
  Ms alive_until_ = 0, last_extend_ = 0, last_good_ = 0;
  bool granting_ = false, extending_ = false, node_written_ = false, writing_node_ = false;
  bool resolving_ = false;
  Ms resolve_at_ = 0;
  upgrade::ActingVersion acting_version_;
  std::string told_aside_;  // what was last logged of it
  std::uint64_t follow_since_ = 0;
  std::set<std::string> loaded_;  // keys met while listing anew
  std::deque<Pending> queue_;
  RateLimiter rate_limiter_;
  int in_flight_ = 0;
  std::uint64_t nonce_counter_ = 0;
  std::multimap<std::uint64_t, std::function<void()>> waiting_;
  Counters counters_;
};

}  // namespace eiderreel
