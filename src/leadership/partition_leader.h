// The partition leader: claims partitions, keeps their leases in mind, answers heartbeats and asks
// of its partitions. It alone speaks for a partition, and only while its lease is surely alive.
#pragma once
#include <map>
#include <memory>
#include <set>
#include <string>

#include "leadership/conversion_pace.h"
#include "leadership/progress_plan.h"
#include "peer_rpc/messages.h"
#include "scheduler/partition_scheduler.h"
#include "state_store/state_store_client.h"

namespace eiderreel {

class PartitionLeader {
 public:
  struct Hooks {
    // An unknown machine has sent a heartbeat here, and we lead: assign it.
    std::function<void(const Heartbeat&, Reply)> assign;
    // News of load for the cluster leader and the failback.
    std::function<void(const peer_rpc::Body&)> broadcast;
  };
  struct Counters {
    std::uint64_t claims = 0, failbacks = 0, reports = 0, stale_heartbeats = 0, deferred = 0;
    std::uint64_t starts = 0, lease_expiries = 0;
    std::uint64_t preemptions = 0;
  };

  PartitionLeader(Runtime& runtime, const Settings& settings, StateStoreClient& state_store);
  void start(Hooks hooks) { hooks_ = std::move(hooks); }
  void tick();

  // --- messages ---
  void heartbeat(const Heartbeat& r, Reply reply);
  void query_job(const peer_rpc::JobQuery& a, Reply reply);  // status 0: not entitled to answer
  void transfer_machines(const peer_rpc::TransferRequest& m);
  void cordon(const peer_rpc::CordonRequest& s);
  void peer_status(const std::string& node, const peer_rpc::PeerStatus& s);
  void machines_terminated(const std::vector<std::string>& machines);
  void job_opened(const std::string& id);
  void job_ready(const std::string& id);
  void job_closed(const std::string& id);
  void urgency_changed(const std::string& id);
  void machine_changed(const std::string& id);
  void partition_changed(int partition);
  void lease_lost();
  // A peer asks us not to claim its partitions for a while; what we vote, and what we hand over.
  peer_rpc::Vote vote_on(const std::string& node, const peer_rpc::VoteRequest& a);
  void receive_vote(const std::string& node, const peer_rpc::Vote& p);
  void types_known(const std::vector<MachineType>& types);

  // --- what others may know ---
  bool acting(int partition) const;
  bool is_cluster_leader() const { return acting(0); }
  bool peer_alive(const std::string& node) const;
  // Whether a peer is known to run a build that knows no prerequisites. A peer of which nothing is
  // known is none: it may be away for long.
  bool has_old_peer() const;
  // The newest need of every partition, ours and the peers'.
  std::map<int, PartitionLoad> partition_loads() const;
  std::map<int, const PartitionScheduler*> partitions() const;
  const Counters& counters() const { return counters_; }
  // How far the conversion of stored progress has come in our partitions; nothing where cluster
  // versions are disabled.
  std::optional<ConversionProgress> conversion() const;
  // The same of a peer, if it is heard and tells it.
  std::optional<ConversionProgress> peer_conversion(const std::string& node) const;
  // Partitions of which no leader is heard, here or among the peers.
  std::vector<int> unheard_partitions() const;

 private:
  struct DeferredReply {
    Reply reply;
    Ms until = 0;
  };
  struct HeldHeartbeat {  // one that no controller can answer until a partition has an leader again
    Heartbeat heartbeat;
    int partition = 0;
    Reply reply;
    Ms until = 0;
  };
  struct FinalCommit {
    JobPhase phase = JobPhase::done;
    CompareAndSwap compare_and_swap;
    std::vector<std::string> left_over;  // progress that its transaction had no room to delete
  };
  struct JobPersistence {
    Ms last = 0;
    bool in_flight = false;
    upgrade::StoredValues progress;
    bool cancel_asked = false;  // by its user, while it waited for other jobs
    // The final commit that was sent and is not proven undone: it may have landed, or still may.
    std::optional<FinalCommit> final_commit;
  };
  struct LedPartition {
    std::unique_ptr<PartitionScheduler> core;
    bool active = false;
    std::map<std::string, DeferredReply> deferred;
    // The reply that this machine waits for, no longer deferred; null: it waits for none.
    Reply take_deferred(const std::string& machine);
    std::map<std::string, JobPersistence> persistence;
    std::vector<std::string> garbage_keys;  // to be deleted, see `sweep`
    Ms look_for_conversion_at = 0;          // nothing was left to convert when last looked for
  };
  struct PeerNews {
    Ms at = 0;
    peer_rpc::PeerStatus status;
  };

