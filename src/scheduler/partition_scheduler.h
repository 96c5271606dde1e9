// One part as its owner sees it: the jobs of its teams, its machines, and what runs where.
// Pure: no I/O and no clock. Every call takes the time; what is to be done comes back as values.
//
// Promise: a task is bound to at most one machine, and leaves it only with proof that it is gone.
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

#include "model/types.h"

namespace eiderreel {

struct PartLimits {
  Ms lease_ms = 10000;
  Ms report_ms = 1000;
  std::map<std::string, std::vector<FinishAim>> aims;  // by class
  std::map<std::string, double> waits;                 // seconds to a start, by class
  Ms guarantee_ms = 5000;  // work within a guarantee should start by then

  // The time in which every machine reports; an interval is a quarter longer at most.
  Ms all_reported_ms() const { return report_ms * 5 / 4; }
};

enum class Verdict {
  ok,     // answer with `orders`
  stale,  // an older message, or one above our term: answer 503, learn nothing
};

struct Answer {
  Verdict verdict = Verdict::ok;
  std::uint64_t term = 0;
  std::vector<Command> commands;
};

// What the part lacks and what it has to spare, told to the leader.
struct PartNeed {
  double waiting_cpus = 0;       // of tasks that could start now but for room
  double waiting_spot_cpus = 0;  // that part of it that may use spot machines
  double waiting_service_cpus = 0;
  double waiting_core_s = 0;  // work of the waiting tasks by their owners' estimates
  double slack_s = 0;         // usual time between a job's estimate and its deadline; 0: unknown
  double wait_s = 0;          // the shortest in which an array should start; 0: none stated
  double used_cpus = 0, used_service_cpus = 0;
  double total_cpus = 0, spot_cpus = 0;  // of all machines, of spot ones
  // Of machines that hold nothing, and of those that have held nothing for so long that they may
  // go back; ordinary and spot ones. Never by name: a part may have hundreds.
  double idle_cpus = 0, idle_spot_cpus = 0, rested_cpus = 0, rested_spot_cpus = 0;
  std::uint32_t idle_machines = 0;
  double waited_s = 0;  // the longest that a job of which nothing runs has waited
  // Jobs bound to a zone or to types, and the CPUs that they lack there; room elsewhere is of no
  // use to them. The first few in the order of the queue.
  std::vector<std::pair<std::string, double>> unplaceable;
};

class Part {
 public:
  Part(int index, std::uint64_t term, Ms claimed_at, PartLimits limits, std::vector<Team> teams);

  // --- machines ---
  // `fresh`: assigned after our claim, so nobody else can have tasks on it.
  void add_machine(const std::string& id, std::uint64_t revision, bool fresh, Ms now);
  void remove_machine(const std::string& id);  // with proof that all on it is gone
  bool has_machine(const std::string& id) const { return machines_.count(id) > 0; }
  std::uint64_t term_of(const std::string& id) const;
  void set_types(const std::vector<MachineType>& types);
  // Marks an idle machine as on its way out; false when it is not idle.
  bool begin_leave(const std::string& id);
  void end_leave(const std::string& id);
  bool idle(const std::string& id) const;
  // Idle machines of one kind, the longest idle first, of up to so many CPUs together. `rested`:
  // only those that have held nothing for so long that they may go back.
  std::vector<std::string> idle_machines(bool spot, double cpus, bool rested, Ms now) const;

  // Lets machines of about so many CPUs run empty: for a few seconds they take no new work.
  // `drain`: also such with services, which are moved to other machines one by one.
  void shed(double cpus, bool drain, Ms now);

