// One partition as its leader sees it: the jobs of its teams, its machines, and what runs where.
// Pure: no I/O and no clock. Every call takes the time; what is to be done comes back as values.
//
// Safety: a task is bound to at most one machine, and leaves it only with proof that it is gone.
#pragma once
#include <array>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

#include "model/heartbeat.h"
#include "model/job.h"
#include "model/load.h"
#include "model/machine.h"
#include "model/team.h"

namespace eiderreel {

struct SchedulingPolicy {
  Ms lease_ms = 10000;
  Ms heartbeat_interval_ms = 1000;
  std::map<std::string, std::vector<CompletionObjective>> completion_objectives;  // by class
  std::map<std::string, double> start_objectives_s;  // seconds to a start, by class
  Ms fair_share_start_ms = 5000;  // work within a fair share should start by then

  // The time in which every machine sends a heartbeat; an interval is a quarter longer at most.
  Ms heartbeat_round_ms() const { return heartbeat_interval_ms * 5 / 4; }
};

enum class HeartbeatVerdict {
  ok,     // answer with `orders`
  stale,  // an older message, or one above our fencing token: answer 503, learn nothing
};

struct HeartbeatReply {
  HeartbeatVerdict verdict = HeartbeatVerdict::ok;
  std::uint64_t fencing_token = 0;
  std::vector<Command> commands;
};

class PartitionScheduler {
 public:
  PartitionScheduler(int index, std::uint64_t fencing_token, Ms claimed_at, SchedulingPolicy limits,
                     std::vector<Team> teams);

  // --- machines ---
  // `fresh`: assigned after our claim, so nobody else can have tasks on it.
  void add_machine(const std::string& id, std::uint64_t revision, bool fresh, Ms now);
  void remove_machine(const std::string& id);  // with proof that all on it is gone
  bool has_machine(const std::string& id) const { return machines_.count(id) > 0; }
  std::uint64_t fencing_token_of(const std::string& id) const;
  void set_types(const std::vector<MachineType>& types);
  // Marks an idle machine as on its way out; false when it is not idle.
  bool begin_transfer(const std::string& id);
  void end_transfer(const std::string& id);
  bool idle(const std::string& id) const;
  // Idle machines of one kind, the longest idle first, of up to so many CPUs together. `rested`:
  // only those that have held nothing for so long that they may go back.
  std::vector<std::string> idle_machines(bool spot, double cpus, bool rested, Ms now) const;

  // Lets machines of about so many CPUs run empty: for a few seconds they take no new work.
  // `drain`: also such with services, which are moved to other machines one by one.
  void cordon(double cpus, bool drain, Ms now);

  // --- jobs ---
  // Invariant 11: only a job whose prerequisites are all done is opened here.
  // `age`: how long ago it was free to start. `waited`: how long before that it was accepted; its
  // deadline counts from then. `done`: indexes recorded as done. `older`: it was free to start
  // before our claim, so its tasks may run on any machine we have not heard of yet.
  void open_job(const JobSpec& spec, std::uint64_t revision, bool predates_claim,
                const std::vector<std::uint32_t>& done, Ms age = 0, Ms waited = 0);
  // What the jobs that wait for this one ask of it: at least this priority, and to be over by then.
  void set_urgency(const std::string& id, Priority priority, std::optional<Ms> finish_by);
  bool has_job(const std::string& id) const { return jobs_.count(id) > 0; }
  std::optional<JobStatus> status(const std::string& id) const;
  std::uint64_t job_revision(const std::string& id) const;
  void begin_finalizing(const std::string& id);  // a final commit is on its way: start nothing
  bool is_finalizing(const std::string& id) const;
  void cancel_job(const std::string& id);  // its user has cancelled it: its tasks are killed
  void close_job(
      const std::string& id);  // final: what still runs is killed as it is seen in a heartbeat
  // Tasks that ended well and are not recorded yet; `mark_recorded` allows their `clear`.
  std::vector<std::uint32_t> unrecorded(const std::string& id) const;
  void mark_recorded(const std::string& id, const std::vector<std::uint32_t>& tasks);
  std::vector<std::string> jobs_to_record() const;  // also the complete and held, not final yet
  // Of `count` tasks from `first` on, those that are done.
  std::vector<std::uint32_t> done_tasks(const std::string& id, std::uint32_t first,
                                        std::uint32_t count) const;
  bool is_complete(const std::string& id) const;
  std::uint32_t task_count(const std::string& id) const;