  void dispatch(const Heartbeat& r, Reply reply);
  void redirect(const Heartbeat& r, int partition, Reply reply);
  bool leader_silent(int partition) const;
  void redirect_to_leader(int partition, const Reply& reply) const;
  void release_held_heartbeats();
  bool may_act() const;
  void request_votes();
  LedPartition* led_partition(int partition);
  LedPartition* acting_partition(int partition);
  int partition_of_job(const std::string& id) const;
  void claim_vacant_partitions();
  void claim(int partition);
  void activate(int partition, std::uint64_t revision);
  void load_progress(int partition, std::uint64_t revision);
  void fail_back();
  void relinquish(int partition, const char* reason);
  bool may_relinquish() const;
  void probe_workers();
  bool hears_workers() const;
  bool has_lost_workers(const std::string& node) const;
  void relinquish_if_workers_lost();
  void delete_claim(int partition, std::uint64_t revision);
  void step_down(int partition, const char* reason);
  void reply_to_heartbeat(LedPartition& o, const std::string& machine,
                          std::vector<Command> commands, Reply reply);
  void answer_deferred(LedPartition& o);
  void transfer(int partition, int to, const std::vector<std::string>& machines);
  void send_transfer(int partition, std::uint64_t fencing_token,
                     const std::vector<std::string>& machines, CompareAndSwap c);
  void retry_transfer(int partition, std::uint64_t fencing_token,
                      const std::vector<std::string>& machines, const CompareAndSwap& c);
  void send_kills(LedPartition& o);
  void retry_kills(int partition, std::uint64_t fencing_token, const std::string& machine);
  void open_in(LedPartition& o, const std::string& id, const std::vector<std::uint32_t>& done);
  void log_waiting(const std::string& id) const;
  void query_waiting_job(int partition, const peer_rpc::JobQuery& a, Reply reply);
  void commit_finals_of_waiting(int partition, LedPartition& o);
  void commit_implied_cancellations(int partition, LedPartition& o);
  void collect_garbage(int partition, LedPartition& o);
  void persist(int partition, LedPartition& o);
  void persist_progress(int partition, LedPartition& o, const std::string& id);
  void convert_progress(int partition, LedPartition& o);
  upgrade::ProgressOfJob progress_of(int partition, const LedPartition& o,
                                     const std::string& id) const;
  void commit_progress(int partition, LedPartition& o, const std::string& id,
                       const std::string& nonce, upgrade::ProgressBatch batch, bool conversion);
  void progress_committed(int partition, const std::string& id, const upgrade::ProgressBatch& batch,
                          std::uint64_t revision);
  void read_progress_again(int partition, const std::string& id,
                           const upgrade::ProgressBatch& batch);
  void commit_final(int partition, const std::string& id, Reply reply);
  void final_committed(int partition, const std::string& id, std::uint64_t fencing_token,
                       CasOutcome out, JobPhase phase, const Reply& reply);
  bool may_vote(const std::string& node, const peer_rpc::VoteRequest& a) const;
  std::vector<codec::Precondition> job_preconditions(int partition, const std::string& id) const;

  Runtime& runtime_;
  const Settings& settings_;
  StateStoreClient& state_store_;
  Hooks hooks_;
  std::map<int, LedPartition> led_partitions_;
  std::map<std::string, HeldHeartbeat> held_heartbeats_;  // by machine
  std::map<int, Ms> vacant_since_;
  std::map<int, std::string> last_leader_;
  std::set<int> claiming_;         // a claim of ours is on its way
  std::set<int> claims_in_doubt_;  // one may still land, for as long as our lease lasts
  std::map<int, Ms> voted_until_;  // partitions that we must not claim until then
  std::map<int, std::uint64_t>
      deleting_claims_;  // dropped by us, their keys (revisions) not yet deleted
  // Votes of peers to us: the sending time of the question, and until when each holds.
  std::map<std::uint64_t, Ms> vote_requests_;
  std::map<std::string, Ms> votes_;
  Ms votes_requested_at_ = 0, started_ = 0;
  std::uint64_t next_vote_request_ = 0;
  std::map<std::string, PeerNews> peers_;
  std::vector<MachineType> types_;
  upgrade::ConversionRateLimiter conversion_rate_limiter_;
  bool collecting_garbage_ = false;
  Ms last_status_ = 0;
  Ms workers_silent_ms_ = 0, silence_counted_at_ = 0, probed_at_ = 0;  // see `listen`
  Counters counters_;
};

}  // namespace eiderreel