  // --- jobs ---
  // Invariant 11: only a job whose prerequisites are all done is opened here.
  // `age`: how long ago it was free to start. `waited`: how long before that it was accepted; its
  // deadline counts from then. `done`: indexes recorded as done. `older`: it was free to start
  // before our claim, so its tasks may run on any machine we have not heard of yet.
  void open_job(const JobSpec& spec, std::uint64_t revision, bool older,
                const std::vector<std::uint32_t>& done, Ms age = 0, Ms waited = 0);
  // What the jobs that wait for this one ask of it: at least this priority, and to be over by then.
  void set_urgency(const std::string& id, Priority priority, std::optional<Ms> finish_by);
  bool has_job(const std::string& id) const { return jobs_.count(id) > 0; }
  std::optional<JobStatus> status(const std::string& id) const;
  std::uint64_t job_revision(const std::string& id) const;
  void hold_job(const std::string& id);  // a final commit is on its way: start nothing
  bool held(const std::string& id) const;
  void cancel_job(const std::string& id);  // its user has called it off: its tasks are killed
  void close_job(const std::string& id);   // final: what still runs is killed as it is reported
  // Tasks that ended well and are not recorded yet; `mark_recorded` allows their `clear`.
  std::vector<std::uint32_t> unrecorded(const std::string& id) const;
  void mark_recorded(const std::string& id, const std::vector<std::uint32_t>& tasks);
  std::vector<std::string> jobs_to_record() const;  // also the complete and held, not final yet
  // Of `count` tasks from `first` on, those that are done.
  std::vector<std::uint32_t> done_among(const std::string& id, std::uint32_t first,
                                        std::uint32_t count) const;
  bool complete(const std::string& id) const;
  std::uint32_t task_count(const std::string& id) const;

  // --- events ---
  // Takes in a report. The answer has the kills and clears; starts come from `place`.
  Answer on_report(const Report& r, Ms now);
  // Starts for this machine alone, to be put into the answer to its newest report.
  std::vector<Command> place(const std::string& machine, Ms now);
  // An answer with status 200 was handed to the network now.
  void answered(const std::string& machine, Ms now);
  // Declares machines silent beyond their lease as gone; returns their names.
  std::vector<std::string> tick(Ms now);
  // The cloud's 200 on return, or a failed machine: all on it is gone.
  void machine_gone(const std::string& id, Ms now);

  // Whether a report of this machine may wait for work, and how long.
  Ms defer_ms(const std::string& machine) const;
  bool has_waiting();
  // The machines of a list in the order in which they should be asked to take work: those with
  // services first, then the fullest, so that others run empty and can be given away.
  std::vector<std::string> fullest_first(std::vector<std::string> machines) const;
  // Tasks to kill by /commands: (machine address, session, term, orders).
  struct Kill {
    std::string machine, addr;
    std::uint64_t session, term;
    std::vector<Command> commands;
  };
  std::vector<Kill> take_kills();
  void kill_again(const std::string& machine);  // nothing tells that it has heard of its kills
  PartNeed need(Ms now) const;
  int index() const { return index_; }
  std::uint64_t term() const { return term_; }
  std::vector<std::string> machine_names() const;
  std::size_t job_count() const { return jobs_.size(); }
  struct Count {
    std::size_t jobs_queued = 0, jobs_running = 0, queued = 0, bound = 0, running = 0, done = 0;
  };
  Count count() const;
  // Jobs and machines looked at for reports since the start.
  std::uint64_t steps() const { return steps_; }
  std::size_t images_known() const { return image_numbers_.size(); }
  std::uint64_t take_preemptions() { return std::exchange(preemptions_, 0); }

