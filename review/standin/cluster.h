// Three controllers as processes of their own, their settings files, and the users' requests.
#pragma once
#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#include <fstream>
#include <sstream>

#include "fleet.h"
#include "state.h"

namespace review {

struct TeamSettings {
  std::string name;
  double cpus = 100, cpus_max = 400, gpus = 0, gpus_max = 0;
};

struct Settings {
  std::vector<std::string> zones{"a", "b"};
  std::vector<TeamSettings> teams;
  double report_s = 1, lease_s = 10, cancel_s = 40, list_lag_s = 5;
  State::Limits state;
  double memory_mb = 72;
};

class Cluster {
 public:
  static constexpr std::size_t kNodes = 3;

  Cluster(World& world, Settings settings, std::vector<MachineType> types)
      : world(world),
        settings(std::move(settings)),
        state(world, this->settings.state),
        cloud(world, types, this->settings.zones, this->settings.list_lag_s,
              [this](const std::string& host, const MachineType& type, const std::string& zone,
                     bool spot) {
                this->world.record("machine " + host + " is up (" + type.name +
                                   (spot ? ", spot)" : ")"));
                workers.push_back(
                    std::make_unique<Worker>(this->world, context, host, type, zone, spot));
                return workers.back().get();
              }) {
    const char* folder = std::getenv("REVIEW_TMP");
    const char* run = std::getenv("REVIEW_RUN");
    if (!folder || !run) std::exit(2);
    folder_ = folder;
    std::istringstream words(run);
    for (std::string word; words >> word;) run_.push_back(word);
    context.report_s = this->settings.report_s;
    context.lease_s = this->settings.lease_s;
    for (std::size_t i = 0; i < kNodes; ++i) {
      context.node_names.push_back("n" + std::to_string(i));
      context.node_ports.push_back(free_port());
      mesh_ports_.push_back(free_port());
    }
    for (std::size_t i = 0; i < kNodes; ++i)
      std::ofstream(config(i)) << settings_text(i, state.listen());
  }
  ~Cluster() {
    for (std::size_t i = 0; i < kNodes; ++i)
      if (pids_[i]) kill(i);
  }

  Worker& add_machine(const std::string& host, const MachineType& type, const std::string& zone,
                      bool spot = false) {
    workers.push_back(std::make_unique<Worker>(world, context, host, type, zone, spot));
    cloud.add(workers.back().get());
    return *workers.back();
  }

  // ------------------------------------------------------------------------------ processes

  void start(std::size_t node) {
    const std::string log = folder_ + "/n" + std::to_string(node) + ".log";
    std::vector<char*> words;
    for (auto& word : run_) words.push_back(word.data());
    std::string file = config(node);
    words.push_back(file.data());
    words.push_back(nullptr);
    const pid_t parent = getpid();
    const pid_t pid = fork();
    if (pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (getppid() != parent) _exit(1);
      const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(out, 1);
      dup2(out, 2);
      for (int fd = 3; fd < 1024; ++fd) close(fd);
      execvp(words[0], words.data());
      _exit(127);
    }
    pids_[node] = pid;
    world.record("controller n" + std::to_string(node) + " started");
  }
  void start_all() {
    for (std::size_t i = 0; i < kNodes; ++i) start(i);
  }
  void kill(std::size_t node) {
    if (!pids_[node]) return;
    ::kill(pids_[node], SIGKILL);
    waitpid(pids_[node], nullptr, 0);
    pids_[node] = 0;
    world.record("controller n" + std::to_string(node) + " killed");
  }
  void signal(std::size_t node, int number) { ::kill(pids_[node], number); }
  bool runs(std::size_t node) const { return pids_[node] != 0; }
  /// Controllers that have ended by themselves since the last call.
  std::vector<std::size_t> take_ended() {
    std::vector<std::size_t> ended;
    for (std::size_t i = 0; i < kNodes; ++i) {
      if (!pids_[i] || waitpid(pids_[i], nullptr, WNOHANG) == 0) continue;
      pids_[i] = 0;
      ended.push_back(i);
      world.record("controller n" + std::to_string(i) + " ended by itself");
    }
    return ended;
  }
  /// What the process holds in memory, in MB.
  double memory_mb(std::size_t node) const {
    if (!pids_[node]) return 0;
    std::ifstream file("/proc/" + std::to_string(pids_[node]) + "/statm");
    double total = 0, resident = 0;
    file >> total >> resident;
    return resident * 4096 / 1e6;
  }
  std::string log_of(std::size_t node) const {
    std::ostringstream text;
    text << std::ifstream(folder_ + "/n" + std::to_string(node) + ".log").rdbuf();
    return text.str();
  }

