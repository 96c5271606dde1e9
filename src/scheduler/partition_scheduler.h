// The state of one partition at its leader: the jobs of its teams, its machines, and which task is
// bound to which machine. No I/O and no clock: the time is an argument of the calls, and the
// commands to be sent are return values.
//
// Safety: a task is bound to at most one machine, and is released only with proof that it no longer
// runs there.
#pragma once
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "constants.h"
#include "model/heartbeat.h"
#include "model/job.h"
#include "model/load.h"
#include "model/machine.h"
#include "model/team.h"
#include "scheduler/heartbeat_reply.h"
#include "scheduler/scheduling_policy.h"

namespace eiderreel {

struct PartitionComponents;

/// The scheduler of one partition: a facade for the classes of this folder, one for each concern;
/// partition_components.h lists them and their dependencies.
///
/// Times are in milliseconds on the steady clock. An unknown id is no error: queries return an
/// empty or zero value, and changes have no effect.
class PartitionScheduler {
 public:
  /// Kill commands for one machine, to be sent to its worker's /commands.
  struct KillBatch {
    std::string machine;
    std::string addr;
    std::uint64_t incarnation;
    std::uint64_t fencing_token;
    std::vector<Command> commands;
  };
  /// Jobs and tasks by state.
  struct TaskCounts {
    std::size_t jobs_queued = 0;
    std::size_t jobs_running = 0;
    std::size_t queued = 0;
    std::size_t bound = 0;
    std::size_t running = 0;
    std::size_t done = 0;
  };

  /// `fencing_token`: the revision of this leader's claim of the partition. `claimed_at`: when that
  /// claim was made.
  PartitionScheduler(int index, std::uint64_t fencing_token, Ms claimed_at, SchedulingPolicy policy,
                     std::vector<Team> teams);
  ~PartitionScheduler();
  PartitionScheduler(PartitionScheduler&& other) noexcept;
  PartitionScheduler& operator=(PartitionScheduler&& other) noexcept;
  PartitionScheduler(const PartitionScheduler&) = delete;
  PartitionScheduler& operator=(const PartitionScheduler&) = delete;

  /// The partition's number.
  int index() const;
  /// The fencing token of the partition: the revision of this leader's claim.
  std::uint64_t fencing_token() const;

  // --- machines ---

  /// Adds a machine. `assigned_after_claim`: it was assigned to the partition after this leader's
  /// claim, so no other leader can have started tasks on it.
  void add_machine(const std::string& id, std::uint64_t revision, bool assigned_after_claim,
                   Ms now);
  /// Removes a machine from the partition. The caller has proof that no task runs on it any more.
  void remove_machine(const std::string& id);
  /// Whether the machine belongs to the partition.
  bool has_machine(const std::string& id) const;
  /// The names of all machines, in ascending order.
  std::vector<std::string> machine_names() const;
  /// The fencing token for commands to this machine.
  std::uint64_t fencing_token_of(const std::string& id) const;
  /// Adds or replaces machine types, as listed in the cloud's catalog.
  void set_types(const std::vector<MachineType>& types);
  /// Marks an idle machine as being transferred out of the partition, so that no tasks are started
  /// on it. Returns false if it is not idle.
  bool begin_transfer(const std::string& id);
  /// Cancels a transfer: the machine stays in the partition.
  void cancel_transfer(const std::string& id);
  /// Whether the machine is reconciled and has no tasks.
  bool is_idle(const std::string& id) const;
  /// Idle machines, either spot or on-demand, the longest idle first, with at most `cpus` CPUs in
  /// total. `only_releasable`: only those that have been idle long enough to be returned to the
  /// cloud.
  std::vector<std::string> idle_machines(bool spot, double cpus, bool only_releasable,
                                         Ms now) const;
  /// Cordons machines of about `cpus` CPUs in total, so that they run empty: for a few seconds they
  /// take no new tasks. `drain`: includes machines with services, which are moved to other machines
  /// one by one.
  void cordon(double cpus, bool drain, Ms now);
  /// Those of the machines that belong to this partition, in the order in which tasks should be
  /// placed on them: machines with services first, then the fullest, so that the others run empty
  /// and can be released.
  std::vector<std::string> fullest_first(std::vector<std::string> machines) const;

  // --- jobs ---