 private:
  enum class State : std::uint8_t { queued, bound, done, recorded };
  struct Job;
  struct Machine;
  struct Bound {
    Job* job = nullptr;  // null: an orphan, to be killed
    std::uint64_t attempt = 0;
    TaskPhase phase = TaskPhase::pulling;
    double cpus = 0, gpus = 0, memory_gb = 0;  // kept by an orphan until it is gone
    int team = -1;
    bool service = false;
    bool seen = false;  // a report has shown it
    Ms ends = 0;        // by its owner's estimate
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
    bool proven = false;  // has reported under our term (or is fresh)
    bool reported = false;
    bool leaving = false;
    Ms shed_until = 0, drain_until = 0;
    bool spare = false;  // takes work only when no other machine can, so that it runs empty
    bool gone = false;   // its lease is over; a new session must appear
    std::uint64_t session = 0, sequence = 0;
    Ms last_answer = 0;  // the last 200 anyone could have given
    Ms last_report = 0;
    Ms idle_since = 0;
    std::optional<Ms> taken_at;  // spot notice
    std::map<TaskKey, Bound> tasks;
    double cpus = 0, gpus = 0, memory_gb = 0;  // taken
    double service_cpus = 0;                   // that part of it that services take
    double service_size = 0;                   // CPUs of the largest service here
    int unknown = 0;                           // tasks here of jobs that we do not know
    std::set<int> images;  // those that a task here has had, or has been sent for
    int errors = 0;
    Ms quarantine_until = 0, quarantine_ms = 0;
    // Signs that answers do not reach it: those in a row that left no trace, and those that told it
    // a term which its reports do not show.
    int lost_answers = 0, term_answers = 0;
    Ms term_answered_at = 0;  // the first of the latter
  };
  struct Job {
    JobSpec spec;
    std::uint64_t revision = 0;
    bool older = false, held = false, cancelling = false;
    int team = -1, image = -1;  // index and number, see `image_number`
    std::vector<State> state;
    std::uint32_t first_queued = 0;  // none below this is queued
    std::uint32_t queued = 0, bound = 0, running = 0, done = 0, unrecorded = 0;
    std::map<std::string, int> zones;  // bound tasks by zone
    std::map<std::string, Ms>
        bad_machines;  // on which it has failed, and until when it avoids them
    Ms not_before = 0, backoff = 0;
    Ms ready = 0;      // when it was free to start; its acceptance, if it has no prerequisites
    Ms submitted = 0;  // its deadline counts from here
    Priority priority = Priority::standard;  // its own, or that of a job which waits for it
    std::optional<Ms> finish_by;             // so that the jobs which wait for it are in time
    std::vector<Ms> bounds;                  // when it should be complete, the tightest aim first
    int stage = 0;                           // aims that it can no longer meet
    bool begun = false;                      // a task of it has been on a machine
    bool starved = false;                    // it has waited too long for that: it goes first
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
  enum Fill { kIdle, kEmptier, kFuller, kServices, kFills };
  // What the machines come to together. Guard: the work for one report must not grow with the
  // machines of the part, so `survey` adds them up in one pass a tick, and `bind` and `release`
  // keep the sums up to date between two passes.
  // Machines that may hold what we do not know of, and the CPUs of all of them.
  struct Proof {
    std::size_t unproven = 0, unproven_ordinary = 0;  // not heard of under our term
    double cpus = 0;
  };
  struct Totals {
    std::array<std::array<double, kFills>, 2> free{};  // CPUs that may be given, by kind and fill
    double kept = 0;                                   // free on machines that are not spared
    double cpus = 0;                                   // of all machines that take work
    std::vector<double> with_image;                    // free on those that have it, by image
  };

