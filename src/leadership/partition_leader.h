// The part owner: claims parts, keeps their grants in mind, answers reports and asks of its parts.
// It alone speaks for a part, and only while its grant is surely alive.
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

class Owner {
 public:
  struct Hooks {
    // An unknown machine has reported here, and we lead: assign it.
    std::function<void(const Report&, Reply)> assign;
    // News of load for the leader and the hand-back.
    std::function<void(const mesh::Body&)> broadcast;
  };
  struct Counters {
    std::uint64_t claims = 0, handed_back = 0, reports = 0, stale_reports = 0, deferred = 0;
    std::uint64_t starts = 0, leases_over = 0;
    std::uint64_t preemptions = 0;
  };

  Owner(Runtime& rt, const Settings& s, StateStoreClient& state_store);
  void start(Hooks hooks) { hooks_ = std::move(hooks); }
  void tick();

  // --- messages ---
  void report(const Report& r, Reply reply);
  void ask(const mesh::Ask& a, Reply reply);  // status 0: not entitled to answer
  void move(const mesh::Move& m);
  void shed(const mesh::Shed& s);
  void peer_status(const std::string& node, const mesh::Status& s);
  void machines_gone(const std::vector<std::string>& machines);
  void job_opened(const std::string& id);
  void job_ready(const std::string& id);
  void job_closed(const std::string& id);
  void urgency_changed(const std::string& id);
  void machine_changed(const std::string& id);
  void part_changed(int part);
  void grant_lost();
  // A peer asks us not to claim its parts for a while; what we promise, and what we hand over.
  mesh::Promise give_promise(const std::string& node, const mesh::PromiseRequest& a);
  void take_promise(const std::string& node, const mesh::Promise& p);
  void types_known(const std::vector<MachineType>& types);

  // --- what others may know ---
  bool acting(int part) const;
  bool leading() const { return acting(0); }
  bool peer_alive(const std::string& node) const;
  // Whether a peer is known to run a build that knows no prerequisites. A peer of which nothing is
  // known is none: it may be away for long.
  bool has_old_peer() const;
  // The newest need of every part, ours and the peers'.
  std::map<int, PartNeed> needs() const;
  std::map<int, const Part*> parts() const;
  const Counters& counters() const { return counters_; }
  // How far the conversion of stored progress has come in our partitions; nothing where cluster
  // versions are disabled.
  std::optional<ConversionProgress> conversion() const;
  // The same of a peer, if it is heard and tells it.
  std::optional<ConversionProgress> peer_conversion(const std::string& node) const;
  // Partitions of which no owner is heard, here or among the peers.
  std::vector<int> unheard_parts() const;

 private:
  struct DeferredReply {
    Reply reply;
    Ms until = 0;
  };
  struct HeldReport {  // one that no controller can answer until a part has an owner again
    Report report;
    int part = 0;
    Reply reply;
    Ms until = 0;
  };
  struct FinalCommit {
    JobPhase phase = JobPhase::done;
    Commit commit;
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
  struct Owned {
    std::unique_ptr<Part> core;
    bool active = false;
    std::map<std::string, DeferredReply> deferred;
    // The reply that this machine waits for, no longer deferred; null: it waits for none.
    Reply take_deferred(const std::string& machine);
    std::map<std::string, JobPersistence> persistence;
    std::vector<std::string> unused_keys;  // to be deleted, see `sweep`
    Ms look_for_conversion_at = 0;         // nothing was left to convert when last looked for
  };
  struct PeerNews {
    Ms at = 0;
    mesh::Status status;
  };

  void dispatch(const Report& r, Reply reply);
  void redirect(const Report& r, int part, Reply reply);
  bool owner_silent(int part) const;
  void name_owner(int part, const Reply& reply) const;
  void release_held_reports();
  bool entitled() const;
  void request_promises();
  Owned* owned(int part);
  Owned* acting_owned(int part);
  int part_of_job(const std::string& id) const;
  void claim_vacant();
  void claim(int part);
  void activate(int part, std::uint64_t revision);
  void load_done(int part, std::uint64_t revision);
  void hand_back();
  void hand_over(int part, const char* reason);
  bool settled() const;
  void listen();
  bool hears() const;
  bool has_lost_workers(const std::string& node) const;
  void hand_over_if_workers_lost();
  void give_up(int part, std::uint64_t revision);
  void drop(int part, const char* reason);
  void answer(Owned& o, const std::string& machine, std::vector<Command> commands, Reply reply);
  void pump(Owned& o);
  void give_away(int part, int to, const std::vector<std::string>& machines);
  void send_move(int part, std::uint64_t term, const std::vector<std::string>& machines, Commit c);
  void move_again(int part, std::uint64_t term, const std::vector<std::string>& machines,
                  const Commit& c);
  void send_kills(Owned& o);
  void kill_again(int part, std::uint64_t term, const std::string& machine);
  void open_in(Owned& o, const std::string& id, const std::vector<std::uint32_t>& done);
  void log_waiting(const std::string& id) const;
  void ask_waiting(int part, const mesh::Ask& a, Reply reply);
  void commit_finals_of_waiting(int part, Owned& o);
  void record_implied(int part, Owned& o);
  void sweep(int part, Owned& o);
  void persist(int part, Owned& o);
  void persist_progress(int part, Owned& o, const std::string& id);
  void convert_progress(int part, Owned& o);
  upgrade::ProgressOfJob progress_of(int part, const Owned& o, const std::string& id) const;
  void commit_progress(int part, Owned& o, const std::string& id, const std::string& nonce,
                       upgrade::ProgressBatch batch, bool conversion);
  void progress_committed(int part, const std::string& id, const upgrade::ProgressBatch& batch,
                          std::uint64_t revision);
  void read_progress_again(int part, const std::string& id, const upgrade::ProgressBatch& batch);
  void commit_final(int part, const std::string& id, Reply reply);
  void final_committed(int part, const std::string& id, std::uint64_t term, Outcome out,
                       JobPhase phase, const Reply& reply);
  bool may_promise(const std::string& node, const mesh::PromiseRequest& a) const;
  std::vector<codec::Precondition> job_preconditions(int part, const std::string& id) const;

  Runtime& rt_;
  const Settings& s_;
  StateStoreClient& state_store_;
  Hooks hooks_;
  std::map<int, Owned> owned_;
  std::map<std::string, HeldReport> held_reports_;  // by machine
  std::map<int, Ms> vacant_since_;
  std::map<int, std::string> last_owner_;
  std::set<int> claiming_;                  // a claim of ours is on its way
  std::set<int> in_doubt_;                  // one may still land, for as long as our grant lasts
  std::map<int, Ms> promised_to_peers_;     // parts that we must not claim until then
  std::map<int, std::uint64_t> giving_up_;  // dropped by us, their keys (revisions) not yet deleted
  // Promises of peers to us: the sending time of the question, and until when each holds.
  std::map<std::uint64_t, Ms> promise_requests_;
  std::map<std::string, Ms> peer_promises_;
  Ms promises_requested_at_ = 0, started_ = 0;
  std::uint64_t next_promise_request_ = 0;
  std::map<std::string, PeerNews> peers_;
  std::vector<MachineType> types_;
  upgrade::ConversionPace conversion_pace_;
  bool sweeping_ = false;
  Ms last_status_ = 0;
  Ms silent_ = 0, listened_at_ = 0, probed_at_ = 0;  // see `listen`
  Counters counters_;
};

}  // namespace eiderreel
