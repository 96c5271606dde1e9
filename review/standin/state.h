// Stand-in of the state service: keys, transactions, leases, watches, rate limits.
#pragma once
#include "world.h"

namespace review {

class State {
 public:
  struct Limits {
    double rps = 60, write_rps = 20, value_kb = 8;
    unsigned txn_ops = 16;
  };
  State(World& world, Limits limits)
      : world_(world), limits_(limits), requests_(limits.rps), writes_(limits.write_rps) {
    world_.every(0.02, [this] {
      end_leases();
      end_waits();
      return true;
    });
  }
  /// One more address of the service; each controller gets its own.
  std::string listen() {
    servers_.push_back(std::make_unique<Server>(
        world_, [this](const Request& request, ResponderPtr reply) { serve(request, reply); }));
    return servers_.back()->address();
  }
  /// Whether every request gets 503.
  void set_outage(bool outage) {
    outage_ = outage;
    if (!outage)  // every lease has its full time again
      for (auto& [id, lease] : leases_) lease.ends = world_.now() + lease.life;
  }

 private:
  struct Row {
    std::string value;
    std::uint64_t stamp = 0, tether = 0;
  };
  struct Lease {
    double life = 0, ends = 0;
  };
  struct Event {
    std::uint64_t revision;
    std::string key, value;  // no value: a deletion
  };
  struct Wait {
    std::string prefix;
    std::uint64_t since;
    double ends;
    ResponderPtr reply;
  };
  struct Bucket {
    explicit Bucket(double rate) : rate(rate), tokens(rate) {}
    double rate, tokens, at = 0;
    bool take(double now, double amount) {
      tokens = std::min(rate, tokens + (now - at) * rate);
      at = now;
      if (tokens < amount) return false;
      tokens -= amount;
      return true;
    }
  };

  std::string ledger_body() const { return format("{\"ledger\":%lu}", ledger_); }

  void serve(const Request& request, const ResponderPtr& reply) {
    if (outage_) return reply->send(503, "{\"error\":\"trouble\"}");
    if (!requests_.take(world_.now(), 1)) return reply->send(429, "{\"error\":\"rate\"}");
    const std::string& path = request.path;
    if (path == "/kv") return list(request, reply);
    if (path.rfind("/kv/", 0) == 0) return read(path.substr(4), reply);
    if (path == "/commit") return commit(request, reply);
    if (path == "/follow") return follow(request, reply);
    if (path == "/grants") return grant(request, reply);
    if (path.rfind("/grants/", 0) == 0) return lease(request, reply);
    reply->send(400, "{}");
  }

  std::string row_body(const std::string& key, const Row& row) const {
    std::string body =
        "{\"key\":\"" + key + "\",\"v\":" + row.value + ",\"stamp\":" + std::to_string(row.stamp);
    if (row.tether) body += ",\"tether\":" + std::to_string(row.tether);
    return body + "}";
  }

  void read(const std::string& key, const ResponderPtr& reply) {
    const auto row = rows_.find(key);
    if (row == rows_.end()) return reply->send(404, ledger_body());
    reply->send(200, row_body(key, row->second));
  }

  void list(const Request& request, const ResponderPtr& reply) {
    const auto field = [&](const char* name, const std::string& other) {
      const auto found = request.query.find(name);
      return found == request.query.end() ? other : found->second;
    };
    const std::string prefix = field("prefix", ""), since = field("since", "");
    const std::size_t page =
        std::min(1000ul, std::strtoul(field("page", "1000").c_str(), nullptr, 10));
    std::string body = "{\"rows\":[";
    std::size_t count = 0;
    bool more = false;
    for (auto row = since.empty() ? rows_.lower_bound(prefix) : rows_.upper_bound(since);
         row != rows_.end() && row->first.rfind(prefix, 0) == 0; ++row) {
      if (count == page || body.size() > 500000) {
        more = true;
        break;
      }
      if (count++) body += ",";
      body += row_body(row->first, row->second);
    }
    reply->send(200, body + "],\"more\":" + (more ? "true" : "false") +
                         format(",\"ledger\":%lu}", ledger_));
  }