  void kill_tasks(const std::string& id);
  std::vector<Command> owed_kills(const Report& r) const;
  void release(Machine& m, TaskKey key, bool again);
  void bind(Machine& m, Job& j, std::uint32_t i, std::uint64_t attempt, TaskPhase p);
  void requeue(Job& j, std::uint32_t i);
  void set_done(Job& j, std::uint32_t i);
  void drop_all(Machine& m);
  void note_error(Machine& m, Job& j, Ms now);
  void quarantine(Machine& m, Ms now);
  void note_lost_answer(Machine& m, Ms now);
  static bool has_inbound_loss(const Machine& m);
  // What a report shows of the tasks on its machine.
  struct ReportedTasks {
    std::set<TaskKey> on_machine;
    bool start_shown = false;  // one that no report had shown before
  };
  bool is_outdated(const Machine& m, const Report& r) const;
  void begin_session(Machine& m, Ms now);
  void take_machine_state(Machine& m, const Report& r, Ms now);
  Answer tell_term(Machine& m, const Report& r, Ms now);
  void take_task(Machine& m, const TaskReport& task, Ms now, ReportedTasks& reported,
                 std::vector<Command>& out);
  void take_exit(Machine& m, const TaskReport& task, Ms now, std::vector<Command>& out);
  void take_live(Machine& m, const TaskReport& task, Ms now);
  void hold_room(Machine& m, const TaskReport& task, const Job* job, Ms now);
  bool release_missing(Machine& m, const std::set<TaskKey>& on_machine);
  Job* find_job(const TaskReport& task) const;
  bool may_start(const Machine& m, const Job& j, const Proof& proof, Ms now) const;
  static Fill fill(const Machine& m);
  static double reserve(const Machine& m);
  void drain(Machine& m, const Proof& proof, Ms now, std::vector<Command>& out);
  bool room_beside(const Machine& m, const Job& j, const Proof& proof, Ms now) const;
  void reserve_room(Machine& m, const Proof& proof, Ms now);
  bool open_to(const Machine& m, const Job& j) const;
  bool usable(const Machine& m, Ms now) const;
  bool takes_work(const Machine& m, Ms now) const;
  double free_for(const Job& j) const;
  double room_on_fuller(const Machine& m, const Job& j) const;
  void survey(Ms now);
  void spare(double surplus, Ms now);
  void use_spared(double wanted, Ms now);
  static Ms empty_at(const Machine& m);
  static Ms arrays_end(const Machine& m);
  std::vector<Machine*> by_emptiness(Ms now, bool spared);
  double unit() const;
  double left(const Machine& m) const;
  bool saves_cost() const;
  Ms keep_ms() const;
  double waiting_cpus() const;
  double unplaceable_cpus(const Job& j, Ms now) const;
  void set_bounds(Job& j) const;
  void reorder(Ms now);
  int image_number(const std::string& image);
  void forget_images();
  static Ms fetch_ms(const Machine& m, const Job& j);
  std::vector<Job*> order_for(const Machine& m);
  const std::vector<Job*>& waiting();
  void look_for_image(Job& j, Ms now);
  bool better_elsewhere(const Machine& m, Job& j, Ms now);
  void launch(Machine& m, const std::vector<Job*>& order, bool within, const Proof& proof, Ms now,
              std::vector<Command>& out);
  void make_room(Machine& m, const Proof& proof, Ms now, std::vector<Command>& out);
  void start_one(Machine& m, Job& j, std::vector<Command>& out);
  bool preempt_for(Machine& m, Job& j, double unproven, bool by_guarantee,
                   std::vector<Command>& out);
  bool may_stop(const Bound& victim, const Job& j, bool by_guarantee) const;
  bool fits(const Machine& m, const Job& j, double unproven_cpus) const;
  bool fits_beside(Machine& m, const Job& j, double unproven_cpus, double cpus) const;
  bool stop(const TaskKey& key, Bound& task, std::vector<Command>& out);
  const Proof& proof();
  void count_unknown(Machine& m, int by);
  void set_proven(Machine& m);
  int team_index(const std::string& name) const;

  int index_;
  std::uint64_t term_;
  Ms now_;  // of the newest event
  Ms claimed_at_;
  PartLimits limits_;
  std::vector<Team> teams_;
  std::vector<double> team_cpus_, team_gpus_;  // taken by tasks that may run
  std::map<std::string, MachineType> types_;
  std::unordered_map<std::string, std::unique_ptr<Machine>> machines_;
  std::unordered_map<std::string, std::unique_ptr<Job>> jobs_;
  std::unordered_map<std::string, int> image_numbers_;
  std::vector<Job*> order_;    // in which they are served, see `reorder`
  std::vector<Job*> waiting_;  // those of them that wait, as long as `waiting_known_`
  double least_cpus_ = 0;      // the smallest task that waits
  bool waiting_known_ = false, proof_known_ = false;
  Proof proof_;
  Totals totals_;
  double unit_ = 0;  // see `unit`
  Ms reordered_ = 0;
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
