// A deterministic simulation of the environment of the controllers, written from the published
// protocol: state store, cloud, workers, users and the network between them. It runs in simulated
// time and reads no real clock, so the same seed gives the same run.
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

  // --- event schedule ---
  void at(double time_s, std::function<void()> action);
  void run_until(double time_s);
  double now() const { return now_ / 1000.0; }

  // --- users ---
  JobSpec job(const std::string& id, const std::string& team, std::uint32_t tasks, double cpus = 1,
              double run_s = 5);
  JobSpec service(const std::string& id, const std::string& team, std::uint32_t tasks, double cpus);
  // Sets the run time of each task of a job, by task index.
  void set_run_s(const std::string& id, std::vector<double> run_s) {
    task_run_s_[id] = std::move(run_s);
  }
  void submit(const JobSpec& spec);
  // Submits the job as soon as all its prerequisites are accepted.
  void submit_after_prerequisites(const JobSpec& spec);
  void cancel(const std::string& id);
  void cancel_at(int node, const std::string& id);  // sends the first attempt to this node
  // Sends a submission again to one node, or an invalid submission that must be rejected.
  void resubmit(int node, const JobSpec& spec);
  void submit_invalid(int node, const std::string& body);
  std::size_t invalid_submissions_with_status(int status) const {  // replies with this status
    auto it = invalid_submission_replies_.find(status);
    return it == invalid_submission_replies_.end() ? 0 : it->second;
  }
  void poll_once(int node, const std::string& id, std::function<void(int, std::string)> done);
  // The phase that was last reported to users; empty if none was.
  std::string phase(const std::string& id) const;
  // The node that first confirmed a cancellation, and the time; both are -1 before that.
  struct CancelConfirmation {
    int node = -1;
    double confirmed_at_s = -1;
  };
  CancelConfirmation cancel_confirmation(const std::string& id) const;
  // Sends one HTTP request of a user to a node; `done` gets the status and the body of the reply.
  void send_request(int node, const std::string& method, const std::string& path,
                    const std::string& body, std::function<void(int, std::string)> done);

  // Serves a request to "state", "cloud" or a worker from a controller that runs as a process of
  // its own.
  void serve(const std::string& to, const HttpRequest& request, Done done) {
    handle_request("process", to, request, std::move(done));
  }

  // --- faults ---
  void crash(int node, double restart_after_s = 4);
  // Crashes the node and restarts it with the newest build.
  void upgrade(int node, double restart_after_s = 4);
  // Crashes the node and restarts it with the last build without prerequisites.
  void downgrade(int node, double restart_after_s = 4);
  // Crashes the node and restarts it with a build whose newest cluster version is `newest`.
  void install_build(int node, upgrade::ClusterVersion newest, double restart_after_s = 4);
  // Makes the state store enforce these limits from now on.
  void set_store_limits(double value_kb, int txn_ops, double write_rps);
  // Pauses the process while its clocks go on. Everything that arrives meanwhile is handled when
  // the pause ends.
  void freeze(int node, double duration_s);
  void partition_network(std::set<std::string> a, std::set<std::string> b,
                         NetworkPartitionMode mode);
  void heal_network();
  void set_store_outage(bool on);                    // 503 for all nodes
  void set_store_unavailable_to(int node, bool on);  // 503 for one node
  // Delays a fraction of the transactions and sends no reply to them.
  void set_commit_delays(DelayModel delays) { state_store_.set_commit_delays(delays); }
  // Delays a fraction of the commands that are sent to workers outside of heartbeat replies.
  void set_command_delays(DelayModel delays) { command_delays_ = delays; }
  void set_max_store_latency(double max_latency_s) {
    state_store_.set_max_latency(static_cast<Ms>(max_latency_s * 1000));
  }
  void set_cloud_outage(bool on) { cloud_outage_ = on; }
  void kill_machine(const std::string& id);  // the machine and its tasks stop
  void reclaim_machine(const std::string& id, double notice_s);
  void freeze_machine(const std::string& id, bool on);
  void set_machine_faulty(const std::string& id, bool on);
  // Messages to the machine are lost; its own heartbeats arrive.
  void block_inbound(const std::string& id, bool on);
  // Requests of the machine are lost; requests to it arrive and are answered.
  void block_outbound_requests(const std::string& id, bool on);
  // Every heartbeat arrives again at some node: 2 seconds later, and 2.5 times the lease later.
  void set_duplicate_heartbeats(bool on) { duplicate_heartbeats_ = on; }
  void set_job_failing(const std::string& job) { failing_jobs_.insert(job); }
  void set_no_cloud_capacity(bool on) { no_cloud_capacity_ = on; }
  void set_machines_stuck_booting(bool on) { machines_stuck_booting_ = on; }

  // --- results ---
  RuleChecker& checker() { return checker_; }
  const std::vector<std::string>& trace() const { return trace_; }
  Controller* node(int i) { return controllers_[static_cast<std::size_t>(i)].node.get(); }
  int leader_of(int partition) const;
  std::size_t tasks_on(const std::string& job) const;
  std::vector<std::string> machines_of(const std::string& job) const;
  std::size_t machines_up() const;
  std::size_t commits() const { return state_store_.counters().commits; }
  // Transactions that exceeded the size limits of the state store.
  std::size_t commits_too_large() const { return state_store_.counters().too_large; }
  const std::string* stored_value(const std::string& key) const { return state_store_.value(key); }
  void put_stored_value(const std::string& key, const std::string& value) {
    state_store_.put(key, value);
  }
  std::vector<std::string> keys(const std::string& prefix) const {
    return state_store_.keys(prefix);
  }
  const VersionChecker& version_checker() const { return version_checker_; }
  bool is_up(int node) const { return controllers_[static_cast<std::size_t>(node)].up; }
  std::size_t count_keys(const std::string& prefix) const {
    return state_store_.count_keys(prefix);
  }
  std::size_t commits_rate_limited() const { return state_store_.counters().rate_limited; }
  std::size_t launches_to(const std::string& machine) const;
  // Heartbeats that the node answered with 200.
  std::size_t heartbeats_accepted(int node) const;
  // 1 plus the number of leases of the worker that have expired.
  std::uint64_t incarnation_of(const std::string& machine) const {
    return workers_.at(machine)->incarnation;
  }
  // The highest fencing token that the worker has seen.
  std::uint64_t fencing_token_of(const std::string& machine) const {
    return workers_.at(machine)->fencing_token;
  }
  std::size_t held_messages() const {
    return held_messages_.size();
  }  // messages held by a network partition
  std::size_t duplicate_heartbeats_sent() const { return duplicate_heartbeats_sent_; }
  // Number of trace lines that contain this text.
  std::size_t count_trace_lines(const std::string& text) const;
  // Transactions that were committed after a delay.
  std::size_t delayed_commits() const { return state_store_.counters().delayed_commits; }
  // Transactions that got no reply, whether they were committed later or failed on a conflict.
  std::size_t commits_without_reply() const { return state_store_.counters().without_reply; }
  // Commands sent outside of heartbeat replies that were delayed.
  std::size_t delayed_commands() const { return delayed_commands_; }
  // Longest time from submission to acceptance, in seconds.
  double max_acceptance_s() const { return max_acceptance_s_; }
  const std::set<std::string>& rental_request_ids() const { return rental_request_ids_; }
  void append_trace(const std::string& line);
  // Enables the rules that apply only after the last injected fault.
  void mark_faults_ended();
  static std::string any_address() { return "*"; }

 private:
  class ControllerRuntime;
  struct ControllerProcess {
    std::string name;
    Settings settings;
    std::unique_ptr<ControllerRuntime> runtime;
    std::unique_ptr<Controller> node;
    std::uint64_t boot_number = 0;
    bool up = false;
    bool old_build = false;  // runs the last build without prerequisites
    Ms frozen_until = 0;
    std::shared_ptr<std::function<void()>> tick;
  };
  using Task = SimulatedTask;
  using TaskKey = SimulatedTaskKey;
  using Worker = SimulatedWorker;

  void schedule(Ms when, std::function<void()> action);
  void deliver(const std::string& from, const std::string& to, std::function<void()> action,
               std::function<void()> reset);
  const NetworkPartitionMode* partition_mode_between(const std::string& a,
                                                     const std::string& b) const;
  void call(const std::string& from, HttpRequest request, Done done);
  void handle_request(const std::string& from, const std::string& to, const HttpRequest& request,
                      Done reply_to_sender);
  void handle_node_request(std::size_t i, const std::string& from, const HttpRequest& request,
                           Done reply_to_sender);
  void serve_cloud(const HttpRequest& request, Done done);
  void list_machines(const std::string& path, const Done& done) const;
  void serve_worker(Worker& worker, const HttpRequest& request, Done done);
  double chance();
  void check_schedulable_jobs();
  void check_lease_of_responder(const Controller& node, const std::string& heartbeat);
  void start_node(std::size_t i);
  void observe_versions();
  void run_when_unfrozen(std::size_t i, std::function<void()> action);
  void tick_workers();
  void send_heartbeat(Worker& worker);
  void handle_heartbeat_reply(Worker& worker, Ms sent, std::uint64_t incarnation,
                              const HttpReply& reply, int node);
  void apply_commands(Worker& worker, const std::string& body);
  void raise_fencing_token(Worker& worker, std::uint64_t token);
  void delay_command(Worker& worker, const HttpRequest& request);
  static bool holds_resources(const Task& task);
  void kill_task(Worker& worker, const TaskKey& key, Task& task, double grace_s);
  void end_task(Worker& worker, const TaskKey& key, Task& task, const std::string& exit_reason);
  void expire_worker_lease(Worker& worker);
  void remove_machine(Worker& worker, const char* why);
  std::string heartbeat_body(Worker& worker);
  Worker& add_worker(const std::string& zone, bool spot, double boot_s);
  void try_submit(const JobSpec& spec, double retry_until_s);
  void try_cancel(const std::string& id, int n);
  void try_cancel_at(int node, const std::string& id, int n);
  bool must_delay_request(const std::string& id) const;
  void poll_loop(const std::string& id);
  int pick_node();
  Ms latency();

  Options options_;
  RuleChecker checker_;
  VersionChecker version_checker_;
  Ms now_ = 0;
  std::uint64_t event_sequence_ = 0;
  std::map<std::pair<Ms, std::uint64_t>, std::function<void()>> events_;
  std::mt19937_64 random_;
  std::vector<ControllerProcess> controllers_;
  std::vector<std::string> trace_;
  // network
  struct NetworkPartition {
    std::set<std::string> a, b;
    NetworkPartitionMode mode;
  };
  struct HeldMessage {
    std::string from, to;
    std::function<void()> deliver;
  };
  std::vector<NetworkPartition> network_partitions_;
  std::vector<HeldMessage> held_messages_;
  SimulatedStateStore state_store_;
  std::set<std::string> inbound_blocked_, outbound_requests_blocked_;
  DelayModel command_delays_;
  std::size_t delayed_commands_ = 0;
  std::map<int, std::size_t> heartbeats_accepted_;
  std::map<std::string, CancelConfirmation> cancel_confirmations_;
  bool duplicate_heartbeats_ = false;
  std::size_t duplicate_heartbeats_sent_ = 0;
  double max_acceptance_s_ = 0;
  std::map<std::string, std::size_t> launch_commands_;
  // cloud and workers
  std::map<std::string, std::unique_ptr<Worker>> workers_;
  std::map<std::string, std::vector<std::string>> rented_machines_;
  std::set<std::string> rental_request_ids_;
  bool cloud_outage_ = false, no_cloud_capacity_ = false, machines_stuck_booting_ = false;
  std::uint64_t next_machine_ = 0;
  // users
  std::map<std::string, JobSpec> specs_;
  std::map<std::string, double> run_s_;
  std::map<std::string, std::vector<double>> task_run_s_;
  std::map<std::string, std::string> reported_phases_;
  std::map<std::string, int> requests_in_flight_;  // polls and cancellations, by job
  std::set<std::string> failing_jobs_;
  std::map<int, std::size_t> invalid_submission_replies_;
  int next_node_ = 0;
};

}  // namespace eiderreel::standin
