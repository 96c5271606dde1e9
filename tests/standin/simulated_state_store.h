// The state store of the simulated cluster: keys with revisions, leases, transactions and watches,
// as the protocol has them, and the faults it can have.
#pragma once
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "runtime/runtime.h"

namespace eiderreel::standin {

// A share of the messages gets no answer and is carried out so much later, also after newer ones.
// Soon: only the answer is lost.
struct Delays {
  double share = 0, least_s = 2, most_s = 12;
  // How late one of them is, for a chance in [0, 1).
  Ms delay(double chance) const {
    return static_cast<Ms>((least_s + (most_s - least_s) * chance) * 1000);
  }
};

class SimulatedStateStore {
 public:
  using Done = std::function<void(HttpReply)>;
  struct Environment {
    std::function<Ms()> now;
    std::function<void(Ms, std::function<void()>)> at;
    std::function<double()> chance;  // [0, 1)
  };
  struct Limits {
    double write_rps = 0;
    bool enforced = false;
    std::size_t changes_kept = 0;  // for watches
    double value_kb = 8;
    int txn_ops = 16;
  };
  struct Counters {
    std::size_t commits = 0, over_limit = 0;
    std::size_t landed_late = 0;     // transactions that were carried out late
    std::size_t without_answer = 0;  // whether they landed or met newer ones
    std::size_t too_large = 0;       // values or transactions over the limits
  };

  SimulatedStateStore(Environment environment, Limits limits)
      : environment_(std::move(environment)), limits_(limits) {}

  // Is told of every value before it is written, and of the end of each transaction.
  struct Observer {
    std::function<void(const std::string& key, const std::string& value)> written;
    std::function<void()> changed;
  };
  void set_observer(Observer observer) { observer_ = std::move(observer); }
  // Puts a value there that no controller has written.
  void put(const std::string& key, const std::string& value);

  // A request of a controller; `done` is called once, or never where an answer is lost.
  void serve(const std::string& from, const HttpRequest& request, Done done);
  // Ends the leases that are over; to be called now and then.
  void end_leases();
  // The value of a key, or nothing.
  const std::string* value(const std::string& key) const;

  std::size_t keys_under(const std::string& prefix) const;
  std::vector<std::string> keys(const std::string& prefix) const;
  void set_limits(double value_kb, int txn_ops, double write_rps);
  void set_outage(bool on);  // 503 for all
  void set_refused(const std::string& node, bool on);
  void set_late_writes(Delays delays) { late_writes_ = delays; }
  void set_slowest(Ms most) { slowest_ = most; }
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
    Ms life = 0, ends = 0;
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
  bool is_down_for(const std::string& node) const { return outage_ || refused_.count(node) > 0; }
  void serve_list(const std::string& path, const Done& done) const;
  void serve_read(const std::string& key, const Done& done) const;
  bool take_write_tokens(double writes);
  bool is_too_large(const std::string& body) const;
  HttpReply commit(const std::string& body);
  void commit_later(Ms when, const std::string& body);
  void change(const std::string& key, const std::string* value, std::uint64_t lease);
  HttpReply changes_since(const std::string& prefix, std::uint64_t since) const;
  void wake_watches();

  Environment environment_;
  Observer observer_;
  Limits limits_;
  std::map<std::string, Row> rows_;
  std::vector<Change> changes_;
  std::map<std::uint64_t, Lease> leases_;
  std::vector<std::shared_ptr<Watch>> watches_;
  std::uint64_t revision_ = 0, next_lease_ = 0;
  bool outage_ = false;
  std::set<std::string> refused_;
  Delays late_writes_;
  Ms slowest_ = 0;
  double write_tokens_ = 0;
  Ms refilled_ = 0;
  Counters counters_;
};

}  // namespace eiderreel::standin