  // --- events ---
  // Takes in a heartbeat. The answer has the kills and clears; starts come from `place`.
  HeartbeatReply on_heartbeat(const Heartbeat& r, Ms now);
  // Starts for this machine alone, to be put into the answer to its newest heartbeat.
  std::vector<Command> place_tasks(const std::string& machine, Ms now);
  // An answer with status 200 was handed to the network now.
  void heartbeat_answered(const std::string& machine, Ms now);
  // Declares machines silent beyond their lease as gone; returns their names.
  std::vector<std::string> tick(Ms now);
  // The cloud's 200 on return, or a failed machine: all on it is gone.
  void machine_terminated(const std::string& id, Ms now);

  // Whether a heartbeat of this machine may wait for work, and how long.
  Ms defer_ms(const std::string& machine) const;
  bool has_waiting();
  // The machines of a list in the order in which they should be asked to take work: those with
  // services first, then the fullest, so that others run empty and can be given away.
  std::vector<std::string> fullest_first(std::vector<std::string> machines) const;
  // Tasks to kill by /commands: (machine address, incarnation, fencing token, orders).
  struct KillBatch {
    std::string machine, addr;
    std::uint64_t incarnation, fencing_token;
    std::vector<Command> commands;
  };
  std::vector<KillBatch> take_kills();
  void retry_kills(const std::string& machine);  // nothing tells that it has heard of its kills
  PartitionLoad load(Ms now) const;
  int index() const { return index_; }
  std::uint64_t fencing_token() const { return fencing_token_; }
  std::vector<std::string> machine_names() const;
  std::size_t job_count() const { return jobs_.size(); }
  struct TaskCounts {
    std::size_t jobs_queued = 0, jobs_running = 0, queued = 0, bound = 0, running = 0, done = 0;
  };
  TaskCounts task_counts() const;
  // Jobs and machines looked at for heartbeats since the start.
  std::uint64_t steps() const { return steps_; }
  std::size_t images_known() const { return image_numbers_.size(); }
  std::uint64_t take_preemptions() { return std::exchange(preemptions_, 0); }

