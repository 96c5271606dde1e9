#include "standin/world.h"

#include <rapidjson/document.h>
#include <spdlog/sinks/base_sink.h>
#include <spdlog/spdlog.h>

#include <cstdio>

#include "standin/old_build.h"
#include "standin/text.h"

namespace eiderreel::standin {
namespace {

using rapidjson::Document;

constexpr Ms kStep = 50;                   // ms; pace of the workers
constexpr double kCpus = 8, kMemory = 64;  // of a machine
constexpr double kFetch = 1.0;             // GB a second
constexpr std::size_t kPageMost = 500;     // machines in one answer of the cloud

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
    s.parts = o_.nodes;
    s.zones = {"a", "b"};
    s.teams = o_.teams;
    s.report_s = o_.report_s;
    s.lease_s = o_.lease_s;
    s.cancel_s = o_.cancel_s;
    s.state_rps = o_.state_rps;
    s.state_write_rps = std::min(o_.state_write_rps, o_.next_write_rps.value_or(1e9));
    s.state_value_kb = std::min(o_.value_kb, o_.next_value_kb.value_or(1e9));
    s.state_txn_ops = std::min(o_.txn_ops, o_.next_txn_ops.value_or(1 << 20));
    p.old = o_.old_nodes.count(i) > 0;
    procs_.push_back(std::move(p));
  }
  for (int i = 0; i < o_.machines; ++i) add_worker(i % 2 ? "b" : "a", false, 0);
  for (std::size_t i = 0; i < procs_.size(); ++i)
    schedule(static_cast<Ms>(10 + 10 * i), [this, i] { start_node(i); });
  schedule(kStep, [this] { tick_workers(); });
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
        if (to == "state") return state_service_.serve(from, r, std::move(back));
        if (to == "cloud") return serve_cloud(r, std::move(back));
        for (std::size_t i = 0; i < procs_.size(); ++i)
          if (procs_[i].name == to)
            return when_awake(i, [this, i, from, r, back] {
              Proc& p = procs_[i];
              if (!p.up) return back({});
              sink()->node = p.name;
              p.node->request(r.method, r.path, p.old ? as_old_build_reads(r.body) : r.body,
                              [this, i, from, r, back](int status, std::string body) {
                                for (auto at = body.find("\"launch\""); at != std::string::npos;
                                     at = body.find("\"launch\"", at + 1))
                                  ++launches_[from];
                                if (r.path == "/v1/report" && status == 200) {
                                  ++reports_taken_[static_cast<int>(i)];
                                  check_entitled(*procs_[i].node, r.body);
                                }
                                back({status, body});
                              });
            });
        for (auto& [id, w] : workers_)
          if (w->addr == to) {
            if (r.path == "/commands" && late_commands_.share > 0 &&
                chance() < late_commands_.share)
              return hold_command(*w, r);
            return serve_worker(*w, r, std::move(back));
          }
      },
      reset);
}

// Held up on its way: it is carried out once, late, and nobody hears of it.
void World::hold_command(Worker& w, const HttpRequest& r) {
  ++commands_late_;
  schedule(now_ + late_commands_.delay(chance()),
           [this, &w, r] { serve_worker(w, r, [](HttpReply) {}); });
}

// Invariant 6: a report is answered with 200 only by an owner whose lease is alive, or who has the
// promises of all peers.
void World::check_entitled(const Controller& node, const std::string& report) {
  Document d;
  d.Parse(report.c_str());
  const std::string machine = d["host"].GetString();
  for (const auto& [part, core] : node.owner().parts())
    if (core->has_machine(machine) && !node.owner().acting(part))
      checker_.answered_without_lease(now(), node.settings().node + " answers " + machine);
}

// ------------------------------------------------------------------------------- nodes

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
  procs_[static_cast<std::size_t>(node)].old = false;
  crash(node, back_after_s);
}

