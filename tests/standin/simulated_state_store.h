// The state store of the simulated cluster: keys with revisions, leases, transactions and watches
// as in the protocol, and injected faults.
#pragma once
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "runtime/runtime.h"

namespace eiderreel::standin {

// A fraction of the messages gets no reply and takes effect after a delay, possibly after newer
// messages. With a short delay, in effect only the reply is lost.
struct DelayModel {
  double fraction = 0, min_s = 2, max_s = 12;
  // The delay of one message, for a random number in [0, 1).
  Ms delay_ms(double chance) const {
    return static_cast<Ms>((min_s + (max_s - min_s) * chance) * 1000);
  }
};

class SimulatedStateStore {
 public:
  using Done = std::function<void(HttpReply)>;
  struct Environment {
    std::function<Ms()> now;
    std::function<void(Ms, std::function<void()>)> schedule_at;
    std::function<double()> chance;  // random number in [0, 1)
  };
  struct Limits {
    double write_rps = 0;
    bool enforced = false;
    std::size_t retained_changes = 0;  // length of the change history for watches
    double value_kb = 8;
    int txn_ops = 16;
  };
  struct Counters {
    std::size_t commits = 0, rate_limited = 0;
    std::size_t delayed_commits = 0;  // committed after a delay
    std::size_t without_reply = 0;    // committed later or failed on a conflict
    std::size_t too_large = 0;        // transactions over a size limit
  };

  SimulatedStateStore(Environment environment, Limits limits)
      : environment_(std::move(environment)), limits_(limits) {}

  // Callbacks for each value, before it is written, and for the end of each transaction.
  struct Observer {
    std::function<void(const std::string& key, const std::string& value)> on_write;
    std::function<void()> on_commit;
  };
  void set_observer(Observer observer) { observer_ = std::move(observer); }
  // Writes a value on behalf of the test, outside of any transaction.
  void put(const std::string& key, const std::string& value);

  // Serves a request of a controller. `done` is called once, or never if the reply is lost.
  void serve(const std::string& from, const HttpRequest& request, Done done);
  // Ends the leases whose TTL has passed and deletes their keys. Must be called periodically.
  void expire_leases();
  // The value of a key, or nullptr.
  const std::string* value(const std::string& key) const;

  std::size_t count_keys(const std::string& prefix) const;
  std::vector<std::string> keys(const std::string& prefix) const;
  void set_limits(double value_kb, int txn_ops, double write_rps);
  void set_outage(bool on);  // 503 for all nodes
  void set_unavailable_to(const std::string& node, bool on);
  void set_commit_delays(DelayModel delays) { commit_delays_ = delays; }
  void set_max_latency(Ms latency) { max_latency_ = latency; }
  const Counters& counters() const { return counters_; }

 private:
  struct Row {
    std::string value;
    std::uint64_t revision = 0, lease = 0;
  };
  struct Change {
    std::uint64_t revision;
    std::string key, value;
    bool deleted;
  };
  struct Lease {
    Ms ttl = 0, expires_at = 0;
  };
  struct Watch {
    std::string from, prefix;
    std::uint64_t since;
    Done reply;
    bool answered = false;
  };

  void serve_commit(const std::string& body, const Done& done);
  void serve_new_lease(const std::string& body, const Done& done);
  void serve_lease(const HttpRequest& request, const Done& done);
  void serve_watch(const std::string& from, const std::string& path, const Done& done);
  bool is_unavailable_to(const std::string& node) const {
    return outage_ || unavailable_to_.count(node) > 0;
  }
  void serve_list(const std::string& path, const Done& done) const;
  void serve_read(const std::string& key, const Done& done) const;
  bool take_write_tokens(double writes);
  bool is_too_large(const std::string& body) const;
  HttpReply commit(const std::string& body);
  void commit_at(Ms when, const std::string& body);
  void apply_change(const std::string& key, const std::string* value, std::uint64_t lease);
  HttpReply changes_since(const std::string& prefix, std::uint64_t since) const;
  void notify_watches();

  Environment environment_;
  Observer observer_;
  Limits limits_;
  std::map<std::string, Row> rows_;
  std::vector<Change> changes_;
  std::map<std::uint64_t, Lease> leases_;
  std::vector<std::shared_ptr<Watch>> watches_;
  std::uint64_t revision_ = 0, next_lease_ = 0;
  bool outage_ = false;
  std::set<std::string> unavailable_to_;
  DelayModel commit_delays_;
  Ms max_latency_ = 0;
  double write_tokens_ = 0;
  Ms tokens_refilled_at_ = 0;
  Counters counters_;
};

}  // namespace eiderreel::standin