 private:
  enum class TaskState : std::uint8_t { queued, bound, done, recorded };
  struct Job;
  struct Machine;
  struct BoundTask {
    Job* job = nullptr;  // null: an orphan, to be killed
    std::uint64_t attempt = 0;
    TaskPhase phase = TaskPhase::pulling;
    double cpus = 0, gpus = 0, memory_gb = 0;  // kept by an orphan until it is gone
    int team = -1;
    bool service = false;
    bool seen = false;  // a heartbeat has shown it
    Ms ends = 0;        // by its submitter's estimate
    // Set once it has been told to stop: the time that it was given to save.
    std::optional<double> stop_grace_s;
    Ms kept_until = 0;  // the first task of a job that starved is not stopped before
  };
  using TaskKey = std::pair<std::string, std::uint32_t>;
  struct Machine {
    std::string id, addr, zone, type_name;
    std::uint64_t revision = 0;
    bool spot = false;
    const MachineType* type = nullptr;
    bool reconciled = false;  // has sent a heartbeat under our fencing token (or is fresh)
    bool heartbeat_received = false;
    bool transferring = false;
    Ms cordoned_until = 0, drain_until = 0;
    bool consolidating = false;  // takes work only when no other machine can, so that it runs empty
    bool lease_expired = false;  // its lease is over; a new incarnation must appear
    std::uint64_t incarnation = 0, sequence = 0;
    Ms last_reply = 0;  // the last 200 anyone could have given
    Ms last_heartbeat = 0;
    Ms idle_since = 0;
    std::optional<Ms> taken_at;  // spot notice
    std::map<TaskKey, BoundTask> tasks;
    double cpus = 0, gpus = 0, memory_gb = 0;  // taken
    double service_cpus = 0;                   // that part of it that services take
    double service_size = 0;                   // CPUs of the largest service here
    int unknown_tasks = 0;                     // tasks here of jobs that we do not know
    std::set<int> images;  // those that a task here has had, or has been sent for
    int errors = 0;
    Ms quarantine_until = 0, quarantine_ms = 0;
    // Signs that answers do not reach it: those in a row that left no trace, and those that told it
    // a fencing token which its heartbeats do not show.
    int lost_replies = 0, token_announcements = 0;
    Ms first_announced_at = 0;  // the first of the latter
  };
  struct Job {
    JobSpec spec;
    std::uint64_t revision = 0;
    bool predates_claim = false, finalizing = false, cancelling = false;
    int team = -1, image = -1;  // index and number, see `image_number`
    std::vector<TaskState> state;
    std::uint32_t first_queued = 0;  // none below this is queued
    std::uint32_t queued = 0, bound = 0, running = 0, done = 0, unrecorded = 0;
    std::map<std::string, int> zones;  // bound tasks by zone
    std::map<std::string, Ms>
        avoided_machines;  // on which it has failed, and until when it avoids them
    Ms not_before = 0, backoff = 0;
    Ms ready = 0;      // when it was free to start; its acceptance, if it has no prerequisites
    Ms submitted = 0;  // its deadline counts from here
    Priority priority = Priority::standard;  // its own, or that of a job which waits for it
    std::optional<Ms> finish_by;             // so that the jobs which wait for it are in time
    std::vector<Ms> target_times;  // when it should be complete, the tightest objective first
    int missed_objectives = 0;     // objectives that it can no longer meet
    bool has_started = false;      // a task of it has been on a machine
    bool starved = false;          // it has waited too long for that: it goes first
    Ms latest_start = 0;
    Ms waiting_since = 0;  // when the first of its queued tasks began to wait
    // Of a service that waits: whether a machine with its image could take it, and how many
    // services such a one runs at most; looked for at most once a tick.
    Ms looked_at = -1;
    bool image_elsewhere = false;
    double most_services = 0;  // CPUs
    int service_machines = 0;
  };
  // How full a machine is, in steps: the higher, the sooner it is filled further.
  enum FillLevel { kIdle, kEmptier, kFuller, kServices, kFillLevels };
  // What the machines come to together. The work for one heartbeat must not grow with the
  // machines of the partition, so `survey` adds them up in one pass a tick, and `bind` and
  // `release` keep the sums up to date between two passes. Machines that may hold what we do not
  // know of, and the CPUs of all of them.
  struct UnreconciledMachines {
    std::size_t unreconciled = 0,
                unreconciled_on_demand = 0;  // not heard of under our fencing token
    double cpus = 0;
  };
  struct Totals {
    std::array<std::array<double, kFillLevels>, 2>
        free{};                      // CPUs that may be given, by kind and fill
    double free_in_use = 0;          // free on machines that are not consolidated
    double cpus = 0;                 // of all machines that take work
    std::vector<double> with_image;  // free on those that have it, by image
  };

