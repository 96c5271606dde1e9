// Messages between nodes, as values; their form on the wire is Cap'n Proto (peer_messages.capnp).
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

/// A user's poll or cancellation, passed on to the leader of the job's partition.
struct JobQuery {
  std::uint64_t number = 0;  // of the question; the reply carries it too
  bool cancel = false;       // else a poll
  std::string job;
};

/// The answer to a JobQuery.
struct JobQueryReply {
  std::uint64_t number = 0;
  int status = 0;  // of HTTP; 0: the node that was asked is not entitled to answer
  std::string body;
};

/// What each node tells all others at a steady pace.
struct PeerStatus {
  std::vector<std::pair<int, PartitionLoad>> partition_loads;
  StoreUsage use;              // of the state store by the sender
  bool hears_workers = true;   // whether the sender hears of workers
  std::uint64_t features = 0;  // of the sender's build, see constants::kBuildFeatureBits
  // Nothing: the sender takes no part in cluster versions.
  std::optional<ConversionProgress> conversion = std::nullopt;
};

/// The cluster leader's advice to a partition's leader: give idle machines to another partition.
struct TransferRequest {
  int partition = 0;
  int to = -1;        // -1: release them, to be returned to the cloud
  double cpus = 0;    // up to so many; the receiver chooses the machines
  bool spot = false;  // of spot machines, else of on-demand ones
};

/// Machines that the cloud has said to be gone.
struct MachinesTerminated {
  std::vector<std::string> machines;
};

/// The cluster leader's advice to a partition's leader: let machines run empty.
struct CordonRequest {
  int partition = 0;
  double cpus = 0;     // about so many; holds for a few seconds
  bool drain = false;  // also machines with services, which move to others
};

/// Asks for a promise not to claim the sender's partitions for a time.
struct VoteRequest {
  std::uint64_t number = 0;  // of the request; the vote carries it too
  Ms ttl = 0;
  std::vector<std::pair<int, std::uint64_t>> partitions;  // the sender's, with their revisions
  std::uint64_t store_revision = 0;                       // of the sender's view
};

/// The answer to a VoteRequest.
struct Vote {
  std::uint64_t number = 0;
  bool granted = false;
  std::vector<FinishedJob> finished;  // all that ended after the asker's store revision
};

/// The content of a message, without its sender.
using Body = std::variant<JobQuery, JobQueryReply, PeerStatus, TransferRequest, VoteRequest, Vote,
                          MachinesTerminated, CordonRequest>;

/// A message, and the name of the node that sent it.
struct Message {
  std::string from;
  Body body;
};

/// The frame of a message, without its length.
std::string encode(const Message& message);
/// The message in a frame without its length. Frames of other builds are read as far as known.
codec::Decoded<Message> decode(const std::string& bytes);

}  // namespace eiderreel::peer_rpc
