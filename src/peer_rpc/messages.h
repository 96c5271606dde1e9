// Messages between nodes, as values; their form on the wire is Cap'n Proto (peer_messages.capnp).
#pragma once
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "scheduler/partition_scheduler.h"

namespace eiderreel::peer_rpc {

struct JobQuery {
  std::uint64_t number = 0;
  bool cancel = false;
  std::string job;
};
struct JobQueryReply {
  std::uint64_t number = 0;
  int status = 0;
  std::string body;
};
struct PeerStatus {
  std::vector<std::pair<int, PartitionLoad>> partition_loads;
  StoreUsage use;              // of the state store by the sender
  bool hears_workers = true;   // whether it hears of workers
  std::uint64_t features = 0;  // of the sender's build, see constants::kFeatures
  // Nothing: the sender takes no part in cluster versions.
  std::optional<ConversionProgress> conversion = std::nullopt;
};
struct TransferRequest {
  int partition = 0, to = -1;
  double cpus = 0;
  bool spot = false;
};
struct MachinesTerminated {  // machines that the cloud has said to be gone
  std::vector<std::string> machines;
};
struct CordonRequest {
  int partition = 0;
  double cpus = 0;
  bool drain = false;  // also machines with services
};
struct VoteRequest {
  std::uint64_t number = 0;
  Ms ttl = 0;
  std::vector<std::pair<int, std::uint64_t>> partitions;  // the sender's, with their revisions
  std::uint64_t store_revision = 0;                       // of the sender's view
};
struct Vote {
  std::uint64_t number = 0;
  bool granted = false;
  std::vector<FinishedJob> finished;  // all that ended after the asker's store revision
};

using Body = std::variant<JobQuery, JobQueryReply, PeerStatus, TransferRequest, VoteRequest, Vote,
                          MachinesTerminated, CordonRequest>;
struct Message {
  std::string from;
  Body body;
};

std::string encode(const Message& m);  // without the frame's length
std::optional<Message> decode(const std::string& bytes);

}  // namespace eiderreel::peer_rpc