void World::downgrade(int node, double back_after_s) {
  procs_[static_cast<std::size_t>(node)].old = true;
  crash(node, back_after_s);
}

void World::limit_state(double value_kb, int txn_ops, double write_rps) {
  note("state service has lower limits");
  state_service_.set_limits(value_kb, txn_ops, write_rps);
}

int World::owner_of(int part) const {
  const std::string* record = state_service_.value("e/part/" + std::to_string(part));
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

// -------------------------------------------------------------------------------- cloud

World::Worker& World::add_worker(const std::string& zone, bool spot, double boot_s) {
  auto w = std::make_unique<Worker>();
  char id[16];
  std::snprintf(id, sizeof id, "m-%06llu", static_cast<unsigned long long>(next_machine_++));
  w->id = id;
  w->addr = std::string("w-") + id;
  w->zone = zone;
  w->spot = spot;
  w->rented_at = now();
  w->up_at = stuck_boots_ ? 1e9 : now() + boot_s;
  w->node = static_cast<int>(next_machine_ % static_cast<std::uint64_t>(o_.nodes));
  return *(workers_[id] = std::move(w));
}

void World::serve_cloud(const HttpRequest& r, Done done) {
  if (cloud_down_) return done({503, error_text("trouble")});
  if (r.path == "/catalog")
    return done({200,
                 "{\"hulls\":[{\"name\":\"box\",\"cores\":8.0,\"accelerators\":0,\"mem_gb\":64.0,"
                 "\"cache_gb\":50.0,\"fetch_gb_per_s\":1.0,\"price\":1.0,\"market_price\":0.4,"
                 "\"ready_s\":6.0,\"berths\":[\"a\",\"b\"]}]}"});
  if (r.path == "/machines") {
    Document d;
    d.Parse(r.body.c_str());
    const std::string charter = d["charter"].GetString();
    const std::string zone = d["berth"].GetString();
    const bool spot = d["driftwood"].GetBool();
    auto known = charter_answers_.find(charter);
    if (known == charter_answers_.end()) {
      charters_.insert(charter);
      int here = 0;
      for (const auto& [id, w] : workers_)
        if (w->zone == zone && w->spot == spot && !w->gone) ++here;
      const int base = spot ? 0 : (o_.machines + 1) / 2;
      int room = no_capacity_ ? 0 : base + o_.capacity - here;
      if (room <= 0) return done({503, error_text("no capacity")});
      std::vector<std::string> ids;
      for (int n = d["how_many"].GetInt(); n > 0 && room > 0; --n, --room)
        ids.push_back(add_worker(zone, spot, o_.boot_s).id);
      known = charter_answers_.emplace(charter, ids).first;
    }
    std::string ids;
    for (const auto& id : known->second) ids += (ids.empty() ? "\"" : ",\"") + id + "\"";
    return done({200, "{\"hosts\":[" + ids + "]}"});
  }
  if (r.path == "/machines/return") {
    Document d;
    d.Parse(r.body.c_str());
    for (const auto& id : d["hosts"].GetArray())
      if (auto it = workers_.find(id.GetString()); it != workers_.end() && !it->second->gone)
        lose(*it->second, "returned");
    return done({200, "{}"});
  }
  list_machines(r.path, done);
}

// A page of the machines, in the order of their names.
void World::list_machines(const std::string& path, const Done& done) const {
  const std::string since = query_parameter(path, "since");
  const std::string page = query_parameter(path, "page");
  std::size_t room = page.empty() ? kPageMost : std::min(kPageMost, std::stoul(page));
  std::string rows;
  bool more = false;
  for (auto it = workers_.upper_bound(since); it != workers_.end(); ++it) {
    const Worker& w = *it->second;
    if (w.gone) continue;
    if (room-- == 0) {
      more = true;
      break;
    }
    const char* phase = w.stopped ? "failed" : w.up ? "running" : "starting";
    rows += (rows.empty() ? "" : ",") +
            ("{\"name_id\":\"" + w.id + "\",\"endpoint\":\"" + w.addr +
             "\",\"hull\":\"box\",\"berth\":\"" + w.zone +
             "\",\"driftwood\":" + (w.spot ? "true" : "false") + ",\"phase\":\"" + phase +
             "\",\"held_s\":" + std::to_string(now() - w.rented_at) + "}");
  }
  done({200, "{\"hosts\":[" + rows + "],\"more\":" + (more ? "true" : "false") + "}"});
}

// ------------------------------------------------------------------------------ workers

// From the moment at which it has its image until it ends, also while it saves.
bool World::on_machine(const Task& t) { return t.phase == "running" || t.phase == "flushing"; }

void World::lose(Worker& w, const char* why) {
  note(w.id + " is " + why);
  for (auto& [key, t] : w.tasks)
    if (on_machine(t)) checker_.task_off(w.id, key.first, key.second);
  w.tasks.clear();
  w.gone = true;
  w.up = false;
}

void World::kill_machine(const std::string& id) {
  Worker& w = *workers_.at(id);
  lose(w, "dead");
  w.gone = false;  // listed for a while
  w.stopped = true;
}

void World::take_machine(const std::string& id, double notice_s) {
  Worker& w = *workers_.at(id);
  w.taken_at = now() + notice_s;
  w.changed = true;
  if (notice_s <= 0) lose(w, "taken");
}

void World::freeze_machine(const std::string& id, bool on) {
  note(id + (on ? " hangs" : " goes on"));
  Worker& w = *workers_.at(id);
  w.frozen = on;
  if (on) return;
  // Beyond its lease it has killed all it had before it reads what came meanwhile.
  if (w.up && now_ - w.lease_from > static_cast<Ms>(o_.lease_s * 1000)) end_lease(w);
  for (auto& read : std::exchange(w.unread, {})) read();
}

void World::mute(const std::string& id, bool on) {
  note(id + (on ? " reaches no controller" : " reaches controllers again"));
  if (on)
    mute_.insert(workers_.at(id)->addr);
  else
    mute_.erase(workers_.at(id)->addr);
}

void World::deafen(const std::string& id, bool on) {
  note(id + (on ? " does not hear" : " hears again"));
  if (on)
    deaf_.insert(workers_.at(id)->addr);
  else
    deaf_.erase(workers_.at(id)->addr);
}

std::size_t World::reports_taken(int node) const {
  auto it = reports_taken_.find(node);
  return it == reports_taken_.end() ? 0 : it->second;
}

std::size_t World::launches_to(const std::string& machine) const {
  auto it = launches_.find(workers_.at(machine)->addr);
  return it == launches_.end() ? 0 : it->second;
}

void World::set_sick(const std::string& id, bool on) { workers_.at(id)->sick = on; }

void World::end_task(Worker& w, const TaskKey& key, Task& t, const std::string& exit_reason) {
  if (on_machine(t)) checker_.task_off(w.id, key.first, key.second);
  t.phase = "exited";
  t.exit_reason = exit_reason;
  w.changed = true;
}

// A running task with checkpoints saves first if it is given the time, unless told again without
// any.
void World::kill_task(Worker& w, const TaskKey& key, Task& t, double grace_s) {
  const JobSpec& s = specs_[key.first];
  if (t.phase == "exited") return;
  const bool enough = s.checkpoint_s > 0 && grace_s > 0 && grace_s >= s.save_s;
  if (enough && t.phase == "flushing") return;
  if (!enough || t.phase != "running") return end_task(w, key, t, "stopped");
  note(w.id + " saves " + key.first + "/" + std::to_string(key.second));
  t.phase = "flushing";
  t.left_s = s.save_s;
  w.changed = true;
}

void World::end_lease(Worker& w) {
  if (!w.tasks.empty()) note(w.id + " lease over");
  for (auto& [key, t] : w.tasks)
    if (on_machine(t)) checker_.task_off(w.id, key.first, key.second);
  w.tasks.clear();
  ++w.tenure;
  w.lease_from = now_;
  w.changed = true;
}

void World::troubles_over() { checker_.troubles_over(now()); }

// Which jobs wait though a machine of any part has room for their next task.
void World::look_for_room() {
  schedule(now_ + 1000, [this] { look_for_room(); });
  std::map<std::string, double> team_cpus;
  std::map<std::string, std::size_t> begun;
  for (const auto& [id, w] : workers_)
    for (const auto& [key, t] : w->tasks) {
      if (t.phase != "exited") team_cpus[specs_[key.first].team] += specs_[key.first].cpus;
      ++begun[key.first];
    }
  for (const auto& [id, s] : specs_) {
    const std::string told = phase(id);
    bool could = false;
    double most = 0;
    for (const auto& team : o_.teams)
      if (team.name == s.team) most = team.cpus_max;
    if ((told == "queued" || told == "running") && !failing_jobs_.count(id) && begun[id] == 0 &&
        team_cpus[s.team] + s.cpus <= most)
      for (const auto& [name, w] : workers_) {
        if (!w->up || w->frozen || w->sick || w->taken_at >= 0 || (w->spot && !s.spot) ||
            (!s.zone.empty() && s.zone != w->zone))
          continue;
        double used = 0;
        for (const auto& [key, t] : w->tasks)
          if (t.phase != "exited") used += specs_[key.first].cpus;
        could |= used + s.cpus <= kCpus + 1e-9;
      }
    checker_.could_run(now(), id, could);
  }
}

void World::tick_workers() {
  schedule(now_ + kStep, [this] { tick_workers(); });
  state_service_.end_leases();
  checker_.look(now());
  for (auto& [id, pw] : workers_) {
    Worker& w = *pw;
    if (!w.up && !w.gone && !w.stopped && now() >= w.up_at) {
      w.up = true;
      w.lease_from = now_;
      w.next_report = now_ + static_cast<Ms>(random_() % 500);
    }
    if (!w.up) continue;
    // A hanging machine may go on within its lease; after it, its tasks are gone.
    if (w.frozen) {
      if (now_ - w.lease_from > static_cast<Ms>(o_.lease_s * 1000) && !w.tasks.empty())
        end_lease(w);
      continue;
    }
    if (w.taken_at >= 0 && now() >= w.taken_at) {
      lose(w, "taken");
      continue;
    }
    if (now_ - w.lease_from > static_cast<Ms>(o_.lease_s * 1000)) end_lease(w);
    for (auto& [key, t] : w.tasks) {
      if (t.phase == "exited") continue;
      t.left_s -= kStep / 1000.0;
      if (t.left_s > 0) continue;
      const JobSpec& s = specs_[key.first];
      if (t.phase == "pulling") {
        w.images.insert(s.image);
        t.phase = "running";
        t.left_s = w.sick || failing_jobs_.count(key.first) ? 0.3
                   : s.kind == Kind::service                ? 1e9
                   : runs_.count(key.first)                 ? runs_[key.first].at(key.second)
                                                            : run_s_[key.first];
        note(w.id + " runs " + key.first + "/" + std::to_string(key.second));
        checker_.task_on(now(), {w.id, "box", w.zone, w.spot}, key.first, key.second);
        w.changed = true;
      } else if (t.phase == "flushing") {
        end_task(w, key, t, "stopped");
      } else {
        const bool bad = w.sick || failing_jobs_.count(key.first) > 0;
        if (!bad) checker_.task_done(now(), key.first, key.second);
        end_task(w, key, t, bad ? "error" : "done");
      }
    }
    if (w.in_flight) continue;
    if (now_ >= w.next_report || (w.changed && now_ - w.last_sent >= 500)) send_report(w);
  }
}

std::string World::report_body(Worker& w) {
  ++w.tick;
  std::string tasks;
  for (const auto& [key, t] : w.tasks) {
    tasks += (tasks.empty() ? "" : ",") +
             ("{\"shard\":\"" + key.first + "/" + std::to_string(key.second) +
              "\",\"try\":" + std::to_string(t.attempt) + ",\"phase\":\"" + t.phase + "\"" +
              (t.exit_reason.empty() ? "" : ",\"cause\":\"" + t.exit_reason + "\"") + "}");
  }
  const std::string notice =
      w.taken_at >= 0 ? std::to_string(std::max(0.0, w.taken_at - now())) : "null";
  return "{\"host\":\"" + w.id + "\",\"endpoint\":\"" + w.addr +
         "\",\"hull\":\"box\",\"berth\":\"" + w.zone +
         "\",\"driftwood\":" + (w.spot ? "true" : "false") +
         ",\"tenure\":" + std::to_string(w.tenure) + ",\"tick\":" + std::to_string(w.tick) +
         ",\"epoch\":" + std::to_string(w.epoch) + ",\"warning_s\":" + notice + ",\"shards\":[" +
         tasks + "]}";
}

void World::send_report(Worker& w) {
  w.in_flight = true;
  w.changed = false;
  w.last_sent = now_;
  const double jitter = 0.75 + 0.5 * static_cast<double>(random_() % 1000) / 1000.0;
  w.next_report = now_ + static_cast<Ms>(o_.report_s * 1000 * jitter);
  const std::uint64_t tenure = w.tenure, flight = ++w.flight;
  const int node = w.node;
  const Ms sent = now_;
  const std::string id = w.id;
  const std::string body = report_body(w);
  if (copies_)
    for (const double late_s : {2.0, o_.lease_s * 2.5})
      schedule(now_ + static_cast<Ms>(late_s * 1000), [this, body] {
        ++copies_sent_;
        call("copy", {"n" + std::to_string(pick_node()), "POST", "/v1/report", body, 4000},
             [](HttpReply) {});
      });
  call(w.addr, {"n" + std::to_string(node), "POST", "/v1/report", body, 4000},
       [this, id, sent, tenure, node, flight](HttpReply r) {
         Worker& worker = *workers_.at(id);
         if (worker.gone || worker.stopped || worker.flight != flight) return;
         worker.in_flight = false;
         take_answer(worker, sent, tenure, r, node);
       });
}

void World::take_answer(Worker& w, Ms sent, std::uint64_t tenure, const HttpReply& r, int node) {
  if (w.frozen) return;
  if (r.status == 421 && r.body.find("upstream") != std::string::npos) {
    Document d;
    d.Parse(r.body.c_str());
    const int to = std::atoi(d["upstream"].GetString() + 1);
    if (to != node) {
      w.node = to;
      w.next_report = now_ + 100;
      return;
    }
  }
  if (r.status != 200) {
    w.node = (node + 1) % o_.nodes;
    w.next_report = now_ + 1000;
    return;
  }
  Document d;
  d.Parse(r.body.c_str());
  if (tenure != w.tenure || d["epoch"].GetUint64() < w.epoch) return;
  w.lease_from = sent;
  raise_token(w, d["epoch"].GetUint64());
  obey(w, r.body);
}

// A higher token is a change to be reported at once, but only once within half a lease.
void World::raise_token(Worker& w, std::uint64_t token) {
  if (token <= w.epoch) return;
  w.epoch = token;
  if (now_ - w.token_change_at < static_cast<Ms>(o_.lease_s * 500)) return;
  w.token_change_at = now_;
  w.changed = true;
}

void World::obey(Worker& w, const std::string& body) {
  Document d;
  d.Parse(body.c_str());
  for (const auto& o : d["orders"].GetArray()) {
    const std::string verb = o["verb"].GetString(), name = o["shard"].GetString();
    const auto slash = name.rfind('/');
    const TaskKey key{name.substr(0, slash),
                      static_cast<std::uint32_t>(std::stoul(name.substr(slash + 1)))};
    const std::uint64_t attempt = o["try"].GetUint64();
    auto it = w.tasks.find(key);
    if (verb == "launch") {
      if (it != w.tasks.end() && it->second.attempt == attempt) continue;
      w.changed = true;
      const JobSpec& s = specs_[key.first];
      double used = 0;
      for (const auto& [k, t] : w.tasks)
        if (t.phase != "exited") used += specs_[k.first].cpus;
      if (it != w.tasks.end() && it->second.phase != "exited") {
        note(w.id + " refuses " + name + " busy");
        continue;
      }
      const bool room = used + s.cpus <= kCpus + 1e-9;
      if (!room) note(w.id + " refuses " + name + " no_room");
      const bool cached = w.images.count(s.image) > 0;
      w.tasks[key] = room ? Task{attempt, "pulling", "", cached ? 0.0 : s.image_gb / kFetch}
                          : Task{attempt, "exited", "no_room", 0};
    } else if (it == w.tasks.end() || it->second.attempt != attempt) {
      continue;
    } else if (verb == "kill") {
      kill_task(w, key, it->second, o["mercy_s"].GetDouble());
    } else if (it->second.phase == "exited") {
      w.tasks.erase(it);
      w.changed = true;
    }
  }
}

void World::serve_worker(Worker& w, const HttpRequest& r, Done done) {
  if (w.up && w.frozen) {
    w.unread.push_back([this, &w, r, done] { serve_worker(w, r, done); });
    return;
  }
  if (!w.up) return;
  if (r.path == "/inspect") return done({200, report_body(w)});
  Document d;
  d.Parse(r.body.c_str());
  if (d["epoch"].GetUint64() < w.epoch || d["tenure"].GetUint64() != w.tenure)
    return done({409, report_body(w)});
  raise_token(w, d["epoch"].GetUint64());
  obey(w, r.body);
  done({200, report_body(w)});
}

std::size_t World::tasks_on(const std::string& job) const {
  std::size_t n = 0;
  for (const auto& [id, w] : workers_)
    for (const auto& [key, t] : w->tasks) n += key.first == job && t.phase == "running";
  return n;
}

std::vector<std::string> World::machines_of(const std::string& job) const {
  std::vector<std::string> out;
  for (const auto& [id, w] : workers_)
    for (const auto& [key, t] : w->tasks)
      if (key.first == job && t.phase == "running") out.push_back(id);
  return out;
}

std::size_t World::machines_up() const {
  std::size_t n = 0;
  for (const auto& [id, w] : workers_) n += w->up && !w->gone;
  return n;
}

// -------------------------------------------------------------------------------- users

JobSpec World::job(const std::string& id, const std::string& team, std::uint32_t tasks, double cpus,
                   double run_s) {
  JobSpec s;
  s.id = id;
  s.jobclass = "test";
  s.team = team;
  s.tasks = tasks;
  s.cpus = cpus;
  s.memory_gb = 1;
  s.image = "img";
  s.image_gb = 0.5;
  s.spot = true;
  s.estimate_s = run_s;
  s.deadline_s = run_s + 60;
  run_s_[id] = run_s;
  return s;
}

JobSpec World::service(const std::string& id, const std::string& team, std::uint32_t tasks,
                       double cpus) {
  JobSpec s = job(id, team, tasks, cpus);
  s.kind = Kind::service;
  s.priority = Priority::production;
  s.spot = false;
  return s;
}

int World::pick_node() {
  next_node_ = (next_node_ + 1) % o_.nodes;
  return next_node_;
}

void World::raw(int node, const std::string& method, const std::string& path,
                const std::string& body, std::function<void(int, std::string)> done) {
  call("user", {"n" + std::to_string(node), method, path, body, 5000},
       [done = std::move(done)](HttpReply r) { done(r.status, r.body); });
}

void World::submit(const JobSpec& spec) {
  specs_[spec.id] = spec;
  checker_.submitted(spec);
  try_submit(spec, now() + 60);
}

void World::submit_chained(const JobSpec& spec) {
  const bool accepted = std::all_of(spec.prerequisites.begin(), spec.prerequisites.end(),
                                    [&](const std::string& id) { return !phase(id).empty(); });
  if (accepted) return submit(spec);
  at(now() + 0.05, [this, spec] { submit_chained(spec); });
}

void World::repeat(int node, const JobSpec& spec) {
  raw(node, "POST", "/v1/jobs", submission_text(spec),
      [this, id = spec.id](int status, const std::string& body) {
        checker_.submit_answer(now(), id, status);
        if (status != 200 && status != 201) return;
        Document d;
        d.Parse(body.c_str());
        checker_.told(now(), id, d["phase"].GetString());
      });
}

void World::submit_odd(int node, const std::string& body) {
  raw(node, "POST", "/v1/jobs", body, [this, body](int status, const std::string&) {
    ++odd_[status];
    checker_.odd_answer(now(), body, status);
  });
}

void World::try_submit(const JobSpec& spec, double until) {
  raw(pick_node(), "POST", "/v1/jobs", submission_text(spec),
      [this, spec, until, began = now()](int status, const std::string&) {
        checker_.submit_answer(now(), spec.id, status);
        if (status == 200 || status == 201) {
          note("user " + spec.id + " accepted");
          slowest_acceptance_ = std::max(slowest_acceptance_, now() - began);
          told_[spec.id] = "queued";
          return poll_loop(spec.id);
        }
        if (status == 400 || status == 422) return note("user " + spec.id + " refused");
        if (now() < until) at(now() + 1, [this, spec, until] { try_submit(spec, until); });
      });
}

void World::poll_once(int node, const std::string& id, std::function<void(int, std::string)> done) {
  raw(node, "GET", "/v1/jobs/" + id, "", [this, id, done](int status, const std::string& body) {
    std::string phase;
    if (status == 200) {
      Document d;
      d.Parse(body.c_str());
      phase = d["phase"].GetString();
    }
    checker_.asked(now(), id, status == 200 || status == 404);
    if (status == 200 || status == 404) checker_.told(now(), id, phase);
    if (status == 200 && told_[id] != phase) {
      note("user " + id + " " + phase);
      told_[id] = phase;
    }
    done(status, phase);
  });
}

void World::poll_loop(const std::string& id) {
  at(now() + 2, [this, id] {
    poll_once(pick_node(), id, [this, id](int, const std::string& phase) {
      if (phase != "done" && phase != "cancelled") poll_loop(id);
    });
  });
}

void World::cancel(const std::string& id) {
  checker_.cancel_asked(id);
  try_cancel(id, 60);
}

World::Confirmed World::confirmed(const std::string& id) const {
  auto it = confirmed_.find(id);
  return it == confirmed_.end() ? Confirmed{} : it->second;
}

void World::cancel_at(int node, const std::string& id) {
  checker_.cancel_asked(id);
  try_cancel_at(node, id, 60);
}

void World::try_cancel(const std::string& id, int n) { try_cancel_at(pick_node(), id, n); }

void World::try_cancel_at(int node, const std::string& id, int n) {
  raw(node, "POST", "/v1/jobs/" + id + "/cancel", "",
      [this, id, n, node](int status, const std::string& body) {
        if (status == 200) {
          Document d;
          d.Parse(body.c_str());
          checker_.told(now(), id, d["phase"].GetString());
          note("user " + id + " cancel says " + d["phase"].GetString());
          confirmed_.try_emplace(id, Confirmed{node, now()});
          told_[id] = d["phase"].GetString();
        } else if (n > 0) {
          at(now() + 1, [this, id, n] { try_cancel(id, n - 1); });
        }
      });
}

std::string World::phase(const std::string& id) const {
  auto it = told_.find(id);
  return it == told_.end() ? "" : it->second;
}

}  // namespace eiderreel::standin
