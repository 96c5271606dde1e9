// The job API. Every node serves users' requests, whichever node leads the job's partition.
#pragma once
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "api/job_submission.h"
#include "api/user_request_metrics.h"
#include "leadership/job_query.h"
#include "leadership/partition_leader.h"
#include "state_store/state_store_client.h"

namespace eiderreel {

/// Answers users' submissions, polls and cancellations. A job is looked up in the final records of
/// the view, then at the leader of its partition, then in the state store.
class JobApi {
 public:
  /// Callbacks into the controller.
  struct Hooks {
    /// Sends a job query to a peer over the peer links.
    std::function<void(const std::string& node, const peer_rpc::JobQuery&)> query_peer;
  };
  using Counters = UserRequestMetrics::Counters;

  JobApi(Runtime& runtime, const Settings& settings, StateStoreClient& state_store,
         PartitionLeader& partition_leader);
  /// Must be called before the first request.
  void start(Hooks hooks) { hooks_ = std::move(hooks); }

  // --- messages ---
  /// POST /v1/jobs with this body.
  void submit(const std::string& body, Reply reply);
  /// GET /v1/jobs/{id}.
  void poll(const std::string& id, Reply reply);
  /// POST /v1/jobs/{id}/cancel.
  void cancel(const std::string& id, Reply reply);
  /// Handles a peer's reply to a job query; a reply after the timeout is ignored.
  void on_query_reply(const peer_rpc::JobQueryReply& answer);
  /// Sets the machine types of the cloud; called each time they are read.
  void set_machine_types(const std::vector<MachineType>& types) {
    submission_.set_machine_types(types);
  }

  /// Whether this node can serve users.
  bool ready() const {
    return state_store_.view().ready && submission_.has_machine_types() &&
           state_store_.standby_reason().empty();
  }
  /// Requests by reply status, and their latencies.
  const Counters& counters() const { return metrics_.counters(); }

 private:
  // Queries the leader of a job in the view, which is this node or a peer.
  void query_leader(const std::string& id, bool cancel, JobQueryDone done);
  void finish_query(std::uint64_t number, JobQueryResult result);
  void look_up_if_valid(const std::string& id, bool cancel, const Reply& reply);
  void look_up(const std::string& id, bool cancel, const Reply& reply);
  static void reply_final(const std::string& id, JobPhase phase, bool cancel, const Reply& reply);
  // A reply about an open job, from a query sent at `requested_at` (monotonic time).
  struct OpenJobReply {
    Ms requested_at = 0;
    int status = 0;
    std::string body;
  };
  static OpenJobReply make_queued_reply(const std::string& id, Ms requested_at);
  void reply_open_job(const std::string& id, bool cancel, OpenJobReply answer,
                      const Reply& reply) const;
  void read_open_job(const std::string& id, bool cancel, const Reply& reply);
  void read_final_record(const std::string& id, bool cancel, const Reply& reply);
  void reply_job_with_prerequisites(const std::string& id, const Reply& reply);

  Runtime& runtime_;
  const Settings& settings_;
  StateStoreClient& state_store_;
  PartitionLeader& partition_leader_;
  UserRequestMetrics metrics_;
  JobSubmission submission_;
  Hooks hooks_;
  std::uint64_t last_query_number_ = 0;
  std::map<std::uint64_t, JobQueryDone> pending_queries_;  // by query number
};

}  // namespace eiderreel