  /// Opens a job. Invariant 11: only a job whose prerequisites are all done is opened.
  /// `predates_claim`: the job was ready before this leader's claim, so its tasks may already run
  /// on any machine that is not reconciled yet. `done`: indexes of the tasks recorded as done.
  /// `time_since_ready`: time since the job became ready to start. `time_before_ready`: time from
  /// its acceptance until then; its deadline counts from its acceptance.
  void open_job(const JobSpec& spec, std::uint64_t revision, bool predates_claim,
                const std::vector<std::uint32_t>& done, Ms time_since_ready = 0,
                Ms time_before_ready = 0);
  /// Sets the urgency that the job inherits from the jobs that depend on it: it is served with at
  /// least this priority, and is to finish by `finish_by`.
  void set_urgency(const std::string& id, Priority priority, std::optional<Ms> finish_by);
  /// Whether the job is open in this partition.
  bool has_job(const std::string& id) const;
  /// The number of open jobs of this partition.
  std::size_t job_count() const;
  /// The status of an open job, as users see it; `nullopt` if it is not open in this partition.
  std::optional<JobStatus> status(const std::string& id) const;
  /// The revision of the job's record; 0 if the job is not open.
  std::uint64_t job_revision(const std::string& id) const;
  /// The job's number of tasks; 0 if the job is not open.
  std::uint32_t task_count(const std::string& id) const;
  /// Whether all tasks of the job are done.
  bool is_complete(const std::string& id) const;
  /// Marks the job as finalizing: its final record is being committed, and none of its tasks is
  /// started any more.
  void begin_finalizing(const std::string& id);
  /// Whether a final record of the job is being committed.
  bool is_finalizing(const std::string& id) const;
  /// Cancels a job at its user's request: its tasks are killed.
  void cancel_job(const std::string& id);
  /// Closes a job whose final record is committed. Tasks that still run are killed, also when a
  /// later heartbeat reports them.
  void close_job(const std::string& id);
  /// Indexes of the tasks that are done but not durably recorded as done.
  std::vector<std::uint32_t> unrecorded_tasks(const std::string& id) const;
  /// Marks tasks as durably recorded as done; from now on workers get clear commands for them.
  void mark_recorded(const std::string& id, const std::vector<std::uint32_t>& tasks);
  /// Jobs with unrecorded tasks, and open jobs that are complete or finalizing.
  std::vector<std::string> jobs_to_record() const;
  /// Indexes of the done tasks among the `count` tasks from `first` on.
  std::vector<std::uint32_t> done_tasks(const std::string& id, std::uint32_t first,
                                        std::uint32_t count) const;

  // --- events ---

  /// Processes a heartbeat. The reply has the kill and clear commands; `place_tasks` returns the
  /// launches.
  HeartbeatReply on_heartbeat(const Heartbeat& heartbeat, Ms now);
  /// Places tasks on this machine. Returns the commands, to be added to the reply to the machine's
  /// newest heartbeat.
  std::vector<Command> place_tasks(const std::string& machine, Ms now);
  /// Notes that a reply with status 200 was handed to the network now.
  void heartbeat_answered(const std::string& machine, Ms now);
  /// Expires the leases of machines that got no reply within the lease time, and releases their
  /// tasks; returns the names of these machines. Also runs the periodic updates.
  std::vector<std::string> tick(Ms now);
  /// Handles a machine that was returned to the cloud (the cloud replied with status 200) or has
  /// failed: none of its tasks runs any more.
  void machine_terminated(const std::string& id, Ms now);

  /// How long the reply to a heartbeat of this machine may be deferred until there are tasks for
  /// it; 0 if the reply is sent at once.
  Ms defer_ms(const std::string& machine) const;
  /// Whether any task is waiting for a machine.
  bool has_waiting_tasks();
  /// Returns and clears the kill commands that are to be sent.
  std::vector<KillBatch> take_kills();
  /// Queues the machine's kill commands again, as their delivery was not confirmed.
  void retry_kills(const std::string& machine);

  // --- measurements ---

  /// The load that is reported to the cluster leader.
  PartitionLoad load(Ms now) const;
  /// Jobs and tasks by their state.
  TaskCounts task_counts() const;
  /// Number of jobs and machines examined for heartbeats since the start: a measure of work.
  std::uint64_t steps() const;
  /// The number of images that have been given a number; tests check its bound.
  std::size_t numbered_image_count() const;
  /// Returns and resets the number of tasks preempted since the last call.
  std::uint64_t take_preemptions();

 private:
  void kill_tasks(const std::string& job);
  void reset_image_numbers();

  std::unique_ptr<PartitionComponents> components_;
};

}  // namespace eiderreel
