// A simulation of all that the service deals with, written from the published protocol: state
// store, cloud, workers, users and the network between them, in simulated time. The same seed
// gives the same run; nothing here looks at a clock.
#pragma once
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "controller/controller.h"
#include "standin/machine_model.h"
#include "standin/options.h"
#include "standin/rule_checker.h"
#include "standin/simulated_state_store.h"
#include "standin/version_checker.h"

namespace eiderreel::standin {

class SimulatedCluster {
 public:
  using Done = std::function<void(HttpReply)>;
  explicit SimulatedCluster(Options options);
  ~SimulatedCluster();

  // --- a day's script ---
  void at(double time_s, std::function<void()> action);
  void run_until(double time_s);
  double now() const { return now_ / 1000.0; }

  // --- users ---
  JobSpec job(const std::string& id, const std::string& team, std::uint32_t tasks, double cpus = 1,
              double run_s = 5);
  JobSpec service(const std::string& id, const std::string& team, std::uint32_t tasks, double cpus);
  // How long each of its tasks runs, where they differ.
  void set_run_s(const std::string& id, std::vector<double> run_s) { runs_[id] = std::move(run_s); }
  void submit(const JobSpec& spec);
  // Submits it as soon as all jobs that it needs are accepted.
  void submit_chained(const JobSpec& spec);
  void cancel(const std::string& id);
  void cancel_at(int node, const std::string& id);  // asks this node first
  // A submission again, to one node; and one that must not be accepted.
  void repeat(int node, const JobSpec& spec);
  void submit_invalid(int node, const std::string& body);
  std::size_t invalid_rejected(int status) const {  // submissions of that kind, by their answer
    auto it = invalid_answers_.find(status);
    return it == invalid_answers_.end() ? 0 : it->second;
  }
  void poll_once(int node, const std::string& id, std::function<void(int, std::string)> done);
  // What users have last been told; empty: nothing.
  std::string phase(const std::string& id) const;
  // The node that first confirmed a cancellation, and when; -1: none has.
  struct Confirmed {
    int node = -1;
    double at = -1;
  };
  Confirmed confirmed(const std::string& id) const;
  // One raw request to a node, for answers a user would see.
  void raw(int node, const std::string& method, const std::string& path, const std::string& body,
           std::function<void(int, std::string)> done);

  // A request of a controller that is a process of its own, to "state", "cloud" or a worker.
  void serve(const std::string& to, const HttpRequest& request, Done done) {
    arrive("process", to, request, std::move(done));
  }

  // --- faults ---
  void crash(int node, double back_after_s = 4);
  // It is killed and comes back as the new build.
  void upgrade(int node, double back_after_s = 4);
  void downgrade(int node, double back_after_s = 4);  // it comes back as the earlier build
  // It is killed and comes back as a build that knows no later version than this one.
  void install(int node, upgrade::ClusterVersion newest, double back_after_s = 4);
  // From now on these limits are in force at the state store.
  void limit_state(double value_kb, int txn_ops, double write_rps);
  // The process pauses while its clocks run on; then all that came meanwhile is taken in.
  void freeze(int node, double for_s);
  void cut(std::set<std::string> a, std::set<std::string> b, CutMode mode);
  void heal();
  void state_outage(bool on);             // 503 for all
  void state_refuses(int node, bool on);  // 503 for one node
  void late_writes(Delays delays) { state_store_.set_late_writes(delays); }
  // Of direct commands.
  void late_commands(Delays delays) { late_commands_ = delays; }
  void state_slow(double most_s) { state_store_.set_slowest(static_cast<Ms>(most_s * 1000)); }
  void cloud_outage(bool on) { cloud_down_ = on; }
  void kill_machine(const std::string& id);  // stops, with all that is on it
  void take_machine(const std::string& id, double notice_s);
  void freeze_machine(const std::string& id, bool on);
  void set_sick(const std::string& id, bool on);
  // What is sent to it is lost; its own heartbeats arrive.
  void deafen(const std::string& id, bool on);
  // It reaches no controller; what is sent to it arrives, and is answered.
  void mute(const std::string& id, bool on);
  // Every heartbeat arrives again, after a few seconds and after well over a lease, anywhere.
  void duplicate_heartbeats(bool on) { copies_ = on; }
  void set_failing(const std::string& job) { failing_jobs_.insert(job); }
  void no_capacity(bool on) { no_capacity_ = on; }
  void stuck_boots(bool on) { stuck_boots_ = on; }

