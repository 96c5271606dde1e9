#include "standin/simulated_state_store.h"

#include <rapidjson/document.h>

#include <algorithm>

#include "standin/text.h"

namespace eiderreel::standin {

using rapidjson::Document;

namespace {

constexpr Ms kOutageRetryMs = 500;  // retry interval of delayed commits during an outage

std::string lease_text(std::uint64_t id) { return "{\"tether\":" + std::to_string(id) + "}"; }

std::string revision_text(std::uint64_t revision) {
  return "\"ledger\":" + std::to_string(revision);
}

}  // namespace

void SimulatedStateStore::serve(const std::string& from, const HttpRequest& request,
                                Done send_reply) {
  const std::string& path = request.path;
  Done done = send_reply;
  if (max_latency_ > 0 && !has_prefix(path, "/follow"))
    done = [this, send_reply](HttpReply reply) {
      const double wait = environment_.chance() * static_cast<double>(max_latency_);
      environment_.schedule_at(environment_.now() + static_cast<Ms>(wait),
                               [send_reply, reply] { send_reply(reply); });
    };
  if (is_unavailable_to(from)) return done({503, error_text("outage")});
  if (path == "/commit") return serve_commit(request.body, done);
  if (path == "/grants") return serve_new_lease(request.body, done);
  if (has_prefix(path, "/grants/")) return serve_lease(request, done);
  if (has_prefix(path, "/follow")) return serve_watch(from, path, done);
  if (has_prefix(path, "/kv?")) return serve_list(path, done);
  serve_read(path.substr(4), done);
}

const std::string* SimulatedStateStore::value(const std::string& key) const {
  const auto row = rows_.find(key);
  return row == rows_.end() ? nullptr : &row->second.value;
}

std::size_t SimulatedStateStore::count_keys(const std::string& prefix) const {
  return static_cast<std::size_t>(std::count_if(
      rows_.begin(), rows_.end(), [&](const auto& row) { return has_prefix(row.first, prefix); }));
}

std::vector<std::string> SimulatedStateStore::keys(const std::string& prefix) const {
  std::vector<std::string> out;
  for (const auto& [key, row] : rows_)
    if (has_prefix(key, prefix)) out.push_back(key);
  return out;
}

void SimulatedStateStore::put(const std::string& key, const std::string& value) {
  ++revision_;
  apply_change(key, &value, 0);
  notify_watches();
}

void SimulatedStateStore::set_limits(double value_kb, int txn_ops, double write_rps) {
  limits_.value_kb = value_kb;
  limits_.txn_ops = txn_ops;
  limits_.write_rps = write_rps;
  limits_.enforced = true;
}

void SimulatedStateStore::set_outage(bool on) {
  outage_ = on;
  if (on) return;
  for (auto& [id, lease] : leases_)
    lease.expires_at = environment_.now() + lease.ttl;  // renew every lease in full
}

void SimulatedStateStore::set_unavailable_to(const std::string& node, bool on) {
  if (on)
    unavailable_to_.insert(node);
  else
    unavailable_to_.erase(node);
  notify_watches();
}

// ------------------------------------------------------------------------------- leases

void SimulatedStateStore::expire_leases() {
  if (outage_) return;
  for (auto it = leases_.begin(); it != leases_.end();) {
    if (it->second.expires_at > environment_.now()) {
      ++it;
      continue;
    }
    const std::uint64_t id = it->first;
    it = leases_.erase(it);
    ++revision_;
    std::vector<std::string> keys;
    for (const auto& [key, row] : rows_)
      if (row.lease == id) keys.push_back(key);
    for (const auto& key : keys) apply_change(key, nullptr, 0);
  }
  notify_watches();
}

void SimulatedStateStore::serve_new_lease(const std::string& body, const Done& done) {
  Document document;
  document.Parse(body.c_str());
  const Ms ttl = document["life_ms"].GetInt64();
  leases_[++next_lease_] = {ttl, environment_.now() + ttl};
  done({200, lease_text(next_lease_)});
}

void SimulatedStateStore::serve_lease(const HttpRequest& request, const Done& done) {
  const std::uint64_t id = std::stoull(request.path.substr(8));
  auto lease = leases_.find(id);
  if (lease == leases_.end()) return done({404, "{}"});
  const bool is_revoke = request.method == "DELETE";
  lease->second.expires_at = environment_.now() + (is_revoke ? 0 : lease->second.ttl);
  if (is_revoke) expire_leases();
  done({200, lease_text(id)});
}

// ------------------------------------------------------------------------- transactions

void SimulatedStateStore::apply_change(const std::string& key, const std::string* value,
                                       std::uint64_t lease) {
  if (value)
    rows_[key] = {*value, revision_, lease};
  else
    rows_.erase(key);
  changes_.push_back({revision_, key, value ? *value : "", value == nullptr});
}

HttpReply SimulatedStateStore::commit(const std::string& body) {
  Document document;
  document.Parse(body.c_str());
  std::string failed;
  for (const auto& guard : document["guards"].GetArray()) {
    const auto row = rows_.find(guard["key"].GetString());
    const std::uint64_t revision = row == rows_.end() ? 0 : row->second.revision;
    if (revision == guard["stamp"].GetUint64()) continue;
    failed += (failed.empty() ? "\"" : ",\"") + std::string(guard["key"].GetString()) + "\"";
  }
  for (const auto& write : document["writes"].GetArray())
    if (write.HasMember("tether") && !leases_.count(write["tether"].GetUint64()))
      return {400, error_text("no such lease")};
  if (!failed.empty())
    return {409, "{\"failed\":[" + failed + "]," + revision_text(revision_) + "}"};
  ++revision_;
  for (const auto& write : document["writes"].GetArray())
    if (observer_.on_write && write.HasMember("write"))
      observer_.on_write(write["write"].GetString(), json_text(write["v"]));
  for (const auto& write : document["writes"].GetArray()) {
    if (write.HasMember("delete")) {
      const std::string key = write["delete"].GetString();
      if (rows_.count(key)) apply_change(key, nullptr, 0);
    } else {
      const std::string value = json_text(write["v"]);
      apply_change(write["write"].GetString(), &value,
                   write.HasMember("tether") ? write["tether"].GetUint64() : 0);
    }
  }
  HttpReply reply{200, "{" + revision_text(revision_) + "}"};
  if (observer_.on_commit) observer_.on_commit();
  notify_watches();
  return reply;
}

// A delayed commit survives an outage: it is retried until the state store is available again.
void SimulatedStateStore::commit_at(Ms when, const std::string& body) {
  environment_.schedule_at(when, [this, body] {
    if (outage_) return commit_at(environment_.now() + kOutageRetryMs, body);
    counters_.delayed_commits += commit(body).status == 200;
  });
}

bool SimulatedStateStore::take_write_tokens(double writes) {
  const Ms now = environment_.now();
  const double refill = static_cast<double>(now - tokens_refilled_at_) / 1000 * limits_.write_rps;
  write_tokens_ = std::min(limits_.write_rps, write_tokens_ + refill);
  tokens_refilled_at_ = now;
  if (limits_.enforced && write_tokens_ < writes) return false;
  write_tokens_ -= writes;
  return true;
}

bool SimulatedStateStore::is_too_large(const std::string& body) const {
  Document document;
  document.Parse(body.c_str());
  const auto& writes = document["writes"].GetArray();
  const auto max_writes = static_cast<std::size_t>(limits_.txn_ops);
  if (writes.Size() > max_writes || document["guards"].GetArray().Size() > 4 * max_writes ||
      body.size() > 65536)
    return true;
  return std::any_of(writes.begin(), writes.end(), [&](const auto& write) {
    return write.HasMember("v") &&
           static_cast<double>(json_text(write["v"]).size()) > limits_.value_kb * 1024;
  });
}

void SimulatedStateStore::serve_commit(const std::string& body, const Done& done) {
  Document document;
  document.Parse(body.c_str());
  if (is_too_large(body)) {
    ++counters_.too_large;
    return done({400, error_text("too large")});
  }
  if (!take_write_tokens(document["writes"].GetArray().Size())) {
    ++counters_.rate_limited;
    return done({429, "{}"});
  }
  ++counters_.commits;
  if (commit_delays_.fraction > 0 && environment_.chance() < commit_delays_.fraction) {
    ++counters_.without_reply;
    return commit_at(environment_.now() + commit_delays_.delay_ms(environment_.chance()), body);
  }
  done(commit(body));
}

// -------------------------------------------------------------------- watches and reads

HttpReply SimulatedStateStore::changes_since(const std::string& prefix, std::uint64_t since) const {
  std::string events;
  for (const Change& change : changes_) {
    if (change.revision <= since || !has_prefix(change.key, prefix)) continue;
    if (!events.empty()) events += ",";
    const std::string revision = ",\"stamp\":" + std::to_string(change.revision) + "}";
    events += change.deleted ? "{\"delete\":\"" + change.key + "\"" + revision
                             : "{\"write\":\"" + change.key + "\",\"v\":" + change.value + revision;
  }
  if (events.empty()) return {};
  return {200, "{" + revision_text(revision_) + ",\"events\":[" + events + "]}"};
}

void SimulatedStateStore::notify_watches() {
  std::erase_if(watches_, [](const auto& watch) { return watch->answered; });
  for (auto& watch : std::vector(watches_)) {
    if (is_unavailable_to(watch->from)) continue;
    HttpReply reply = changes_since(watch->prefix, watch->since);
    if (reply.status == 0) continue;
    watch->answered = true;
    watch->reply(reply);
  }
}

void SimulatedStateStore::serve_watch(const std::string& from, const std::string& path,
                                      const Done& done) {
  auto watch = std::make_shared<Watch>();
  watch->from = from;
  watch->prefix = query_parameter(path, "prefix");
  watch->since = std::stoull(query_parameter(path, "since"));
  watch->reply = done;
  if (changes_.size() > limits_.retained_changes &&
      changes_[changes_.size() - limits_.retained_changes].revision > watch->since + 1)
    return done({410, "{}"});
  if (HttpReply reply = changes_since(watch->prefix, watch->since); reply.status)
    return done(reply);
  watches_.push_back(watch);
  const Ms wait = std::stoll(query_parameter(path, "wait_ms"));
  environment_.schedule_at(environment_.now() + wait, [this, watch] {
    // During an outage, or while the store is unavailable to this node, the watch stays open.
    if (watch->answered || is_unavailable_to(watch->from)) return;
    watch->answered = true;
    watch->reply({200, "{" + revision_text(revision_) + ",\"events\":[]}"});
  });
}

void SimulatedStateStore::serve_list(const std::string& path, const Done& done) const {
  const std::string prefix = query_parameter(path, "prefix");
  const std::string since = query_parameter(path, "since");
  std::size_t page = std::stoul(query_parameter(path, "page"));
  std::string rows;
  bool more = false;
  for (auto row = since.empty() ? rows_.lower_bound(prefix) : rows_.upper_bound(since);
       row != rows_.end() && has_prefix(row->first, prefix); ++row) {
    if (page-- == 0) {
      more = true;
      break;
    }
    if (!rows.empty()) rows += ",";
    rows += "{\"key\":\"" + row->first + "\",\"v\":" + row->second.value +
            ",\"stamp\":" + std::to_string(row->second.revision) + "}";
  }
  done({200, "{\"rows\":[" + rows + "],\"more\":" + (more ? "true" : "false") + "," +
                 revision_text(revision_) + "}"});
}

void SimulatedStateStore::serve_read(const std::string& key, const Done& done) const {
  const auto row = rows_.find(key);
  if (row == rows_.end()) return done({404, "{" + revision_text(revision_) + "}"});
  done({200, "{\"key\":\"" + key + "\",\"v\":" + row->second.value +
                 ",\"stamp\":" + std::to_string(row->second.revision) + "}"});
}

}  // namespace eiderreel::standin
