// A small deployment on loopback for the cases of this review: the state service, the cloud, the
// workers, the users and the platform that starts the controllers, as the protocol describes them.
// Everything runs in one process and one event loop, in real time; the controllers are processes of
// their own. What is sent, answered and run is written to the record.
#pragma once
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <fcntl.h>
#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "net/address.h"
#include "net/http_client.h"
#include "net/http_reply.h"
#include "net/libevent_handles.h"

namespace world {

using eiderreel::HttpReply;
using eiderreel::HttpRequest;
using Ms = std::int64_t;
using rapidjson::Document;
using rapidjson::Value;
using Done = std::function<void(HttpReply)>;

// ------------------------------------------------------------------------ time, record, random

inline event_base* g_base = nullptr;
inline FILE* g_record = nullptr;
inline Ms g_start = 0;
inline std::mt19937_64 g_random{std::random_device{}()};

inline Ms steady_ms() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}
inline Ms now() { return steady_ms() - g_start; }
inline double uniform(double low, double high) {
  return std::uniform_real_distribution<double>(low, high)(g_random);
}
__attribute__((format(printf, 1, 2))) inline void say(const char* format, ...) {
  std::fprintf(g_record, "%8.3f ", static_cast<double>(now()) / 1000);
  va_list arguments;
  va_start(arguments, format);
  std::vfprintf(g_record, format, arguments);
  va_end(arguments);
  std::fputc('\n', g_record);
  std::fflush(g_record);
}
struct OneShot {
  std::function<void()> call;
};
inline void after(Ms delay, std::function<void()> call) {
  auto* shot = new OneShot{std::move(call)};
  const timeval wait{static_cast<time_t>(delay / 1000),
                     static_cast<suseconds_t>(delay % 1000 * 1000)};
  event_base_once(
      g_base, -1, EV_TIMEOUT,
      [](evutil_socket_t, short, void* data) {
        std::unique_ptr<OneShot> shot(static_cast<OneShot*>(data));
        shot->call();
      },
      shot, &wait);
}
inline void every(Ms period, std::function<void()> call) {
  after(period, [period, call] {
    call();
    every(period, call);
  });
}
inline std::string text_of(const Value& value) {
  rapidjson::StringBuffer buffer;
  rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
  value.Accept(writer);
  return {buffer.GetString(), buffer.GetSize()};
}
inline std::string json_string(const std::string& text) { return "\"" + text + "\""; }
inline bool starts_with(const std::string& text, const std::string& prefix) {
  return text.rfind(prefix, 0) == 0;
}
inline std::string parameter(const std::string& path, const std::string& name) {
  const auto query = path.find('?');
  if (query == std::string::npos) return "";
  std::string rest = "&" + path.substr(query + 1);
  const auto at = rest.find("&" + name + "=");
  if (at == std::string::npos) return "";
  const auto begin = at + name.size() + 2;
  return rest.substr(begin, rest.find('&', begin) - begin);
}
inline int free_port() {
  static int next = 20000 + static_cast<int>(std::random_device{}() % 11000);
  for (;; ++next) {
    const int probe = socket(AF_INET, SOCK_STREAM, 0);
    const sockaddr_in address = eiderreel::net::to_sockaddr("127.0.0.1:" + std::to_string(next));
    const bool bound =
        bind(probe, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
    close(probe);
    if (bound) return next++;
  }
}

// ------------------------------------------------------------------------------------ servers

class Server {
 public:
  using Handler = std::function<void(const HttpRequest&, Done)>;
  explicit Server(Handler handler) : http_(evhttp_new(g_base)), handler_(std::move(handler)) {
    evhttp_set_gencb(http_, &Server::on_request, this);
    port_ = free_port();
    evhttp_bind_socket(http_, "127.0.0.1", static_cast<ev_uint16_t>(port_));
  }
  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

 private:
  static void on_request(evhttp_request* request, void* self) {
    auto* server = static_cast<Server*>(self);
    HttpRequest received;
    switch (evhttp_request_get_command(request)) {
      case EVHTTP_REQ_GET:
        received.method = "GET";
        break;
      case EVHTTP_REQ_DELETE:
        received.method = "DELETE";
        break;
      default:
        received.method = "POST";
    }
    received.path = evhttp_request_get_uri(request);
    received.body = eiderreel::net::take_body(request);
    auto pending = std::make_shared<eiderreel::net::PendingReply>(request);
    server->open_.insert(pending);
    server->handler_(received, [server, pending](HttpReply reply) {
      pending->send(reply.status, reply.body);
      server->open_.erase(pending);
    });
  }
  evhttp* http_;
  Handler handler_;
  std::set<std::shared_ptr<eiderreel::net::PendingReply>> open_;
  int port_ = 0;
};

// How the network between a controller and the state service treats requests.
enum class Link { ok, refuse_503, hold, no_answer };
// What becomes of one commit: carried out and answered; carried out at once or late, unanswered.
enum class Fate { answered, answer_lost, late };

struct StateLimits {
  double rps = 200, write_rps = 50, value_kb = 8;
  int txn_ops = 24;
};

class StateService {
 public:
  explicit StateService(StateLimits limits) : limits_(limits) {
    every(20, [this] { tick(); });
  }
  void serve(const std::string& from, const HttpRequest& request, const Done& done) {
    switch (links_[from]) {
      case Link::refuse_503:
        if (starts_with(request.path, "/follow")) break;
        return done({503, "{\"error\":\"down\"}"});
      case Link::no_answer:
        return;
      case Link::hold:
        held_[from].push_back([this, from, request, done] { serve(from, request, done); });
        return;
      case Link::ok:
        break;
    }
    if (outage && !starts_with(request.path, "/follow")) return done({503, "{\"error\":\"down\"}"});
    const Ms delay = static_cast<Ms>(uniform(1, 6));
    after(delay, [this, from, request, done] { execute(from, request, done); });
  }
  void set_link(const std::string& node, Link link) {
    links_[node] = link;
    say("network %s <-> state service: %s", node.c_str(),
        link == Link::ok          ? "ok"
        : link == Link::hold      ? "held"
        : link == Link::no_answer ? "no answer"
                                  : "503");
    auto held = std::move(held_[node]);
    held_[node].clear();
    for (auto& request : held) request();
  }
  void set_outage(bool on) {
    outage = on;
    say("state service outage: %s", on ? "begins" : "ends");
    if (!on)
      for (auto& [id, lease] : leases_) lease.expires = now() + lease.ttl;
  }
  std::string leader_of(int partition) const {
    const auto row = rows_.find("e/part/" + std::to_string(partition));
    if (row == rows_.end()) return "";
    Document document;
    document.Parse(row->second.v.c_str());
    for (const auto& member : document.GetObject())
      if (member.value.IsString() && nodes.count(member.value.GetString()))
        return member.value.GetString();
    return "";
  }
  std::size_t count(const std::string& prefix) const {
    std::size_t n = 0;
    for (const auto& [key, row] : rows_) n += starts_with(key, prefix);
    return n;
  }
  bool has(const std::string& key) const { return rows_.count(key) > 0; }
  // Chooses the treatment of one commit; for faults of single requests.
  std::function<Fate(const std::string& from, const std::string& body)> fate_of_commit;
  std::set<std::string> nodes;  // names of the controllers
  bool outage = false;

 private:
  struct Row {
    std::string v;
    std::uint64_t stamp = 0, tether = 0;
  };
  struct Change {
    std::uint64_t stamp;
    std::string key, v;
    bool deleted;
  };
  struct Lease {
    Ms ttl, expires;
  };
  struct Watch {
    std::string from, prefix;
    std::uint64_t since;
    Ms until;
    Done done;
  };

  bool take(double& tokens, Ms& at, double rate, double n) {
    tokens = std::min(rate, tokens + static_cast<double>(now() - at) / 1000 * rate);
    at = now();
    if (tokens < n) return false;
    tokens -= n;
    return true;
  }
  void execute(const std::string& from, const HttpRequest& request, const Done& done) {
    const std::string& path = request.path;
    if (!take(request_tokens_, request_at_, limits_.rps, 1)) return done({429, "{}"});
    if (path == "/commit") return commit(from, request.body, done);
    if (path == "/grants") {
      Document document;
      document.Parse(request.body.c_str());
      const Ms ttl = document["life_ms"].GetInt64();
      leases_[++next_lease_] = {ttl, now() + ttl};
      return done({200, "{\"tether\":" + std::to_string(next_lease_) + "}"});
    }
    if (starts_with(path, "/grants/")) {
      const std::uint64_t id = std::stoull(path.substr(8));
      const auto lease = leases_.find(id);
      if (lease == leases_.end()) return done({404, "{}"});
      if (request.method == "DELETE") {
        lease->second.expires = 0;
        tick();
      } else {
        lease->second.expires = now() + lease->second.ttl;
      }
      return done({200, "{\"tether\":" + std::to_string(id) + "}"});
    }
    if (starts_with(path, "/follow?")) return follow(from, path, done);
    if (starts_with(path, "/kv?")) return list(path, done);
    const std::string key = path.substr(4);
    const auto row = rows_.find(key);
    if (row == rows_.end()) return done({404, "{\"ledger\":" + std::to_string(ledger_) + "}"});
    done({200, "{\"key\":" + json_string(key) + ",\"v\":" + row->second.v +
                   ",\"stamp\":" + std::to_string(row->second.stamp) + "}"});
  }
  void commit(const std::string& from, const std::string& body, const Done& done) {
    const Fate fate = fate_of_commit ? fate_of_commit(from, body) : Fate::answered;
    if (fate == Fate::answered) return commit_now(body, done);
    const Ms delay = fate == Fate::late ? static_cast<Ms>(uniform(2000, 12000)) : 0;
    after(delay, [this, body] { commit_late(body); });
  }
  void commit_late(const std::string& body) {
    if (outage) return after(500, [this, body] { commit_late(body); });
    commit_now(body, [](const HttpReply&) {});
  }
  void commit_now(const std::string& body, const Done& done) {
    Document document;
    document.Parse(body.c_str());
    if (document.HasParseError()) return done({400, "{}"});
    const auto writes = document["writes"].GetArray();
    const auto guards = document["guards"].GetArray();
    if (static_cast<int>(writes.Size()) > limits_.txn_ops ||
        static_cast<int>(guards.Size()) > 4 * limits_.txn_ops || body.size() > 65536)
      return done({400, "{\"error\":\"too large\"}"});
    for (const auto& write : writes)
      if (write.HasMember("v") &&
          static_cast<double>(text_of(write["v"]).size()) > limits_.value_kb * 1024)
        return done({400, "{\"error\":\"too large\"}"});
    if (!take(write_tokens_, write_at_, limits_.write_rps, writes.Size())) return done({429, "{}"});
    std::string failed;
    for (const auto& guard : guards) {
      const auto row = rows_.find(guard["key"].GetString());
      if ((row == rows_.end() ? 0 : row->second.stamp) == guard["stamp"].GetUint64()) continue;
      failed += (failed.empty() ? "" : ",") + json_string(guard["key"].GetString());
    }
    for (const auto& write : writes)
      if (write.HasMember("tether") && !leases_.count(write["tether"].GetUint64()))
        return done({400, "{\"error\":\"no such lease\"}"});
    if (!failed.empty())
      return done(
          {409, "{\"failed\":[" + failed + "],\"ledger\":" + std::to_string(ledger_) + "}"});
    if (!writes.Empty()) ++ledger_;
    for (const auto& write : writes) {
      if (write.HasMember("delete")) {
        change(write["delete"].GetString(), nullptr, 0);
        continue;
      }
      const std::string v = text_of(write["v"]);
      change(write["write"].GetString(), &v,
             write.HasMember("tether") ? write["tether"].GetUint64() : 0);
    }
    done({200, "{\"ledger\":" + std::to_string(ledger_) + "}"});
    notify();
  }
  void change(const std::string& key, const std::string* v, std::uint64_t tether) {
    if (!v && !rows_.count(key)) return;
    if (v)
      rows_[key] = {*v, ledger_, tether};
    else
      rows_.erase(key);
    if (starts_with(key, "e/part/") || starts_with(key, "e/final/") ||
        starts_with(key, "e/machine/"))
      say("state %s %s %s", v ? "put" : "delete", key.c_str(), v ? v->c_str() : "");
    changes_.push_back({ledger_, key, v ? *v : "", v == nullptr});
    if (changes_.size() > 10000) changes_.pop_front();
  }
  std::string events_since(const std::string& prefix, std::uint64_t since) const {
    std::string events;
    for (auto change = changes_.rbegin(); change != changes_.rend() && change->stamp > since;
         ++change) {
      if (!starts_with(change->key, prefix)) continue;
      const std::string stamp = ",\"stamp\":" + std::to_string(change->stamp) + "}";
      const std::string event = change->deleted ? "{\"delete\":" + json_string(change->key) + stamp
                                                : "{\"write\":" + json_string(change->key) +
                                                      ",\"v\":" + change->v + stamp;
      events = event + (events.empty() ? "" : ",") + events;
    }
    return events;
  }
  void follow(const std::string& from, const std::string& path, const Done& done) {
    const std::uint64_t since = std::stoull(parameter(path, "since"));
    if (changes_.size() >= 10000 && changes_.front().stamp > since + 1) return done({410, "{}"});
    const std::string wait = parameter(path, "wait_ms");
    watches_.push_back({from, parameter(path, "prefix"), since,
                        now() + (wait.empty() ? 0 : std::stoll(wait)), done});
    notify();
  }
  void notify() {
    for (auto watch = watches_.begin(); watch != watches_.end();) {
      const Link link = links_[watch->from];
      if (outage || link != Link::ok) {
        ++watch;
        continue;
      }
      const std::string events = events_since(watch->prefix, watch->since);
      if (events.empty() && now() < watch->until) {
        ++watch;
        continue;
      }
      const Done done = watch->done;
      watch = watches_.erase(watch);
      done({200, "{\"ledger\":" + std::to_string(ledger_) + ",\"events\":[" + events + "]}"});
    }
  }
  void list(const std::string& path, const Done& done) {
    const std::string prefix = parameter(path, "prefix"), since = parameter(path, "since");
    const std::string page = parameter(path, "page");
    std::size_t left = page.empty() ? 1000 : std::stoul(page);
    std::string rows;
    bool more = false;
    for (auto row = since.empty() ? rows_.lower_bound(prefix) : rows_.upper_bound(since);
         row != rows_.end(); ++row) {
      if (row->first < prefix) continue;
      if (!starts_with(row->first, prefix)) break;
      if (left-- == 0) {
        more = true;
        break;
      }
      rows += (rows.empty() ? "" : ",") + std::string("{\"key\":") + json_string(row->first) +
              ",\"v\":" + row->second.v + ",\"stamp\":" + std::to_string(row->second.stamp) + "}";
    }
    done({200, "{\"rows\":[" + rows + "],\"more\":" + (more ? "true" : "false") +
                   ",\"ledger\":" + std::to_string(ledger_) + "}"});
  }
  void tick() {
    if (outage) return;
    for (auto lease = leases_.begin(); lease != leases_.end();) {
      if (lease->second.expires > now()) {
        ++lease;
        continue;
      }
      const std::uint64_t id = lease->first;
      lease = leases_.erase(lease);
      std::vector<std::string> keys;
      for (const auto& [key, row] : rows_)
        if (row.tether == id) keys.push_back(key);
      if (!keys.empty()) ++ledger_;
      for (const auto& key : keys) change(key, nullptr, 0);
    }
    notify();
  }

  StateLimits limits_;
  std::map<std::string, Row> rows_;
  std::deque<Change> changes_;
  std::map<std::uint64_t, Lease> leases_;
  std::vector<Watch> watches_;
  std::map<std::string, Link> links_;
  std::map<std::string, std::vector<std::function<void()>>> held_;
  std::uint64_t ledger_ = 0, next_lease_ = 0;
  double request_tokens_ = 0, write_tokens_ = 0;
  Ms request_at_ = 0, write_at_ = 0;
};

// --------------------------------------------------------------------------------- deployment

struct Type {
  std::string name;
  double cores, accelerators, mem_gb, price, market_price, ready_s;
};
struct Team {
  std::string name;
  double cpus, cpus_max, gpus = 0, gpus_max = 0;
};
struct Job {  // as its user uploads it
  std::string id, team;
  std::string shape = "sweep", rank = "standard", bundle = "img-1", jobclass = "batch";
  int shards = 1;
  double cores = 1, accelerators = 0, mem_gb = 1, size_gb = 0.01, run_s = 10;
  std::vector<std::string> hulls, awaits;
  std::string berth;
  bool one_zone = false, apart = false, driftwood = false;
  double due_s = 0;
  // what its user knows
  bool accepted = false;
  std::string phase;     // as last told
  Ms cancelled_at = -1;  // when its user was told so
  bool cancel_asked = false;
  std::set<int> done;  // tasks that have completed
  int starts = 0;

  std::string body() const {
    std::string text = "{\"name_id\":" + json_string(id) +
                       ",\"jobclass\":" + json_string(jobclass) + ",\"crew\":" + json_string(team) +
                       ",\"shape\":" + json_string(shape) + ",\"rank\":" + json_string(rank) +
                       ",\"shards\":" + std::to_string(shards);
    char numbers[300];
    std::snprintf(numbers, sizeof numbers,
                  ",\"cores\":%.2f,\"accelerators\":%.2f,\"mem_gb\":%.2f,\"bundle\":\"%s\","
                  "\"size_gb\":%.3f,\"guess_s\":%.3f,\"snapshot_s\":0.0,\"stow_s\":0.0",
                  cores, accelerators, mem_gb, bundle.c_str(), size_gb,
                  shape == "daemon" ? 0.0 : run_s);
    text += numbers;
    if (hulls.empty()) {
      text += ",\"hulls\":null";
    } else {
      text += ",\"hulls\":[";
      for (std::size_t i = 0; i < hulls.size(); ++i) text += (i ? "," : "") + json_string(hulls[i]);
      text += "]";
    }
    text += ",\"berth\":" + (berth.empty() ? "null" : json_string(berth));
    text += std::string(",\"one_zone\":") + (one_zone ? "true" : "false") +
            ",\"apart\":" + (apart ? "true" : "false") +
            ",\"driftwood\":" + (driftwood ? "true" : "false");
    text += ",\"due_s\":" + (due_s > 0 ? std::to_string(due_s) : "null");
    if (!awaits.empty()) {
      text += ",\"awaits\":[";
      for (std::size_t i = 0; i < awaits.size(); ++i)
        text += (i ? "," : "") + json_string(awaits[i]);
      text += "]";
    }
    return text + "}";
  }
};
struct Deployment {
  std::vector<std::string> zones = {"a", "b"};
  std::vector<Type> types;
  std::vector<Team> teams;
  std::string objectives;  // TOML tables
  double report_s = 1, lease_s = 10, cancel_s = 40;
  StateLimits state;
  double cloud_rps = 4, list_lag_s = 2;
  std::map<std::string, int> capacity;  // machines left to rent, by type; those missing: none
  double core_share = 0.2;
  int memory_mb = 72, max_sockets = 2500;
  int nodes = 3;
};

struct Node {
  std::string name, area, api, mesh, config;
  std::string program;  // another build than that of the deploy file, if not empty
  pid_t pid = 0;
  std::unique_ptr<Server> state;  // each controller has its own address of the state service
  std::unique_ptr<eiderreel::net::HttpClient> users;
};

struct Task {
  std::uint64_t attempt = 0;
  std::string phase = "pulling", cause;
  Ms next_at = 0;  // when the image is there, or the task completes
};
using TaskKey = std::pair<std::string, int>;

class World;

struct Worker {
  std::string id, zone;
  Type type;
  bool spot = false;
  bool up = false, gone = false;
  bool mute = false;  // the network between this machine and all others holds everything
  std::unique_ptr<Server> server;
  std::vector<std::unique_ptr<eiderreel::net::HttpClient>> clients;  // by controller
  std::uint64_t tenure = 1, tick = 0, epoch = 0;
  Ms rented_at = 0, lease_from = 0, last_report = -100000, next_report = 0, epoch_told_at = -100000;
  bool in_flight = false, change = false;
  std::uint64_t report_number = 0;
  int node = 0;
  std::map<TaskKey, Task> tasks;
  std::set<std::string> images;
};

class World {
 public:
  Deployment deployment;
  StateService state;
  std::vector<Node> nodes;
  std::map<std::string, std::unique_ptr<Worker>> workers;
  std::map<std::string, Job> jobs;
  std::vector<std::string> violations;
  std::vector<std::string> command;  // of the deploy file
  std::string directory;
  std::map<std::string, int> rented;  // machines rented so far, by type
  int answered = 0;

  World(Deployment d, std::vector<std::string> run_words, std::string dir)
      : deployment(std::move(d)),
        state(deployment.state),
        command(std::move(run_words)),
        directory(std::move(dir)) {
    std::filesystem::create_directories(directory);
    cloud_ = std::make_unique<Server>([this](const HttpRequest& r, Done done) {
      after(static_cast<Ms>(uniform(20, 100)), [this, r, done] { serve_cloud(r, done); });
    });
    for (int i = 0; i < deployment.nodes; ++i) {
      Node node;
      node.name = "reelhost-" + std::to_string(i);
      node.area = deployment.zones[static_cast<std::size_t>(i) % deployment.zones.size()];
      node.api = "127.0.0.1:" + std::to_string(free_port());
      node.mesh = "127.0.0.1:" + std::to_string(free_port());
      node.config = directory + "/" + node.name + ".toml";
      node.state =
          std::make_unique<Server>([this, name = node.name](const HttpRequest& r, Done done) {
            state.serve(name, r, done);
          });
      node.users = std::make_unique<eiderreel::net::HttpClient>(
          g_base, eiderreel::net::parse_address(node.api).value());
      state.nodes.insert(node.name);
      nodes.push_back(std::move(node));
    }
    for (const Node& node : nodes) std::ofstream(node.config) << settings(node);
    every(20, [this] { tick_workers(); });
  }
  ~World() {
    for (Node& node : nodes) kill(node);
  }

  // ------------------------------------------------------------------------------- platform
  void start(Node& node) {
    const pid_t pid = fork();
    if (pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int log =
          open((directory + "/" + node.name + ".log").c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(log, 1);
      dup2(log, 2);
      if (!node.program.empty()) command.front() = node.program;
      std::vector<char*> words;
      for (auto& word : command) words.push_back(word.data());
      words.push_back(node.config.data());
      words.push_back(nullptr);
      execv(words[0], words.data());
      _exit(127);
    }
    node.pid = pid;
    say("platform starts %s", node.name.c_str());
  }
  void kill(Node& node) {
    if (node.pid <= 0) return;
    ::kill(node.pid, SIGKILL);
    waitpid(node.pid, nullptr, 0);
    node.pid = 0;
    if (g_record) say("platform: %s is killed", node.name.c_str());
  }
  // As the platform does it: a killed controller is back about 4 s after its end.
  void crash(Node& node, Ms back_after = 4000) {
    kill(node);
    after(back_after, [this, &node] { start(node); });
  }
  void start_all() {
    for (Node& node : nodes) start(node);
  }
  Node* node_named(const std::string& name) {
    for (Node& node : nodes)
      if (node.name == name) return &node;
    return nullptr;
  }
  void check_processes() {
    for (Node& node : nodes) {
      int status = 0;
      if (node.pid > 0 && waitpid(node.pid, &status, WNOHANG) == node.pid) {
        violate("crash", node.name + " ended by itself, status " + std::to_string(status));
        node.pid = 0;
        after(4000, [this, &node] { start(node); });
      }
    }
  }
  // "A process over the limit gets killed and started again."
  void enforce_memory_limit() {
    if (now() - memory_checked_at_ < 10) return;
    memory_checked_at_ = now();
    for (Node& node : nodes) {
      if (node.pid <= 0) continue;
      const std::size_t kb = rss_kb(node);
      if (kb <= static_cast<std::size_t>(deployment.memory_mb) * 1024) continue;
      say("platform: %s holds %zu kB, its limit is %d MB", node.name.c_str(), kb,
          deployment.memory_mb);
      ++memory_kills;
      crash(node);
    }
  }
  int memory_kills = 0;
  static constexpr std::size_t kMaxLine = 65536;
  int long_lines = 0;              // responses to workers with a line over 64 KiB
  std::size_t longest_report = 0;  // bytes
  static std::size_t longest_line(const std::string& text) {
    std::size_t longest = 0, begin = 0;
    for (std::size_t end = 0; end != std::string::npos; begin = end + 1) {
      end = text.find('\n', begin);
      longest = std::max(longest, (end == std::string::npos ? text.size() : end) - begin);
    }
    return longest;
  }
  std::size_t rss_kb(const Node& node) const {
    std::ifstream file("/proc/" + std::to_string(node.pid) + "/status");
    for (std::string line; std::getline(file, line);)
      if (starts_with(line, "VmRSS:")) return std::stoul(line.substr(6));
    return 0;
  }
  void violate(const std::string& rule, const std::string& what) {
    say("RULE BROKEN %s: %s", rule.c_str(), what.c_str());
    violations.push_back(rule + ": " + what);
  }
  bool broken(const std::string& rule) const {
    return std::any_of(violations.begin(), violations.end(),
                       [&](const auto& text) { return starts_with(text, rule + ":"); });
  }

  // ------------------------------------------------------------------------------- machines
  Worker& add_machine(const std::string& type, const std::string& zone, bool spot, Ms up_in) {
    char name[20];
    std::snprintf(name, sizeof name, "m-%06d", ++machine_number_);
    auto worker = std::make_unique<Worker>();
    worker->id = name;
    worker->zone = zone;
    worker->spot = spot;
    worker->rented_at = now();
    for (const Type& t : deployment.types)
      if (t.name == type) worker->type = t;
    Worker* w = worker.get();
    worker->server = std::make_unique<Server>([this, w](const HttpRequest& r, Done done) {
      if (!w->up || w->gone || w->mute) return;  // a machine that is down or cut off says nothing
      serve_worker(*w, r, done);
    });
    for (const Node& node : nodes)
      worker->clients.push_back(std::make_unique<eiderreel::net::HttpClient>(
          g_base, eiderreel::net::parse_address(node.api).value()));
    after(up_in, [this, w] {
      if (w->gone) return;
      w->up = true;
      w->lease_from = now();
      w->node = static_cast<int>(uniform(0, static_cast<double>(nodes.size())));
      say("machine %s (%s, %s) is up", w->id.c_str(), w->type.name.c_str(), w->zone.c_str());
    });
    Worker& result = *worker;
    workers[name] = std::move(worker);
    return result;
  }

  // ---------------------------------------------------------------------------------- users
  // Like a user behind the load balancer: a node that does not answer is left for another one.
  Node& pick_node() {
    std::vector<Node*> up;
    for (Node& node : nodes)
      if (node.pid > 0) up.push_back(&node);
    if (up.empty()) return nodes.front();
    return *up[static_cast<std::size_t>(uniform(0, static_cast<double>(up.size())))];
  }
  void ask(Node& node, const std::string& method, const std::string& path, const std::string& body,
           Ms timeout, const Done& done) {
    node.users->send({node.api, method, path, body, timeout}, [done](HttpReply r) { done(r); });
  }
  void submit(Job job, std::function<void(int)> then = {}, int only_node = -1) {
    const std::string id = job.id;
    jobs[id] = std::move(job);
    say("user submits %s", jobs[id].body().c_str());
    try_submit(id, now() + 60000, std::move(then), only_node);
  }
  void try_submit(const std::string& id, Ms until, std::function<void(int)> then, int only_node) {
    Node& node = only_node >= 0 ? nodes[static_cast<std::size_t>(only_node)] : pick_node();
    ask(node, "POST", "/v1/jobs", jobs[id].body(), 5000, [=, this, &node](HttpReply r) {
      Job& job = jobs[id];
      if (r.status == 200 || r.status == 201) {
        ++answered;
        say("%s answers the submission of %s: %d %s", node.name.c_str(), id.c_str(), r.status,
            r.body.c_str());
        job.accepted = true;
        if (then) then(r.status);
        return;
      }
      if (r.status == 400 || r.status == 422 || now() > until) {
        say("%s answers the submission of %s: %d %s", node.name.c_str(), id.c_str(), r.status,
            r.body.c_str());
        if (job.accepted && (r.status == 400 || r.status == 422))
          violate("forgotten", id + " resubmitted got " + std::to_string(r.status));
        if (then) then(r.status);
        return;
      }
      after(1000, [=, this] { try_submit(id, until, then, only_node); });
    });
  }
  void poll(const std::string& id, std::function<void(HttpReply)> then = {}, int only_node = -1) {
    Node& node = only_node >= 0 ? nodes[static_cast<std::size_t>(only_node)] : pick_node();
    const bool was_accepted = jobs[id].accepted;
    const std::string known = jobs[id].phase;
    ask(node, "GET", "/v1/jobs/" + id, "", 2000, [=, this, &node](HttpReply r) {
      Job& job = jobs[id];
      if (r.status == 404 && was_accepted) violate("forgotten", id + " got 404 from " + node.name);
      if (r.status == 200) {
        ++answered;
        Document document;
        document.Parse(r.body.c_str());
        const std::string phase = document["phase"].GetString();
        if (phase != job.phase)
          say("%s tells %s: %s", node.name.c_str(), id.c_str(), r.body.c_str());
        if ((known == "done" || known == "cancelled") && phase != known)
          violate("went_back", id + " was " + known + ", " + node.name + " says " + phase);
        if (phase == "cancelled" && !may_be_cancelled(id))
          violate("went_back", id + " is cancelled, its user did not cancel it");
        if (phase == "done" && static_cast<int>(job.done.size()) < job.shards)
          violate("not_done", id + " has " + std::to_string(job.done.size()) + " tasks done");
        if (job.phase != "done" && job.phase != "cancelled") told(job, phase);
      } else {
        say("%s answers the question for %s: %d %s", node.name.c_str(), id.c_str(), r.status,
            r.body.c_str());
      }
      if (then) then(r);
    });
  }
  // Its user, or that of a job that it awaits, has asked to cancel.
  bool may_be_cancelled(const std::string& id) {
    const Job& job = jobs[id];
    return job.cancel_asked ||
           std::any_of(job.awaits.begin(), job.awaits.end(),
                       [this](const auto& other) { return may_be_cancelled(other); });
  }
  void told(Job& job, const std::string& phase) {
    job.phase = phase;
    if (phase == "cancelled" && job.cancelled_at < 0) job.cancelled_at = now();
  }
  void cancel(const std::string& id, std::function<void()> then = {}) {
    Job& job = jobs[id];
    if (!job.cancel_asked) say("user cancels %s", id.c_str());
    job.cancel_asked = true;
    Node& node = pick_node();
    ask(node, "POST", "/v1/jobs/" + id + "/cancel", "", 5000, [=, this, &node](HttpReply r) {
      Job& job = jobs[id];
      if (r.status == 200) {
        Document document;
        document.Parse(r.body.c_str());
        say("%s answers the cancellation of %s: %s", node.name.c_str(), id.c_str(), r.body.c_str());
        told(job, document["phase"].GetString());
        if (then) then();
        return;
      }
      after(1000, [this, id, then] { cancel(id, then); });
    });
  }

  void run_until(
      Ms end, const std::function<bool()>& condition = [] { return false; }) {
    while (now() < end && !condition()) {
      event_base_loop(g_base, EVLOOP_NONBLOCK);
      check_processes();
      enforce_memory_limit();
      usleep(1000);
    }
  }
  bool ready(std::size_t machines) const {
    for (const Node& node : nodes)
      if (!state.has("e/node/" + node.name)) return false;
    for (int p = 0; p < deployment.nodes; ++p)
      if (state.leader_of(p).empty()) return false;
    return state.count("e/machine/") >= machines;
  }
  double used(const std::string& team, bool accelerators) const {
    double sum = 0;
    for (const auto& [id, worker] : workers)
      for (const auto& [key, task] : worker->tasks) {
        const auto job = jobs.find(key.first);
        if (job == jobs.end() || job->second.team != team) continue;
        if (task.phase == "running" || task.phase == "flushing")
          sum += accelerators ? job->second.accelerators : job->second.cores;
      }
    return sum;
  }

 private:
  std::string settings(const Node& own) const {
    std::string t = "node_name = " + json_string(own.name) + "\narea = " + json_string(own.area) +
                    "\napi_addr = " + json_string(own.api) +
                    "\nmesh_addr = " + json_string(own.mesh) + "\n";
    for (const Node& node : nodes)
      if (node.name != own.name)
        t += "[[known]]\nnode_name = " + json_string(node.name) +
             "\narea = " + json_string(node.area) + "\nendpoint = " + json_string(node.mesh) + "\n";
    t += "[outside]\ncloud = " + json_string(cloud_->address()) +
         "\nstate = " + json_string(own.state->address()) + "\n";
    std::string zones;
    for (const auto& zone : deployment.zones)
      zones += (zones.empty() ? "" : ", ") + json_string(zone);
    t += "[params]\nsize = " + std::to_string(deployment.nodes) + "\nzones = [" + zones +
         "]\nskew_ms = 25.0\n";
    char line[400];
    for (const Team& team : deployment.teams) {
      std::snprintf(line, sizeof line,
                    "[[params.teams]]\nname = \"%s\"\ncpus = %.1f\ncpus_max = %.1f\ngpus = "
                    "%.1f\ngpus_max = %.1f\n",
                    team.name.c_str(), team.cpus, team.cpus_max, team.gpus, team.gpus_max);
      t += line;
    }
    t += deployment.objectives;
    std::snprintf(line, sizeof line,
                  "[params.workers]\nreport_s = %.2f\nlease_s = %.2f\ngang_wait_s = 45.0\n"
                  "gang_peer_s = 6.0\ncancel_s = %.2f\n",
                  deployment.report_s, deployment.lease_s, deployment.cancel_s);
    t += line;
    std::snprintf(line, sizeof line,
                  "[params.state]\nrps = %.1f\nwrite_rps = %.1f\nvalue_kb = %.1f\ntxn_ops = %d\n"
                  "[params.cloud]\nrps = %.1f\nlist_lag_s = %.1f\n"
                  "[params.quota]\ncore_share = %.2f\nmemory_mb = %d.0\nmax_sockets = %d\n",
                  deployment.state.rps, deployment.state.write_rps, deployment.state.value_kb,
                  deployment.state.txn_ops, deployment.cloud_rps, deployment.list_lag_s,
                  deployment.core_share, deployment.memory_mb, deployment.max_sockets);
    return t + line;
  }

  // ---------------------------------------------------------------------------------- cloud
  void serve_cloud(const HttpRequest& r, const Done& done) {
    cloud_tokens_ =
        std::min(2 * deployment.cloud_rps, cloud_tokens_ + static_cast<double>(now() - cloud_at_) /
                                                               1000 * deployment.cloud_rps);
    cloud_at_ = now();
    if (cloud_tokens_ < 1) return done({429, "{}"});
    cloud_tokens_ -= 1;
    if (r.path == "/catalog") return done({200, catalog()});
    if (r.path == "/machines" && r.method == "POST") return rent(r.body, done);
    if (r.path == "/machines/return") return take_back(r.body, done);
    if (starts_with(r.path, "/machines")) return list_machines(r.path, done);
    done({400, "{}"});
  }
  std::string catalog() const {
    std::string text;
    for (const Type& t : deployment.types) {
      std::string berths;
      for (const auto& zone : deployment.zones)
        berths += (berths.empty() ? "" : ",") + json_string(zone);
      char line[500];
      std::snprintf(
          line, sizeof line,
          "{\"name\":\"%s\",\"cores\":%.1f,\"accelerators\":%.1f,\"mem_gb\":%.1f,"
          "\"cache_gb\":70.0,\"fetch_gb_per_s\":0.15,\"price\":%.3f,\"market_price\":%.3f,"
          "\"ready_s\":%.1f,\"berths\":[%s]}",
          t.name.c_str(), t.cores, t.accelerators, t.mem_gb, t.price, t.market_price, t.ready_s,
          berths.c_str());
      text += (text.empty() ? "" : ",") + std::string(line);
    }
    return "{\"hulls\":[" + text + "]}";
  }
  void rent(const std::string& body, const Done& done) {
    Document d;
    d.Parse(body.c_str());
    const std::string charter = d["charter"].GetString(), hull = d["hull"].GetString();
    if (const auto known = charters_.find(charter); known != charters_.end())
      return done({200, known->second});
    int& left = deployment.capacity[hull];
    const int count = std::min(left, d["how_many"].GetInt());
    if (count <= 0) {
      say("controllers ask the cloud for %d %s: no capacity", d["how_many"].GetInt(), hull.c_str());
      return done({503, "{\"error\":\"no capacity\"}"});
    }
    left -= count;
    std::string hosts;
    for (int i = 0; i < count; ++i) {
      double ready_s = 15;
      for (const Type& t : deployment.types)
        if (t.name == hull) ready_s = t.ready_s;
      Worker& worker = add_machine(hull, d["berth"].GetString(), d["driftwood"].GetBool(),
                                   static_cast<Ms>(ready_s * uniform(600, 1500)));
      hosts += (hosts.empty() ? "" : ",") + json_string(worker.id);
      ++rented[hull];
    }
    say("controllers rent %d %s in %s%s: %s", count, hull.c_str(), d["berth"].GetString(),
        d["driftwood"].GetBool() ? " (spot)" : "", hosts.c_str());
    charters_[charter] = "{\"hosts\":[" + hosts + "]}";
    done({200, charters_[charter]});
  }
  void take_back(const std::string& body, const Done& done) {
    Document d;
    d.Parse(body.c_str());
    for (const auto& host : d["hosts"].GetArray()) {
      const auto found = workers.find(host.GetString());
      if (found == workers.end() || found->second->gone) continue;
      say("controllers return %s (%s)", host.GetString(), found->second->type.name.c_str());
      found->second->gone = true;
      found->second->up = false;
      found->second->tasks.clear();
      ++deployment.capacity[found->second->type.name];
      const std::string id = found->first;
      after(static_cast<Ms>(deployment.list_lag_s * 1000), [this, id] { unlisted_.insert(id); });
    }
    done({200, "{}"});
  }
  void list_machines(const std::string& path, const Done& done) {
    const std::string since = parameter(path, "since");
    std::size_t left = std::min<std::size_t>(500, std::stoul("0" + parameter(path, "page")));
    std::string hosts;
    bool more = false;
    const Ms lag = static_cast<Ms>(deployment.list_lag_s * 1000);
    for (const auto& [id, worker] : workers) {
      if (id <= since || unlisted_.count(id) || worker->rented_at + lag > now()) continue;
      if (left-- == 0) {
        more = true;
        break;
      }
      char line[300];
      std::snprintf(line, sizeof line,
                    "{\"name_id\":\"%s\",\"endpoint\":\"%s\",\"hull\":\"%s\",\"berth\":\"%s\","
                    "\"driftwood\":%s,\"phase\":\"%s\",\"held_s\":%.1f}",
                    id.c_str(), worker->server->address().c_str(), worker->type.name.c_str(),
                    worker->zone.c_str(), worker->spot ? "true" : "false",
                    worker->up ? "running" : "starting",
                    static_cast<double>(now() - lag - worker->rented_at) / 1000);
      hosts += (hosts.empty() ? "" : ",") + std::string(line);
    }
    done({200, "{\"hosts\":[" + hosts + "],\"more\":" + (more ? "true" : "false") + "}"});
  }

  // -------------------------------------------------------------------------------- workers
  std::string report(Worker& w) {
    ++w.tick;
    std::string shards;
    for (const auto& [key, task] : w.tasks) {
      shards += (shards.empty() ? "" : ",") + std::string("{\"shard\":") +
                json_string(key.first + "/" + std::to_string(key.second)) +
                ",\"try\":" + std::to_string(task.attempt) +
                ",\"phase\":" + json_string(task.phase) +
                (task.phase == "exited" ? ",\"cause\":" + json_string(task.cause) : "") + "}";
    }
    return "{\"host\":" + json_string(w.id) + ",\"endpoint\":" + json_string(w.server->address()) +
           ",\"hull\":" + json_string(w.type.name) + ",\"berth\":" + json_string(w.zone) +
           ",\"driftwood\":" + (w.spot ? "true" : "false") +
           ",\"tenure\":" + std::to_string(w.tenure) + ",\"tick\":" + std::to_string(w.tick) +
           ",\"epoch\":" + std::to_string(w.epoch) + ",\"warning_s\":null,\"shards\":[" + shards +
           "]}";
  }
  void tick_workers() {
    for (auto& [id, worker] : workers) {
      Worker& w = *worker;
      if (!w.up || w.gone) continue;
      run_tasks(w);
      if (static_cast<double>(now() - w.lease_from) > deployment.lease_s * 1000) end_lease(w);
      if (w.mute || w.in_flight) continue;
      const bool due = now() >= w.next_report || (w.change && now() - w.last_report >= 500);
      if (due) send_report(w);
    }
  }
  void end_lease(Worker& w) {
    say("%s: the lease of session %llu is over, %zu tasks end", w.id.c_str(),
        static_cast<unsigned long long>(w.tenure), w.tasks.size());
    w.tasks.clear();
    ++w.tenure;
    w.tick = 0;
    w.lease_from = now();
    w.change = true;
  }
  void send_report(Worker& w) {
    w.change = false;
    w.in_flight = true;
    w.last_report = now();
    w.next_report = now() + static_cast<Ms>(deployment.report_s * uniform(750, 1250));
    const std::uint64_t number = ++w.report_number;
    const std::uint64_t tenure = w.tenure;
    const Ms sent = now();
    const int node = w.node;
    const std::string body = report(w);
    longest_report = std::max(longest_report, body.size());
    w.clients[static_cast<std::size_t>(node)]->send(
        {nodes[static_cast<std::size_t>(node)].api, "POST", "/v1/report", body, 4000},
        [this, &w, number, tenure, sent, node](HttpReply r) {
          if (w.gone || number != w.report_number) return;
          w.in_flight = false;
          if (w.mute) {  // what was under way is lost, and the worker gives up after 4 s
            w.next_report = sent + 5000;
            return;
          }
          if (longest_line(r.body) > kMaxLine) {
            // The worker reads lines of 64 KiB at most: this is no response for it.
            ++long_lines;
            say("%s: %s answers with a line of %zu bytes, over 64 KiB", w.id.c_str(),
                nodes[static_cast<std::size_t>(node)].name.c_str(), longest_line(r.body));
            w.node = (node + 1) % static_cast<int>(nodes.size());
            w.next_report = now() + 1000;
            w.change = false;
            return;
          }
          on_answer(w, r, tenure, sent, node);
        });
  }
  void on_answer(Worker& w, const HttpReply& r, std::uint64_t tenure, Ms sent, int node) {
    Document d;
    d.Parse(r.body.c_str());
    const bool object = !d.HasParseError() && d.IsObject();
    const auto next_node = [&] {
      w.node = (node + 1) % static_cast<int>(nodes.size());
      w.next_report = now() + 1000;
      w.change = false;
    };
    if (r.status == 421) {
      if (object && d.HasMember("upstream") && d["upstream"].IsString())
        for (std::size_t i = 0; i < nodes.size(); ++i)
          if (nodes[i].name == d["upstream"].GetString() && static_cast<int>(i) != node) {
            w.node = static_cast<int>(i);
            w.next_report = now() + static_cast<Ms>(uniform(0, 500));
            return;
          }
      return next_node();
    }
    if (r.status != 200) return next_node();
    if (!object || !d.HasMember("epoch") || d["epoch"].GetUint64() < w.epoch || tenure != w.tenure)
      return;
    see_epoch(w, d["epoch"].GetUint64());
    w.lease_from = sent;
    execute(w, d, "answer of " + nodes[static_cast<std::size_t>(node)].name);
  }
  void see_epoch(Worker& w, std::uint64_t epoch) {
    if (epoch <= w.epoch) return;
    w.epoch = epoch;
    if (static_cast<double>(now() - w.epoch_told_at) < deployment.lease_s * 500) return;
    w.epoch_told_at = now();
    w.change = true;
  }
  void execute(Worker& w, const Document& d, const std::string& from) {
    if (!d.HasMember("orders")) return;
    for (const auto& order : d["orders"].GetArray()) {
      const std::string verb = order["verb"].GetString(), shard = order["shard"].GetString();
      const auto slash = shard.rfind('/');
      const TaskKey key{shard.substr(0, slash), std::stoi(shard.substr(slash + 1))};
      const std::uint64_t attempt = order["try"].GetUint64();
      if (verb != "clear" || w.tasks.count(key))
        say("%s executes %s %s (try %llu, epoch %llu, %s)", w.id.c_str(), verb.c_str(),
            shard.c_str(), static_cast<unsigned long long>(attempt),
            static_cast<unsigned long long>(w.epoch), from.c_str());
      const auto found = w.tasks.find(key);
      if (verb == "launch") {
        launch(w, key, attempt);
      } else if (verb == "kill") {
        if (found != w.tasks.end() && found->second.attempt == attempt &&
            found->second.phase != "exited") {
          found->second.phase = "exited";
          found->second.cause = "stopped";
          w.change = true;
        }
      } else if (found != w.tasks.end() && found->second.attempt == attempt &&
                 found->second.phase == "exited") {
        w.tasks.erase(found);
        w.change = true;
      }
    }
  }
  void launch(Worker& w, const TaskKey& key, std::uint64_t attempt) {
    const auto found = w.tasks.find(key);
    if (found != w.tasks.end() && found->second.attempt == attempt) return;
    w.change = true;
    const bool busy = found != w.tasks.end() && found->second.phase != "exited";
    if (busy) return;  // refused; the attempt that is there stays
    Task task;
    task.attempt = attempt;
    const auto job = jobs.find(key.first);
    if (job == jobs.end()) {
      task.phase = "exited";
      task.cause = "no_such";
      w.tasks[key] = task;
      return;
    }
    double cores = job->second.cores, mem = job->second.mem_gb, acc = job->second.accelerators;
    for (const auto& [other, t] : w.tasks) {
      const auto j = jobs.find(other.first);
      if (t.phase == "exited" || j == jobs.end()) continue;
      cores += j->second.cores;
      mem += j->second.mem_gb;
      acc += j->second.accelerators;
    }
    if (cores > w.type.cores + 1e-6 || mem > w.type.mem_gb + 1e-6 ||
        acc > w.type.accelerators + 1e-6) {
      task.phase = "exited";
      task.cause = "no_room";
      w.tasks[key] = task;
      return;
    }
    const bool cached = w.images.count(job->second.bundle) > 0;
    task.next_at = now() + (cached ? 0 : static_cast<Ms>(job->second.size_gb / 0.15 * 1000));
    w.tasks[key] = task;
  }
  void run_tasks(Worker& w) {
    for (auto& [key, task] : w.tasks) {
      if (task.phase != "pulling" && task.phase != "running") continue;
      Job& job = jobs[key.first];
      if (task.phase == "pulling" && now() >= task.next_at) {
        w.images.insert(job.bundle);
        w.change = true;
        begin(w, key, task, job);
      } else if (task.phase == "running" && job.shape != "daemon" && now() >= task.next_at) {
        task.phase = "exited";
        task.cause = "done";
        job.done.insert(key.second);
        w.change = true;
        say("%s: %s/%d completes", w.id.c_str(), key.first.c_str(), key.second);
      }
    }
    for (auto& [key, task] : w.tasks) {
      Job& job = jobs[key.first];
      if (task.phase == "running" && job.cancelled_at >= 0 &&
          static_cast<double>(now() - job.cancelled_at) > deployment.cancel_s * 1000 &&
          late_.insert(key).second)
        violate("ran_cancelled", key.first + "/" + std::to_string(key.second) + " is on " + w.id);
    }
  }
  void begin(Worker& w, const TaskKey& key, Task& task, Job& job) {
    if (job.done.count(key.second)) {  // the result is kept
      task.phase = "exited";
      task.cause = "done";
      return;
    }
    const std::string name = key.first + "/" + std::to_string(key.second);
    for (const auto& [id, other] : workers) {
      const auto found = other->tasks.find(key);
      if (other.get() != &w && !other->gone && found != other->tasks.end() &&
          found->second.phase == "running")
        violate("ran_twice", name + " starts on " + w.id + " while it is on " + id);
    }
    if ((w.spot && !job.driftwood) || (!job.berth.empty() && job.berth != w.zone) ||
        (!job.hulls.empty() &&
         std::find(job.hulls.begin(), job.hulls.end(), w.type.name) == job.hulls.end()))
      violate("wrong_place", name + " starts on " + w.id);
    for (const auto& id : job.awaits)
      if (static_cast<int>(jobs[id].done.size()) < jobs[id].shards)
        violate("too_early", name + " starts before " + id + " is done");
    task.phase = "running";
    task.next_at = now() + static_cast<Ms>(job.run_s * 1000);
    ++job.starts;
    say("%s: %s is on the machine", w.id.c_str(), name.c_str());
    for (const Team& team : deployment.teams) {
      if (team.name != job.team) continue;
      const double cores = used(team.name, false), accelerators = used(team.name, true);
      if (team.cpus_max > 0 && cores > team.cpus_max + 1e-6)
        violate("quota", team.name + " uses " + std::to_string(cores) + " of " +
                             std::to_string(team.cpus_max) + " CPUs");
      if (team.gpus_max > 0 && accelerators > team.gpus_max + 1e-6)
        violate("quota", team.name + " uses " + std::to_string(accelerators) + " of " +
                             std::to_string(team.gpus_max) + " accelerators");
    }
  }
  void serve_worker(Worker& w, const HttpRequest& r, const Done& done) {
    if (starts_with(r.path, "/inspect")) return done({200, report(w)});
    Document d;
    d.Parse(r.body.c_str());
    if (d.HasParseError() || !d.HasMember("epoch") || !d.HasMember("tenure"))
      return done({400, "{}"});
    if (d["epoch"].GetUint64() < w.epoch || d["tenure"].GetUint64() != w.tenure)
      return done({409, report(w)});
    see_epoch(w, d["epoch"].GetUint64());
    execute(w, d, "direct");
    done({200, report(w)});
  }

  std::unique_ptr<Server> cloud_;
  std::map<std::string, std::string> charters_;
  std::set<std::string> unlisted_;
  std::set<TaskKey> late_;
  int machine_number_ = 0;
  Ms memory_checked_at_ = 0;
  double cloud_tokens_ = 8;
  Ms cloud_at_ = 0;
};

// Exit codes of a case: 0 the rule held, 1 it was broken, 2 the case could not run.
inline bool with_trouble() {
  const char* trouble = std::getenv("TROUBLE");
  return !trouble || std::string(trouble) != "0";
}
// Arguments: the record, a temporary folder, and the words of the deploy file's run command.
struct Setup {
  std::vector<std::string> command;
  std::string directory;
};
inline Setup set_up(int argc, char** argv) {
  if (argc < 4) std::exit(2);
  signal(SIGPIPE, SIG_IGN);
  g_base = event_base_new();
  g_record = std::fopen(argv[1], "w");
  g_start = steady_ms();
  Setup setup;
  setup.directory = argv[2];
  for (int i = 3; i < argc; ++i) setup.command.push_back(argv[i]);
  if (!g_record) std::exit(2);
  say("TROUBLE=%d", with_trouble() ? 1 : 0);
  return setup;
}
inline int finish(World& world, int code, const std::string& why) {
  for (Node& node : world.nodes) world.kill(node);
  say("end: %s -> exit %d", why.c_str(), code);
  std::printf("%s -> exit %d\n", why.c_str(), code);
  std::fflush(nullptr);
  _exit(code);
}

}  // namespace world