  void commit(const Request& request, const ResponderPtr& reply) {
    Json body;
    body.Parse(request.body.c_str());
    if (request.body.size() > 65536 || body.HasParseError() || !body.IsObject())
      return reply->send(400, "{}");
    const bool has_writes = body.HasMember("writes") && body["writes"].IsArray();
    const unsigned writes = has_writes ? body["writes"].Size() : 0;
    const bool has_guards = body.HasMember("guards") && body["guards"].IsArray();
    const unsigned guards = has_guards ? body["guards"].Size() : 0;
    if (writes > limits_.txn_ops || guards > 4 * limits_.txn_ops)
      return reply->send(400, "{\"error\":\"too large\"}");
    if (writes && !writes_.take(world_.now(), writes))
      return reply->send(429, "{\"error\":\"rate\"}");
    for (unsigned i = 0; i < writes; ++i) {
      const Value& write = body["writes"][i];
      if (!write.HasMember("write")) continue;
      if (static_cast<double>(text_of(write["v"]).size()) > limits_.value_kb * 1024)
        return reply->send(400, "{\"error\":\"value too large\"}");
      if (write.HasMember("tether") && write["tether"].IsUint64() &&
          !leases_.count(write["tether"].GetUint64()))
        return reply->send(400, "{\"error\":\"no such lease\"}");
    }
    std::string failed;
    for (unsigned i = 0; i < guards; ++i) {
      const Value& guard = body["guards"][i];
      const auto row = rows_.find(guard["key"].GetString());
      const std::uint64_t stamp = row == rows_.end() ? 0 : row->second.stamp;
      if (stamp != guard["stamp"].GetUint64())
        failed += (failed.empty() ? "\"" : ",\"") + std::string(guard["key"].GetString()) + "\"";
    }
    if (!failed.empty())
      return reply->send(409, "{\"failed\":[" + failed + format("],\"ledger\":%lu}", ledger_));
    if (writes) ++ledger_;
    for (unsigned i = 0; i < writes; ++i) {
      const Value& write = body["writes"][i];
      if (write.HasMember("delete")) {
        remove(write["delete"].GetString());
        continue;
      }
      const std::string key = write["write"].GetString();
      const bool tethered = write.HasMember("tether") && write["tether"].IsUint64();
      rows_[key] = {text_of(write["v"]), ledger_, tethered ? write["tether"].GetUint64() : 0};
      note({ledger_, key, rows_[key].value});
    }
    reply->send(200, ledger_body());
    answer_waits();
  }

  void remove(const std::string& key) {
    if (rows_.erase(key)) note({ledger_, key, ""});
  }
  void note(Event event) {
    events_.push_back(std::move(event));
    if (events_.size() > 10000) {
      oldest_ = events_.front().revision;
      events_.pop_front();
    }
  }

  void grant(const Request& request, const ResponderPtr& reply) {
    Json body;
    body.Parse(request.body.c_str());
    const double life = body["life_ms"].GetDouble() / 1000;
    const std::uint64_t id = ++last_lease_;
    leases_[id] = {life, world_.now() + life};
    reply->send(200, format("{\"tether\":%lu}", id));
  }

  void lease(const Request& request, const ResponderPtr& reply) {
    const std::uint64_t id = std::strtoull(request.path.c_str() + 8, nullptr, 10);
    const auto found = leases_.find(id);
    if (found == leases_.end()) return reply->send(404, "{}");
    if (request.method == "DELETE") {
      end_lease(id);
      answer_waits();
    } else {
      found->second.ends = world_.now() + found->second.life;
    }
    reply->send(200, format("{\"tether\":%lu}", id));
  }

  void end_lease(std::uint64_t id) {
    leases_.erase(id);
    std::vector<std::string> keys;
    for (const auto& [key, row] : rows_)
      if (row.tether == id) keys.push_back(key);
    if (!keys.empty()) ++ledger_;
    for (const auto& key : keys) remove(key);
  }

  void end_leases() {
    if (outage_) return;
    std::vector<std::uint64_t> ended;
    for (const auto& [id, lease] : leases_)
      if (lease.ends < world_.now()) ended.push_back(id);
    for (const auto id : ended) end_lease(id);
    if (!ended.empty()) answer_waits();
  }

  void follow(const Request& request, const ResponderPtr& reply) {
    const auto number = [&](const char* name) {
      const auto found = request.query.find(name);
      return found == request.query.end() ? 0 : std::strtoull(found->second.c_str(), nullptr, 10);
    };
    const auto prefix = request.query.find("prefix");
    Wait wait{prefix == request.query.end() ? "" : prefix->second, number("since"),
              world_.now() + static_cast<double>(number("wait_ms")) / 1000, reply};
    if (wait.since < oldest_) return reply->send(410, "{}");
    if (!answer(wait, world_.now() >= wait.ends)) waits_.push_back(wait);
  }

  bool answer(const Wait& wait, bool even_if_none) {
    std::string events;
    for (const Event& event : events_) {
      if (event.revision <= wait.since || event.key.rfind(wait.prefix, 0) != 0) continue;
      if (!events.empty()) events += ",";
      events += event.value.empty()
                    ? "{\"delete\":\"" + event.key + format("\",\"stamp\":%lu}", event.revision)
                    : "{\"write\":\"" + event.key + "\",\"v\":" + event.value +
                          format(",\"stamp\":%lu}", event.revision);
    }
    if (events.empty() && !even_if_none) return false;
    wait.reply->send(200, format("{\"ledger\":%lu,\"events\":[", ledger_) + events + "]}");
    return true;
  }
  void answer_waits() {
    if (outage_) return;
    std::vector<Wait> left;
    for (const Wait& wait : waits_)
      if (!wait.reply->closed() && !answer(wait, false)) left.push_back(wait);
    waits_ = std::move(left);
  }
  void end_waits() {
    if (outage_) return;  // open watches stay open
    std::vector<Wait> left;
    for (const Wait& wait : waits_)
      if (!wait.reply->closed() && !answer(wait, world_.now() >= wait.ends)) left.push_back(wait);
    waits_ = std::move(left);
  }

  World& world_;
  Limits limits_;
  Bucket requests_, writes_;
  bool outage_ = false;
  std::vector<std::unique_ptr<Server>> servers_;
  std::map<std::string, Row> rows_;
  std::map<std::uint64_t, Lease> leases_;
  std::deque<Event> events_;
  std::vector<Wait> waits_;
  std::uint64_t ledger_ = 1, last_lease_ = 0, oldest_ = 0;
};

}  // namespace review