  void kill_tasks(const std::string& id);
  std::vector<Command> owed_kills(const Heartbeat& r) const;
  void release_task(Machine& m, TaskKey key, bool again);
  void bind(Machine& m, Job& j, std::uint32_t i, std::uint64_t attempt, TaskPhase p);
  void requeue(Job& j, std::uint32_t i);
  void set_done(Job& j, std::uint32_t i);
  void release_all_tasks(Machine& m);
  void record_failure(Machine& m, Job& j, Ms now);
  void quarantine(Machine& m, Ms now);
  void record_lost_reply(Machine& m, Ms now);
  static bool has_inbound_loss(const Machine& m);
  // What a heartbeat shows of the tasks on its machine.
  struct HeartbeatTasks {
    std::set<TaskKey> on_machine;
    bool start_shown = false;  // one that no heartbeat had shown before
  };
  bool is_outdated(const Machine& m, const Heartbeat& r) const;
  void begin_incarnation(Machine& m, Ms now);
  void update_machine(Machine& m, const Heartbeat& r, Ms now);
  HeartbeatReply announce_token(Machine& m, const Heartbeat& r, Ms now);
  void reconcile_task(Machine& m, const TaskStatus& task, Ms now, HeartbeatTasks& shown,
                      std::vector<Command>& out);
  void reconcile_exited(Machine& m, const TaskStatus& task, Ms now, std::vector<Command>& out);
  void reconcile_running(Machine& m, const TaskStatus& task, Ms now);
  void bind_orphan(Machine& m, const TaskStatus& task, const Job* job, Ms now);
  bool release_missing(Machine& m, const std::set<TaskKey>& on_machine);
  Job* find_job(const TaskStatus& task) const;
  bool may_start(const Machine& m, const Job& j, const UnreconciledMachines& unreconciled_machines,
                 Ms now) const;
  static FillLevel fill_level(const Machine& m);
  static double service_headroom(const Machine& m);
  void drain(Machine& m, const UnreconciledMachines& unreconciled_machines, Ms now,
             std::vector<Command>& out);
  bool can_run_elsewhere(const Machine& m, const Job& j,
                         const UnreconciledMachines& unreconciled_machines, Ms now) const;
  void update_reservation(Machine& m, const UnreconciledMachines& unreconciled_machines, Ms now);
  bool reservation_admits(const Machine& m, const Job& j) const;
  bool schedulable(const Machine& m, Ms now) const;
  bool accepts_tasks(const Machine& m, Ms now) const;
  double free_for(const Job& j) const;
  double free_on_fuller_machines(const Machine& m, const Job& j) const;
  void update_totals(Ms now);
  void consolidating(double surplus, Ms now);
  void stop_consolidating(double wanted, Ms now);
  static Ms empty_at(const Machine& m);
  static Ms arrays_end(const Machine& m);
  std::vector<Machine*> by_time_to_empty(Ms now, bool consolidating);
  double smallest_array_task() const;
  double usable_free_cpus(const Machine& m) const;
  bool cost_saving() const;
  Ms idle_keep_ms() const;
  double waiting_cpus() const;
  double unschedulable_cpus(const Job& j, Ms now) const;
  void set_target_times(Job& j) const;
  void sort_queue(Ms now);
  int image_number(const std::string& image);
  void forget_images();
  static Ms fetch_ms(const Machine& m, const Job& j);
  std::vector<Job*> queue_for(const Machine& m);
  const std::vector<Job*>& waiting_jobs();
  void look_for_image(Job& j, Ms now);
  bool should_wait_for_better(const Machine& m, Job& j, Ms now);
  void launch_tasks(Machine& m, const std::vector<Job*>& order, bool within_fair_share,
                    const UnreconciledMachines& unreconciled_machines, Ms now,
                    std::vector<Command>& out);
  void preempt_for_waiting(Machine& m, const UnreconciledMachines& unreconciled_machines, Ms now,
                           std::vector<Command>& out);
  void start_task(Machine& m, Job& j, std::vector<Command>& out);
  bool preempt_for(Machine& m, Job& j, double unreconciled, bool by_fair_share,
                   std::vector<Command>& out);
  bool may_preempt(const BoundTask& victim, const Job& j, bool by_fair_share) const;
  bool fits(const Machine& m, const Job& j, double unreconciled_cpus) const;
  bool fits_if_only(Machine& m, const Job& j, double unreconciled_cpus, double cpus) const;
  bool stop_task(const TaskKey& key, BoundTask& task, std::vector<Command>& out);
  const UnreconciledMachines& unreconciled_machines();
  void add_unknown_tasks(Machine& m, int by);
  void mark_reconciled(Machine& m);
  int team_index(const std::string& name) const;

  int index_;
  std::uint64_t fencing_token_;
  Ms now_;  // of the newest event
  Ms claimed_at_;
  SchedulingPolicy limits_;
  std::vector<Team> teams_;
  std::vector<double> team_cpus_, team_gpus_;  // taken by tasks that may run
  std::map<std::string, MachineType> types_;
  std::unordered_map<std::string, std::unique_ptr<Machine>> machines_;
  std::unordered_map<std::string, std::unique_ptr<Job>> jobs_;
  std::unordered_map<std::string, int> image_numbers_;
  std::vector<Job*> queue_;         // in which they are served, see `reorder`
  std::vector<Job*> waiting_jobs_;  // those of them that wait, as long as `waiting_known_`
  double least_cpus_ = 0;           // the smallest task that waits
  bool waiting_jobs_valid_ = false, unreconciled_known_ = false;
  UnreconciledMachines unreconciled_machines_;
  Totals totals_;
  double smallest_array_task_ = 0;  // see `unit`
  Ms queue_sorted_at_ = 0;
  double slack_s_ = 0, wait_s_ = 0;  // see `PartNeed`
  Ms surplus_since_ = 0;
  struct Reservation {  // a machine that takes no other arrays until this job has begun on it
    std::string machine, job;
  };
  Reservation reservation_;
  std::uint64_t counter_ = 0, preemptions_ = 0, steps_ = 0;
  std::map<std::string, std::vector<Command>> kills_;
};

}  // namespace eiderreel