  // ---------------------------------------------------------------------------------- users

  /// Waits until all controllers are ready and all machines get 200 for their reports.
  bool wait_until_ready(double end) {
    std::set<std::string> served;
    context.watcher.answered = [&](Worker& worker, int status, std::size_t) {
      if (status == 200) served.insert(worker.host);
    };
    const auto ready = std::make_shared<std::set<std::size_t>>();
    const auto waiting = std::make_shared<bool>(true);
    world.every(0.3, [=, this] {
      for (std::size_t i = 0; i < kNodes; ++i)
        call(world, context.node_ports[i], "GET", "/ready", "", 1,
             [ready, i](const Answer& answer) {
               if (answer.status == 200) ready->insert(i);
             });
      return *waiting;
    });
    const bool all = world.run_until(
        end, [&] { return ready->size() == kNodes && served.size() == workers.size(); });
    *waiting = false;
    context.watcher.answered = [](Worker&, int, std::size_t) {};
    world.record(all ? "all controllers are ready, all machines are served"
                     : "the cluster did not become ready");
    return all;
  }

  /// Submits a job until it is accepted or refused for good, as the protocol has users do.
  void submit(const std::string& id, const std::string& body, std::size_t node,
              std::function<void(int status)> done, double began = -1) {
    if (began < 0) began = world.now();
    call(world, context.node_ports[node], "POST", "/v1/jobs", body, 5,
         [=, this](const Answer& answer) {
           world.record("POST /v1/jobs " + id + " at n" + std::to_string(node) + " -> " +
                        std::to_string(answer.status) + " " + answer.body.substr(0, 120));
           if (answer.status == 200 || answer.status == 201 || answer.status == 400 ||
               answer.status == 422)
             return done(answer.status);
           if (world.now() - began > 60) return done(0);
           world.after(1, [=, this] { submit(id, body, (node + 1) % kNodes, done, began); });
         });
  }
  /// One question; status 0 if there is no answer within 2 s.
  void poll(const std::string& id, std::size_t node, std::function<void(Answer)> done) {
    call(world, context.node_ports[node], "GET", "/v1/jobs/" + id, "", 2,
         [=, this](const Answer& answer) {
           world.record("GET /v1/jobs/" + id + " at n" + std::to_string(node) + " -> " +
                        std::to_string(answer.status) + " " + answer.body.substr(0, 120));
           done(answer);
         });
  }

  World& world;
  Settings settings;
  State state;
  Cloud cloud;
  WorkerContext context;
  std::vector<std::unique_ptr<Worker>> workers;

