// Sending and dispatching of peer messages.
#include "controller/peer_dispatcher.h"

#include <spdlog/spdlog.h>

#include <utility>
#include <variant>

#include "leadership/job_query.h"
#include "runtime/http_status.h"

namespace eiderreel {
namespace {

// The peer message has no field for the reason of a failed query: status kNoAnswer stands for all.
peer_rpc::JobQueryReply job_query_reply(std::uint64_t number, const JobQueryResult& result) {
  if (!result) return {number, http_status::kNoAnswer, ""};
  return {number, result->status, result->body};
}

}  // namespace

void PeerDispatcher::send(const std::string& node, const peer_rpc::Body& body) {
  runtime_.send(node, peer_rpc::encode({settings_.node, body}));
}

void PeerDispatcher::broadcast(const peer_rpc::Body& body) {
  const std::string bytes = peer_rpc::encode({settings_.node, body});
  for (const auto& peer : settings_.peers) runtime_.send(peer.name, bytes);
}

struct PeerDispatcher::Visitor {
  PeerDispatcher& dispatcher;
  PartitionLeader& partition_leader;
  const std::string& from;

  void operator()(const peer_rpc::JobQuery& query) const {
    partition_leader.query_job(query, [peer_dispatcher = &dispatcher, from = from,
                                       number = query.request_id](const JobQueryResult& result) {
      peer_dispatcher->send(from, job_query_reply(number, result));
    });
  }
  void operator()(const peer_rpc::JobQueryReply& reply) const {
    dispatcher.job_api_.on_query_reply(reply);
  }
  void operator()(const peer_rpc::PeerStatus& status) const {
    partition_leader.peer_status(from, status);
  }
  void operator()(const peer_rpc::TransferRequest& request) const {
    partition_leader.transfer_machines(request);
  }
  void operator()(const peer_rpc::CordonRequest& request) const {
    partition_leader.cordon(request);
  }
  void operator()(const peer_rpc::MachinesTerminated& terminated) const {
    partition_leader.machines_terminated(terminated.machines);
  }
  void operator()(const peer_rpc::VoteRequest& request) const {
    dispatcher.send(from, partition_leader.vote_on(from, request));
  }
  void operator()(const peer_rpc::Vote& vote) const { partition_leader.receive_vote(from, vote); }
};

void PeerDispatcher::receive(const std::string& bytes) {
  const auto message = peer_rpc::decode(bytes);
  if (!message) {
    spdlog::warn("peer message malformed bytes={}", bytes.size());
    return;
  }
  std::visit(Visitor{*this, partition_leader_, message->from}, message->body);
}

}  // namespace eiderreel
