// The job API: what users ask of this node, whoever owns the partition in question.
#pragma once
#include <map>
#include <string>

#include "api/job_admission.h"
#include "leadership/job_query.h"
#include "leadership/partition_leader.h"
#include "observability/latency_histogram.h"
#include "state_store/state_store_client.h"

namespace eiderreel {

class JobApi {
 public:
  struct Hooks {
    // Sends a question to a peer over the peer links.
    std::function<void(const std::string& node, const peer_rpc::JobQuery&)> query_peer;
  };
  struct Counters {
    std::map<int, std::uint64_t> submits, polls, cancels;  // by status
    LatencyHistogram submit_latency, poll_latency, cancel_latency;
  };

  JobApi(Runtime& runtime, const Settings& settings, StateStoreClient& state_store,
         PartitionLeader& partition_leader);
  void start(Hooks hooks) { hooks_ = std::move(hooks); }

  // --- messages ---
  void submit(const std::string& body, Reply reply);
  void poll(const std::string& id, Reply reply);
  void cancel(const std::string& id, Reply reply);
  void on_query_reply(const peer_rpc::JobQueryReply& answer);
  void types_known(const std::vector<MachineType>& types) { types_ = types; }

  bool ready() const {
    return state_store_.view().ready && !types_.empty() && state_store_.standby_reason().empty();
  }
  const Counters& counters() const { return counters_; }

 private:
  Reply counted(std::map<int, std::uint64_t>& by_status, LatencyHistogram& latency, Reply reply);
  // Asks the leader of a job in the view, here or over the peer links.
  void query_leader(const std::string& id, bool cancel, JobQueryDone done);
  void finish_query(std::uint64_t number, JobQueryResult result);
  void look_up(const std::string& id, bool cancel, Reply reply);
  void reply_final(const std::string& id, JobPhase phase, bool cancel, const Reply& reply) const;
  // What is known of an open job, from a question that was asked at `asked_at`.
  struct OpenJobReply {
    Ms asked_at = 0;
    int status = 0;
    std::string body;
  };
  void reply_open(const std::string& id, bool cancel, OpenJobReply answer,
                  const Reply& reply) const;
  void read_open(const std::string& id, bool cancel, Reply reply);
  void reply_waiting(const std::string& id, const Reply& reply);
  void reply_admission(const std::string& id, AdmissionResult admission, const Reply& reply);
  void refuse_if_unknown(const std::string& id, std::string error, Reply reply);
  std::string can_never_run(const JobSpec& j) const;

  Runtime& runtime_;
  const Settings& settings_;
  StateStoreClient& state_store_;
  PartitionLeader& partition_leader_;
  JobAdmission admission_;
  Hooks hooks_;
  std::vector<MachineType> types_;
  std::uint64_t next_query_ = 0;
  std::map<std::uint64_t, JobQueryDone> pending_queries_;  // by number
  Counters counters_;
};

}  // namespace eiderreel
