// One partition as its leader sees it: the jobs of its teams, its machines, and what runs where.
// Pure: no I/O and no clock. Every call takes the time; what is to be done comes back as values.
//
// Safety: a task is bound to at most one machine, and leaves it only with proof that it is gone.
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

/// The scheduler of one partition. A facade: each concern has a class of its own in this folder;
/// partition_components.h shows how they are wired.
///
/// Times are in milliseconds on the steady clock. An id that is not known is no error: queries
/// answer with nothing, changes do nothing.
class PartitionScheduler {
 public:
  /// Kills for one machine, to be sent by /commands.
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

  /// `fencing_token`: the revision of our claim. `claimed_at`: when that claim was made.
  PartitionScheduler(int index, std::uint64_t fencing_token, Ms claimed_at, SchedulingPolicy policy,
                     std::vector<Team> teams);
  ~PartitionScheduler();
  PartitionScheduler(PartitionScheduler&& other) noexcept;
  PartitionScheduler& operator=(PartitionScheduler&& other) noexcept;
  PartitionScheduler(const PartitionScheduler&) = delete;
  PartitionScheduler& operator=(const PartitionScheduler&) = delete;

  /// The number of the partition.
  int index() const;
  /// The revision of the claim of the partition.
  std::uint64_t fencing_token() const;

  // --- machines ---

  /// `fresh`: assigned after our claim, so nobody else can have tasks on it.
  void add_machine(const std::string& id, std::uint64_t revision, bool fresh, Ms now);
  /// Takes a machine out of the partition, with proof that all on it is gone.
  void remove_machine(const std::string& id);
  /// Whether the machine belongs to the partition.
  bool has_machine(const std::string& id) const;
  /// All machines, in ascending order.
  std::vector<std::string> machine_names() const;
  /// The fencing token for commands to this machine.
  std::uint64_t fencing_token_of(const std::string& id) const;
  /// Takes over the types of the cloud's catalog.
  void set_types(const std::vector<MachineType>& types);
  /// Marks an idle machine as on its way out; false when it is not idle.
  bool begin_transfer(const std::string& id);
  /// The machine stays after all.
  void end_transfer(const std::string& id);
  /// Whether the machine is reconciled and holds nothing.
  bool idle(const std::string& id) const;
  /// Idle machines of one kind, the longest idle first, of up to so many CPUs together. `rested`:
  /// only those that have held nothing for so long that they may go back.
  std::vector<std::string> idle_machines(bool spot, double cpus, bool rested, Ms now) const;
  /// Lets machines of about so many CPUs run empty: for a few seconds they take no new work.
  /// `drain`: also such with services, which are moved to other machines one by one.
  void cordon(double cpus, bool drain, Ms now);
  /// Those of the machines that are of this partition, in the order in which they should be asked
  /// to take work: those with services first, then the fullest, so that others run empty and can be
  /// given away.
  std::vector<std::string> fullest_first(std::vector<std::string> machines) const;

  // --- jobs ---

  /// Opens a job. Invariant 11: only a job whose prerequisites are all done is opened here.
  /// `predates_claim`: it was free to start before our claim, so its tasks may run on any machine
  /// we have not heard of yet. `done`: indexes of tasks recorded as done. `age`: how long ago it
  /// was free to start. `waited`: how long before that it was accepted; its deadline counts from
  /// then.
  void open_job(const JobSpec& spec, std::uint64_t revision, bool predates_claim,
                const std::vector<std::uint32_t>& done, Ms age = 0, Ms waited = 0);
  /// What the jobs that wait for this one ask of it: at least this priority, and to be over by
  /// then.
  void set_urgency(const std::string& id, Priority priority, std::optional<Ms> finish_by);
  /// Whether the job is open here.
  bool has_job(const std::string& id) const;
  /// How many jobs are open here.
  std::size_t job_count() const;
  /// What users are told of an open job; nothing: it is not open here.
  std::optional<JobStatus> status(const std::string& id) const;
  /// The revision of the job's record; 0: it is not open.
  std::uint64_t job_revision(const std::string& id) const;
  /// The number of its tasks; 0: it is not open.
  std::uint32_t task_count(const std::string& id) const;
  /// Whether all its tasks are done.
  bool is_complete(const std::string& id) const;
  /// A final commit is on its way: nothing of the job is started any more.
  void begin_finalizing(const std::string& id);
  /// Whether a final record of the job is on its way.
  bool is_finalizing(const std::string& id) const;
  /// Its user has cancelled it: its tasks are killed.
  void cancel_job(const std::string& id);
  /// The job is final: what still runs is killed as it is seen in a heartbeat.
  void close_job(const std::string& id);
  /// Indexes of the tasks that ended well and are not recorded yet.
  std::vector<std::uint32_t> unrecorded(const std::string& id) const;
  /// Tasks are durably recorded as done; from now on workers are told to clear them.
  void mark_recorded(const std::string& id, const std::vector<std::uint32_t>& tasks);
  /// Jobs with unrecorded tasks, and those complete or finalizing that are not final yet.
  std::vector<std::string> jobs_to_record() const;
  /// Of `count` tasks from `first` on, those that are done.
  std::vector<std::uint32_t> done_tasks(const std::string& id, std::uint32_t first,
                                        std::uint32_t count) const;

  // --- events ---

  /// Takes in a heartbeat. The answer has the kills and clears; launches come from `place_tasks`.
  HeartbeatReply on_heartbeat(const Heartbeat& heartbeat, Ms now);
  /// Launches for this machine alone, to be put into the answer to its newest heartbeat.
  std::vector<Command> place_tasks(const std::string& machine, Ms now);
  /// An answer with status 200 was handed to the network now.
  void heartbeat_answered(const std::string& machine, Ms now);
  /// Declares machines silent beyond their lease as gone; returns their names.
  std::vector<std::string> tick(Ms now);
  /// The cloud's 200 on return, or a failed machine: all on it is gone.
  void machine_terminated(const std::string& id, Ms now);

  /// How long a heartbeat of this machine may wait for work; 0: it is answered at once.
  Ms defer_ms(const std::string& machine) const;
  /// Whether some task waits for a machine.
  bool has_waiting();
  /// The kills that are to be sent since the last call.
  std::vector<KillBatch> take_kills();
  /// Nothing tells that the machine has heard of its kills: they are sent again.
  void retry_kills(const std::string& machine);

  // --- measurements ---

  /// What the cluster leader is told.
  PartitionLoad load(Ms now) const;
  /// Jobs and tasks by their state.
  TaskCounts task_counts() const;
  /// Jobs and machines looked at for heartbeats since the start.
  std::uint64_t steps() const;
  /// How many images have a number, for tests of its bound.
  std::size_t images_known() const;
  /// Tasks preempted since the last call.
  std::uint64_t take_preemptions();

 private:
  void kill_tasks(const std::string& job);
  void forget_images();

  std::unique_ptr<PartitionComponents> parts_;
};

}  // namespace eiderreel