  // --- what came of it ---
  RuleChecker& checker() { return checker_; }
  const std::vector<std::string>& trace() const { return trace_; }
  Controller* node(int i) { return controllers_[static_cast<std::size_t>(i)].node.get(); }
  int leader_of(int partition) const;
  std::size_t tasks_on(const std::string& job) const;
  std::vector<std::string> machines_of(const std::string& job) const;
  std::size_t machines_up() const;
  std::size_t commits() const { return state_store_.counters().commits; }
  // Requests that were larger than the state store takes.
  std::size_t refused_too_large() const { return state_store_.counters().too_large; }
  const std::string* stored(const std::string& key) const { return state_store_.value(key); }
  void store(const std::string& key, const std::string& value) { state_store_.put(key, value); }
  std::vector<std::string> keys(const std::string& prefix) const {
    return state_store_.keys(prefix);
  }
  const VersionChecker& versions() const { return version_checker_; }
  bool is_up(int node) const { return controllers_[static_cast<std::size_t>(node)].up; }
  std::size_t keys_under(const std::string& prefix) const {
    return state_store_.keys_under(prefix);
  }
  std::size_t refused_over_limit() const { return state_store_.counters().over_limit; }
  std::size_t launches_to(const std::string& machine) const;
  // Heartbeats that a node has answered with 200.
  std::size_t heartbeats_accepted(int node) const;
  // Whether it is up and has a lease, and how often its lease has ended.
  std::uint64_t incarnation_of(const std::string& machine) const {
    return workers_.at(machine)->incarnation;
  }
  // The highest token that it has seen.
  std::uint64_t token_of(const std::string& machine) const { return workers_.at(machine)->epoch; }
  std::size_t held() const { return held_.size(); }  // messages of a cut
  std::size_t copies() const { return copies_sent_; }
  // Lines of the trace that hold this text.
  std::size_t lines(const std::string& text) const;
  // Transactions that were carried out late.
  std::size_t landed_late() const { return state_store_.counters().landed_late; }
  // Transactions that got no answer, whether they landed or met newer ones.
  std::size_t without_answer() const { return state_store_.counters().without_answer; }
  // Direct commands that were held up.
  std::size_t commands_late() const { return commands_late_; }
  // Longest wait of a user for an acceptance, seconds.
  double slowest_acceptance() const { return slowest_acceptance_; }
  const std::set<std::string>& charters() const { return charters_; }
  void note(const std::string& line);
  // From now on no fault is made any more, and every rule holds that waits for that.
  void faults_over();
  static std::string all() { return "*"; }

 private:
  class ControllerRuntime;
  struct ControllerProcess {
    std::string name;
    Settings settings;
    std::unique_ptr<ControllerRuntime> runtime;
    std::unique_ptr<Controller> node;
    std::uint64_t life = 0;
    bool up = false;
    bool old = false;  // runs the build before prerequisites
    Ms frozen_until = 0;
    std::shared_ptr<std::function<void()>> tick;
  };
  using Task = SimulatedTask;
  using TaskKey = SimulatedTaskKey;
  using Worker = SimulatedWorker;

  void schedule(Ms when, std::function<void()> action);
  void deliver(const std::string& from, const std::string& to, std::function<void()> action,
               std::function<void()> reset);
  const CutMode* cut_between(const std::string& a, const std::string& b) const;
  void call(const std::string& from, HttpRequest request, Done done);
  void arrive(const std::string& from, const std::string& to, const HttpRequest& request,
              Done back);
  void arrive_at_node(std::size_t i, const std::string& from, const HttpRequest& request,
                      Done back);
  void serve_cloud(const HttpRequest& request, Done done);
  void list_machines(const std::string& path, const Done& done) const;
  void serve_worker(Worker& worker, const HttpRequest& request, Done done);
  double chance();
  void look_for_room();
  void check_may_act(const Controller& node, const std::string& heartbeat);
  void start_node(std::size_t i);
  void observe_versions();
  void when_awake(std::size_t i, std::function<void()> action);
  void tick_workers();
  void send_heartbeat(Worker& worker);
  void take_answer(Worker& worker, Ms sent, std::uint64_t incarnation, const HttpReply& reply,
                   int node);
  void obey(Worker& worker, const std::string& body);
  void raise_token(Worker& worker, std::uint64_t token);
  void hold_command(Worker& worker, const HttpRequest& request);
  static bool on_machine(const Task& task);
  void kill_task(Worker& worker, const TaskKey& key, Task& task, double grace_s);
  void end_task(Worker& worker, const TaskKey& key, Task& task, const std::string& exit_reason);
  void end_lease(Worker& worker);
  void lose(Worker& worker, const char* why);
  std::string heartbeat_body(Worker& worker);
  Worker& add_worker(const std::string& zone, bool spot, double boot_s);
  void try_submit(const JobSpec& spec, double until);
  void try_cancel(const std::string& id, int n);
  void try_cancel_at(int node, const std::string& id, int n);
  bool must_wait(const std::string& id) const;
  void poll_loop(const std::string& id);
  int pick_node();
  Ms latency();

  Options options_;
  RuleChecker checker_;
  VersionChecker version_checker_;
  Ms now_ = 0;
  std::uint64_t order_ = 0;
  std::map<std::pair<Ms, std::uint64_t>, std::function<void()>> events_;
  std::mt19937_64 random_;
  std::vector<ControllerProcess> controllers_;
  std::vector<std::string> trace_;
  // network
  struct Cut {
    std::set<std::string> a, b;
    CutMode mode;
  };
  struct Held {
    std::string from, to;
    std::function<void()> deliver;
  };
  std::vector<Cut> cuts_;
  std::vector<Held> held_;
  SimulatedStateStore state_store_;
  std::set<std::string> deaf_, mute_;
  Delays late_commands_;
  std::size_t commands_late_ = 0;
  std::map<int, std::size_t> heartbeats_accepted_;
  std::map<std::string, Confirmed> confirmed_;
  bool copies_ = false;
  std::size_t copies_sent_ = 0;
  double slowest_acceptance_ = 0;
  std::map<std::string, std::size_t> launches_;
  // cloud and workers
  std::map<std::string, std::unique_ptr<Worker>> workers_;
  std::map<std::string, std::vector<std::string>> charter_answers_;
  std::set<std::string> charters_;
  bool cloud_down_ = false, no_capacity_ = false, stuck_boots_ = false;
  std::uint64_t next_machine_ = 0;
  // users
  std::map<std::string, JobSpec> specs_;
  std::map<std::string, double> run_s_;
  std::map<std::string, std::vector<double>> runs_;
  std::map<std::string, std::string> last_phases_;
  std::map<std::string, int> asking_;  // questions and cancellations of a job on their way
  std::set<std::string> failing_jobs_;
  std::map<int, std::size_t> invalid_answers_;
  int next_node_ = 0;
};

}  // namespace eiderreel::standin
