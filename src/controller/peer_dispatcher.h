// Sending of messages to the other controllers, and dispatching of received messages.
#pragma once
#include <string>

#include "api/job_api.h"
#include "leadership/partition_leader.h"
#include "peer_rpc/messages.h"
#include "runtime/runtime.h"

namespace eiderreel {

/// Sends peer messages, and passes each received message to the component that handles its type.
class PeerDispatcher {
 public:
  PeerDispatcher(Runtime& runtime, const Settings& settings, PartitionLeader& partition_leader,
                 JobApi& job_api)
      : runtime_(runtime),
        settings_(settings),
        partition_leader_(partition_leader),
        job_api_(job_api) {}

  /// Sends a message to one peer, best effort.
  void send(const std::string& node, const peer_rpc::Body& body);
  /// Sends a message to all peers, best effort.
  void broadcast(const peer_rpc::Body& body);
  /// Dispatches a message received from a peer. A malformed message is logged and dropped.
  void receive(const std::string& bytes);

 private:
  struct Visitor;

  Runtime& runtime_;
  const Settings& settings_;
  PartitionLeader& partition_leader_;
  JobApi& job_api_;
};

}  // namespace eiderreel