 private:
  std::string config(std::size_t node) const {
    return folder_ + "/n" + std::to_string(node) + ".toml";
  }
  std::string settings_text(std::size_t node, const std::string& state_address) const {
    std::string text = format(
        "node_name = \"n%zu\"\narea = \"%s\"\napi_addr = \"127.0.0.1:%d\"\nmesh_addr = "
        "\"127.0.0.1:%d\"\n",
        node, settings.zones[node % settings.zones.size()].c_str(), context.node_ports[node],
        mesh_ports_[node]);
    for (std::size_t i = 0; i < kNodes; ++i)
      if (i != node)
        text += format(
            "\n[[known]]\nnode_name = \"n%zu\"\narea = \"%s\"\nendpoint = \"127.0.0.1:%d\"\n", i,
            settings.zones[i % settings.zones.size()].c_str(), mesh_ports_[i]);
    text += "\n[outside]\ncloud = \"" + cloud.address() + "\"\nstate = \"" + state_address + "\"\n";
    std::string zones;
    for (const auto& zone : settings.zones) zones += (zones.empty() ? "\"" : ", \"") + zone + "\"";
    text += "\n[params]\nsize = 3\nzones = [" + zones + "]\nskew_ms = 25.0\n";
    for (const TeamSettings& team : settings.teams)
      text += format(
          "\n[[params.teams]]\nname = \"%s\"\ncpus = %.1f\ncpus_max = %.1f\ngpus = %.1f\ngpus_max "
          "= %.1f\n",
          team.name.c_str(), team.cpus, team.cpus_max, team.gpus, team.gpus_max);
    text += format(
        "\n[params.workers]\nreport_s = %.2f\nlease_s = %.2f\ngang_wait_s = 45.0\ngang_peer_s = "
        "6.0\n"
        "cancel_s = %.2f\n\n[params.state]\nrps = %.1f\nwrite_rps = %.1f\nvalue_kb = %.1f\ntxn_ops "
        "= %u\n"
        "\n[params.cloud]\nrps = 4.0\nlist_lag_s = %.1f\n"
        "\n[params.quota]\ncore_share = 0.2\nmemory_mb = %.1f\nmax_sockets = 600\n",
        settings.report_s, settings.lease_s, settings.cancel_s, settings.state.rps,
        settings.state.write_rps, settings.state.value_kb, settings.state.txn_ops,
        settings.list_lag_s, settings.memory_mb);
    return text;
  }

  std::string folder_;
  std::vector<std::string> run_;
  std::vector<int> mesh_ports_;
  pid_t pids_[kNodes] = {};
};

/// The body of a submission. `more` are further fields, with a comma before each.
struct JobBody {
  std::string id, jobclass = "batch", team, shape = "sweep", rank = "standard";
  unsigned shards = 1;
  double cores = 1, accelerators = 0, mem_gb = 1, guess_s = 10, size_gb = 0.5;
  std::string bundle = "img-01", hulls = "null", due_s = "null", awaits;
  bool driftwood = false;
  std::string text() const {
    std::string body = format(
        "{\"name_id\":\"%s\",\"jobclass\":\"%s\",\"crew\":\"%s\",\"shape\":\"%s\",\"rank\":\"%s\","
        "\"shards\":%u,\"cores\":%g,\"accelerators\":%g,\"mem_gb\":%g,\"bundle\":\"%s\","
        "\"size_gb\":%g,\"hulls\":%s,\"berth\":null,\"one_zone\":false,\"apart\":false,"
        "\"driftwood\":%s,\"guess_s\":%.10g,\"snapshot_s\":0.0,\"stow_s\":0.0,\"due_s\":%s",
        id.c_str(), jobclass.c_str(), team.c_str(), shape.c_str(), rank.c_str(), shards, cores,
        accelerators, mem_gb, bundle.c_str(), size_gb, hulls.c_str(), driftwood ? "true" : "false",
        guess_s, due_s.c_str());
    if (!awaits.empty()) body += ",\"awaits\":[" + awaits + "]";
    return body + "}";
  }
  /// What the workers know of it; a sweep's tasks run for `run_s`.
  JobInfo info(double run_s) const {
    return {id, team, cores, accelerators, mem_gb, 0, 0, shape == "daemon" ? 0 : run_s};
  }
};

/// Whether the case is to run with its disruption.
inline bool trouble() {
  const char* text = std::getenv("TROUBLE");
  return !text || std::string(text) != "0";
}

}  // namespace review
