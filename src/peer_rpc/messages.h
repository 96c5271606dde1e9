// Messages between controllers as C++ values. peer_messages.capnp defines their wire format.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "codec/decode_error.h"
#include "model/job.h"
#include "model/load.h"

namespace eiderreel::peer_rpc {

/// A user's status poll or cancellation, forwarded to the leader of the job's partition.
struct JobQuery {
  std::uint64_t request_id = 0;  // returned in the reply
  bool cancel = false;           // true: cancel the job; false: poll its status
  std::string job;               // job id
};

/// The answer to a JobQuery.
struct JobQueryReply {
  std::uint64_t request_id = 0;  // of the JobQuery
  int status = 0;    // HTTP status; 0: the receiver of the query is not entitled to answer
  std::string body;  // JSON
};

/// The status that every controller broadcasts to all others periodically.
struct PeerStatus {
  std::vector<std::pair<int, PartitionLoad>>
      partition_loads;              // of partitions that the sender leads
  StoreUsage store_usage;           // the sender's use of the state store
  bool receives_heartbeats = true;  // whether workers' heartbeats reach the sender
  std::uint64_t features = 0;  // bit set of the sender's build, see constants::kBuildFeatureBits
  // Empty if the sender does not take part in cluster versions.
  std::optional<ConversionProgress> conversion = std::nullopt;
};

/// Advice of the cluster leader to a partition's leader to transfer idle machines to another
/// partition.
struct TransferRequest {
  int partition = 0;      // that gives the machines
  int to_partition = -1;  // -1: release the machines, to be returned to the cloud
  double cpus = 0;        // upper limit; the receiver chooses the machines
  bool spot = false;      // true: spot machines; false: on-demand machines
};

/// Machines that the cloud has reported as terminated.
struct MachinesTerminated {
  std::vector<std::string> machines;  // ids
};

/// Advice of the cluster leader to a partition's leader to cordon machines, so that they run empty.
struct CordonRequest {
  int partition = 0;
  double cpus = 0;     // approximate CPUs to cordon; the advice expires after a few seconds
  bool drain = false;  // true: also drain machines with services, which move to other machines
};

/// Requests a vote: a promise not to claim the sender's partitions for `ttl`.
struct VoteRequest {
  std::uint64_t request_id = 0;  // returned in the vote
  Ms ttl = 0;
  // Partitions that the sender leads, with the revisions of their claims.
  std::vector<std::pair<int, std::uint64_t>> partitions;
  std::uint64_t store_revision = 0;  // up to which the sender's view includes all changes
};

/// The answer to a VoteRequest.
struct Vote {
  std::uint64_t request_id = 0;  // of the VoteRequest
  bool granted = false;
  std::vector<FinishedJob> finished;  // jobs that ended after the requester's store revision
};

/// The payload of a message, without its sender.
using Body = std::variant<JobQuery, JobQueryReply, PeerStatus, TransferRequest, VoteRequest, Vote,
                          MachinesTerminated, CordonRequest>;

/// A message with the name of the sending controller.
struct Message {
  std::string from;
  Body body;
};

/// Encodes a message as a frame, without the length prefix.
std::string encode(const Message& message);
/// Decodes a message from a frame without its length prefix. Fields that this build does not know
/// are ignored.
codec::Decoded<Message> decode(const std::string& bytes);

}  // namespace eiderreel::peer_rpc
