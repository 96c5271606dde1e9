#include "standin/simulated_cluster.h"

#include <rapidjson/document.h>
#include <spdlog/sinks/base_sink.h>
#include <spdlog/spdlog.h>

#include <cstdio>

#include "standin/machine_model.h"
#include "standin/old_build.h"
#include "standin/text.h"

namespace eiderreel::standin {
namespace {

using rapidjson::Document;

// Log lines of the nodes become lines of the trace.
class TraceSink : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
 public:
  World* world = nullptr;
  std::string node;

 protected:
  void sink_it_(const spdlog::details::log_msg& m) override {
    if (world) world->note(node + " " + std::string(m.payload.data(), m.payload.size()));
  }
  void flush_() override {}
};

std::shared_ptr<TraceSink> sink() {
  static auto s = [] {
    auto made = std::make_shared<TraceSink>();
    spdlog::set_default_logger(std::make_shared<spdlog::logger>("test", made));
    return made;
  }();
  return s;
}

}  // namespace

// One process's view of the world; it dies with the process, and what is late finds it gone.
class World::NodeRuntime : public Runtime {
 public:
  NodeRuntime(World& w, std::size_t index, std::uint64_t life)
      : w_(w), index_(index), life_(life), random_(w.o_.seed * 1000 + life * 10 + index) {}

  // Each steady clock runs a little fast, each at its own rate.
  Ms now() const override {
    return static_cast<Ms>(static_cast<double>(w_.now_) *
                           (1 + 0.0002 * static_cast<double>(index_)));
  }
  Ms wall() const override { return w_.now_ + 1000000; }
  double random() override { return std::uniform_real_distribution<double>(0, 1)(random_); }
  std::string boot_id() const override { return "b" + std::to_string(life_); }
  void after(Ms delay, std::function<void()> f) override {
    w_.schedule(w_.now_ + std::max<Ms>(delay, 1), guarded(std::move(f)));
  }
  void http(HttpRequest r, std::function<void(HttpReply)> done) override {
    const bool old = w_.procs_[index_].old;
    if (old) r.body = as_old_build_writes(r.body);
    w_.call(name(), std::move(r),
            [this, old, alive = alive_, done = std::move(done)](HttpReply reply) {
              if (!*alive) return;
              if (old) reply.body = as_old_build_reads(reply.body);
              w_.when_awake(index_, [this, alive, done, reply] {
                if (!*alive) return;
                sink()->node = name();
                done(reply);
              });
            });
  }
  void send(const std::string& node, const std::string& sent) override {
    World* w = &w_;
    const std::string bytes = w_.procs_[index_].old ? as_old_build_sends(sent) : sent;
    w_.deliver(
        name(), node,
        [w, node, bytes] {
          for (std::size_t i = 0; i < w->procs_.size(); ++i)
            if (w->procs_[i].name == node)
              w->when_awake(i, [w, i, bytes] {
                Proc& p = w->procs_[i];
                if (!p.up) return;
                sink()->node = p.name;
                p.node->frame(bytes);
              });
        },
        [] {});
  }
  const std::string& name() const { return w_.procs_[index_].name; }
  std::function<void()> guarded(std::function<void()> f) {
    return [this, alive = alive_, f = std::move(f)] {
      if (!*alive) return;
      w_.when_awake(index_, [this, alive, f] {
        if (!*alive) return;
        sink()->node = name();
        f();
      });
    };
  }
  void die() { *alive_ = false; }

