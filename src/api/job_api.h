// The job API: what users ask of this node, whichever node leads the partition in question.
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
  /// What the API needs of the controller.
  struct Hooks {
    /// Sends a question to a peer over the peer links.
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
  /// A peer's answer to a question of ours; one that came too late is ignored.
  void on_query_reply(const peer_rpc::JobQueryReply& answer);
  /// The machine types of the cloud, each time they are read.
  void types_known(const std::vector<MachineType>& types) { submission_.types_known(types); }

  /// Whether this node can serve users.
  bool ready() const {
    return state_store_.view().ready && submission_.knows_types() &&
           state_store_.standby_reason().empty();
  }
  /// How many requests were answered with which status, and how long that took.
  const Counters& counters() const { return metrics_.counters(); }

 private:
  // Asks the leader of a job in the view, here or over the peer links.
  void query_leader(const std::string& id, bool cancel, JobQueryDone done);
  void finish_query(std::uint64_t number, JobQueryResult result);
  void look_up_valid(const std::string& id, bool cancel, const Reply& reply);
  void look_up(const std::string& id, bool cancel, const Reply& reply);
  static void reply_final(const std::string& id, JobPhase phase, bool cancel, const Reply& reply);
  // What is known of an open job, from a question that was asked at `asked_at`.
  struct OpenJobReply {
    Ms asked_at = 0;
    int status = 0;
    std::string body;
  };
  static OpenJobReply queued_reply(const std::string& id, Ms asked_at);
  void reply_open(const std::string& id, bool cancel, OpenJobReply answer,
                  const Reply& reply) const;
  void read_open(const std::string& id, bool cancel, const Reply& reply);
  void read_final(const std::string& id, bool cancel, const Reply& reply);
  void reply_waiting(const std::string& id, const Reply& reply);

  Runtime& runtime_;
  const Settings& settings_;
  StateStoreClient& state_store_;
  PartitionLeader& partition_leader_;
  UserRequestMetrics metrics_;
  JobSubmission submission_;
  Hooks hooks_;
  std::uint64_t next_query_ = 0;
  std::map<std::uint64_t, JobQueryDone> pending_queries_;  // by number
};

}  // namespace eiderreel