 private:
  World& w_;
  std::size_t index_;
  std::uint64_t life_;
  std::mt19937_64 random_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

World::World(Options o)
    : o_(o),
      checker_(o.teams, o.cancel_s),
      version_checker_([this](const std::string& what) { checker_.version_rule(now(), what); }),
      random_(o.seed),
      state_service_({[this] { return now_; },
                      [this](Ms t, std::function<void()> f) { schedule(t, std::move(f)); },
                      [this] { return chance(); }},
                     {o.state_write_rps, o.limits, o.changes_kept, o.value_kb, o.txn_ops}) {
  sink()->world = this;
  for (int i = 0; i < o_.nodes; ++i) {
    Proc p;
    p.name = "n" + std::to_string(i);
    Settings& s = p.settings;
    s.node = p.name;
    s.zone = i % 2 ? "b" : "a";
    s.api_addr = p.name;
    for (int k = 0; k < o_.nodes; ++k)
      if (k != i) s.peers.push_back({"n" + std::to_string(k), "a", "n" + std::to_string(k)});
    s.cloud_addr = "cloud";
    s.state_addr = "state";
    s.partition_count = o_.nodes;
    s.zones = {"a", "b"};
    s.teams = o_.teams;
    s.heartbeat_interval_s = o_.heartbeat_interval_s;
    s.lease_s = o_.lease_s;
    s.cancel_s = o_.cancel_s;
    s.state_rps = o_.state_rps;
    s.state_write_rps = std::min(o_.state_write_rps, o_.next_write_rps.value_or(1e9));
    s.state_value_kb = std::min(o_.value_kb, o_.next_value_kb.value_or(1e9));
    s.state_txn_ops = std::min(o_.txn_ops, o_.next_txn_ops.value_or(1 << 20));
    p.old = o_.old_nodes.count(i) > 0;
    if (o_.upgrades && !p.old) s.upgrade = *o_.upgrades;
    procs_.push_back(std::move(p));
  }
  if (o_.upgrades) observe_versions();
  for (int i = 0; i < o_.machines; ++i) add_worker(i % 2 ? "b" : "a", false, 0);
  for (std::size_t i = 0; i < procs_.size() && !o_.processes; ++i)
    schedule(static_cast<Ms>(10 + 10 * i), [this, i] { start_node(i); });
  schedule(kWorkerStep, [this] { tick_workers(); });
  schedule(1000, [this] { look_for_room(); });
}

World::~World() {
  for (auto& p : procs_)
    if (p.runtime) p.runtime->die();
  sink()->world = nullptr;
}

void World::note(const std::string& line) {
  char head[32];
  std::snprintf(head, sizeof head, "%8.3f ", now());
  trace_.push_back(head + line);
}

// --------------------------------------------------------------------- time and network

void World::schedule(Ms t, std::function<void()> f) {
  events_[{std::max(t, now_), ++order_}] = std::move(f);
}

void World::at(double t, std::function<void()> f) {
  schedule(static_cast<Ms>(t * 1000), std::move(f));
}

void World::run_until(double t) {
  const Ms end = static_cast<Ms>(t * 1000);
  while (!events_.empty() && events_.begin()->first.first <= end) {
    auto it = events_.begin();
    now_ = it->first.first;
    auto f = std::move(it->second);
    events_.erase(it);
    f();
  }
  now_ = end;
}

Ms World::latency() {
  return 1 + static_cast<Ms>(random_() % static_cast<std::uint64_t>(o_.latency_ms));
}

std::size_t World::lines(const std::string& text) const {
  return static_cast<std::size_t>(
      std::count_if(trace_.begin(), trace_.end(),
                    [&](const std::string& line) { return line.find(text) != std::string::npos; }));
}

const CutMode* World::cut_between(const std::string& a, const std::string& b) const {
  auto in = [](const std::set<std::string>& s, const std::string& n) {
    return s.count("*") > 0 || s.count(n) > 0;
  };
  for (const auto& c : cuts_)
    if ((in(c.a, a) && in(c.b, b)) || (in(c.a, b) && in(c.b, a))) return &c.mode;
  return nullptr;
}

void World::deliver(const std::string& from, const std::string& to, std::function<void()> f,
                    std::function<void()> reset) {
  if (deaf_.count(to) > 0) return;
  const CutMode* cut = cut_between(from, to);
  if (!cut) return schedule(now_ + latency(), std::move(f));
  if (*cut == CutMode::hold) return held_.push_back({from, to, std::move(f)});
  schedule(now_ + 1, std::move(reset));
}

void World::cut(std::set<std::string> a, std::set<std::string> b, CutMode mode) {
  note("world cut");
  cuts_.push_back({std::move(a), std::move(b), mode});
}

// What was held now arrives, in order, however late.
void World::heal() {
  note("world healed");
  cuts_.clear();
  auto held = std::move(held_);
  held_.clear();
  for (auto& h : held) schedule(now_ + latency(), std::move(h.f));
}

void World::call(const std::string& from, HttpRequest r, Done done) {
  auto finished = std::make_shared<bool>(false);
  auto finish = [finished, done = std::move(done)](HttpReply reply) {
    if (*finished) return;
    *finished = true;
    done(std::move(reply));
  };
  schedule(now_ + r.timeout, [finish] { finish({}); });
  const std::string to = r.addr;
  if (mute_.count(from) > 0) return;
  auto reset = [finish] { finish({}); };
  deliver(
      from, to,
      [this, from, to, r, finish, reset] {
        Done back = [this, from, to, finish, reset](HttpReply reply) {
          deliver(
              to, from, [finish, reply] { finish(reply); }, reset);
        };
        arrive(from, to, r, std::move(back));
      },
      reset);
}

void World::arrive(const std::string& from, const std::string& to, const HttpRequest& r,
                   Done back) {
  if (to == "state") return state_service_.serve(from, r, std::move(back));
  if (to == "cloud") return serve_cloud(r, std::move(back));
  for (std::size_t i = 0; i < procs_.size(); ++i)
    if (procs_[i].name == to) return arrive_at_node(i, from, r, std::move(back));
  for (auto& [id, w] : workers_)
    if (w->addr == to) {
      if (r.path == "/commands" && late_commands_.share > 0 && chance() < late_commands_.share)
        return hold_command(*w, r);
      return serve_worker(*w, r, std::move(back));
    }
}

void World::arrive_at_node(std::size_t i, const std::string& from, const HttpRequest& r,
                           Done back) {
  if (o_.processes) return o_.processes(static_cast<int>(i), r, std::move(back));
  when_awake(i, [this, i, from, r, back] {
    Proc& p = procs_[i];
    if (!p.up) return back({});
    sink()->node = p.name;
    p.node->request(r.method, r.path, p.old ? as_old_build_reads(r.body) : r.body,
                    [this, i, from, r, back](int status, std::string body) {
                      for (auto at = body.find("\"launch\""); at != std::string::npos;
                           at = body.find("\"launch\"", at + 1))
                        ++launches_[from];
                      if (r.path == "/v1/report" && status == 200) {
                        ++heartbeats_accepted_[static_cast<int>(i)];
                        check_may_act(*procs_[i].node, r.body);
                      }
                      back({status, body});
                    });
  });
}

// Held up on its way: it is carried out once, late, and nobody hears of it.
void World::hold_command(Worker& w, const HttpRequest& r) {
  ++commands_late_;
  schedule(now_ + late_commands_.delay(chance()),
           [this, &w, r] { serve_worker(w, r, [](HttpReply) {}); });
}

// Invariant 6: a heartbeat is answered with 200 only by an leader whose lease is alive, or who has
// the votes of all peers.
void World::check_may_act(const Controller& node, const std::string& heartbeat) {
  Document d;
  d.Parse(heartbeat.c_str());
  const std::string machine = d["host"].GetString();
  for (const auto& [partition, core] : node.partition_leader().partitions())
    if (core->has_machine(machine) && !node.partition_leader().acting(partition))
      checker_.answered_without_lease(now(), node.settings().node + " answers " + machine);
}

// ------------------------------------------------------------------------------- nodes

void World::observe_versions() {
  auto rows = [this](const std::string& key) { return state_service_.value(key); };
  state_service_.set_observer({[this, rows](const std::string& key, const std::string& value) {
                                 version_checker_.written(key, value, rows);
                               },
                               [this, rows] { version_checker_.look(rows); }});
}

void World::start_node(std::size_t i) {
  Proc& p = procs_[i];
  ++p.life;
  p.runtime = std::make_unique<NodeRuntime>(*this, i, p.life);
  p.node = std::make_unique<Controller>(*p.runtime, p.settings);
  p.up = true;
  sink()->node = p.name;
  note(p.name + " starts");
  p.node->start();
  auto tick = p.tick = std::make_shared<std::function<void()>>();
  *tick = p.runtime->guarded([this, i, weak = std::weak_ptr(tick)] {
    procs_[i].node->tick();
    if (auto self = weak.lock()) schedule(now_ + constants::kTickMs, [self] { (*self)(); });
  });
  schedule(now_ + constants::kTickMs, [tick] { (*tick)(); });
}

void World::when_awake(std::size_t i, std::function<void()> f) {
  if (now_ >= procs_[i].frozen_until) return f();
  schedule(procs_[i].frozen_until, std::move(f));
}

void World::freeze(int node, double for_s) {
  Proc& p = procs_[static_cast<std::size_t>(node)];
  note(p.name + " stands still");
  p.frozen_until = now_ + static_cast<Ms>(for_s * 1000);
}

void World::crash(int node, double back_after_s) {
  const auto i = static_cast<std::size_t>(node);
  Proc& p = procs_[i];
  if (!p.up) return;
  note(p.name + " crashes");
  p.up = false;
  p.runtime->die();
  p.node.reset();
  p.runtime.reset();
  schedule(now_ + static_cast<Ms>(back_after_s * 1000), [this, i] { start_node(i); });
}

void World::upgrade(int node, double back_after_s) {
  install(node, upgrade::kNewestVersion, back_after_s);
}

void World::downgrade(int node, double back_after_s) {
  Proc& p = procs_[static_cast<std::size_t>(node)];
  crash(node, back_after_s);
  p.old = true;
  p.settings.upgrade = {};
}

void World::install(int node, upgrade::ClusterVersion newest, double back_after_s) {
  Proc& p = procs_[static_cast<std::size_t>(node)];
  crash(node, back_after_s);
  p.old = false;
  if (!o_.upgrades) return;
  p.settings.upgrade = *o_.upgrades;
  p.settings.upgrade.range.newest = newest;
}

void World::limit_state(double value_kb, int txn_ops, double write_rps) {
  note("state service has lower limits");
  state_service_.set_limits(value_kb, txn_ops, write_rps);
}

int World::leader_of(int partition) const {
  const std::string* record = state_service_.value("e/part/" + std::to_string(partition));
  if (!record) return -1;
  Document d;
  d.Parse(record->c_str());
  return std::atoi(d["owner"].GetString() + 1);
}

void World::state_outage(bool on) {
  note(on ? "state outage" : "state is back");
  state_service_.set_outage(on);
}

void World::state_refuses(int node, bool on) {
  const std::string name = "n" + std::to_string(node);
  note("state " + std::string(on ? "refuses " : "serves ") + name);
  state_service_.set_refused(name, on);
}

double World::chance() { return static_cast<double>(random_() % 100000) / 100000; }

}  // namespace eiderreel::standin
