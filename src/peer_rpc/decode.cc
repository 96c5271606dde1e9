// Decodes messages between controllers from Cap'n Proto, with one function per message type.
#include <capnp/message.h>
#include <capnp/serialize.h>
#include <kj/exception.h>

#include <cstring>
#include <optional>
#include <utility>

#include "peer_messages.capnp.h"
#include "peer_rpc/messages.h"

namespace eiderreel::peer_rpc {
namespace {

JobQuery read(wire::JobQuery::Reader in) {
  return {in.getNumber(), in.getCancel(), in.getJob().cStr()};
}

JobQueryReply read(wire::JobQueryReply::Reader in) {
  return {in.getNumber(), in.getStatus(), in.getBody().cStr()};
}

ConversionProgress read(wire::Conversion::Reader in) {
  return {in.getValuesLeft(), in.getValuesConverted(), in.getUnreadable(), in.getValuesPerS()};
}

PartitionLoad read(wire::PartitionLoad::Reader in) {
  PartitionLoad load;
  load.waiting_cpus = in.getWaitingCpus();
  load.waiting_spot_cpus = in.getWaitingSpotCpus();
  load.waiting_service_cpus = in.getWaitingServiceCpus();
  load.used_cpus = in.getUsedCpus();
  load.used_service_cpus = in.getUsedServiceCpus();
  load.total_cpus = in.getTotalCpus();
  load.waiting_core_s = in.getWaitingCoreS();
  load.slack_s = in.getSlackS();
  load.start_objective_s = in.getWaitS();
  load.idle_cpus = in.getIdleCpus();
  load.idle_spot_cpus = in.getIdleSpotCpus();
  load.releasable_cpus = in.getReleasableCpus();
  load.releasable_spot_cpus = in.getReleasableSpotCpus();
  load.idle_machines = in.getIdleMachines();
  load.spot_cpus = in.getSpotCpus();
  load.longest_wait_s = in.getWaitedS();
  for (auto job : in.getUnschedulable())
    load.unschedulable.emplace_back(job.getJob().cStr(), job.getCpus());
  return load;
}

PeerStatus read(wire::PeerStatus::Reader in) {
  PeerStatus status;
  status.store_usage = {in.getRequests(), in.getChanges()};
  status.receives_heartbeats = in.getHearsWorkers();
  status.features = in.getFeatures();
  if (in.hasConversion()) status.conversion = read(in.getConversion());
  for (auto load : in.getPartitions())
    status.partition_loads.emplace_back(load.getPartition(), read(load));
  return status;
}

TransferRequest read(wire::TransferRequest::Reader in) {
  return {in.getPartition(), in.getTo(), in.getCpus(), in.getSpot()};
}

MachinesTerminated read(wire::MachineList::Reader in) {
  MachinesTerminated terminated;
  for (auto machine : in.getMachines())
    terminated.machines.emplace_back(machine.cStr(), machine.size());
  return terminated;
}

CordonRequest read(wire::CordonRequest::Reader in) {
  return {in.getPartition(), in.getCpus(), in.getDrain()};
}

VoteRequest read(wire::VoteRequest::Reader in) {
  VoteRequest request{in.getNumber(), in.getTtlMs(), {}, in.getStoreRevision()};
  for (auto claim : in.getPartitions())
    request.partitions.emplace_back(claim.getPartition(), claim.getRevision());
  return request;
}

Vote read(wire::Vote::Reader in) {
  Vote vote{in.getNumber(), in.getGranted(), {}};
  for (auto job : in.getFinished()) {
    const JobPhase phase = job.getCancelled() ? JobPhase::cancelled : JobPhase::done;
    vote.finished.push_back({job.getJob().cStr(), phase, job.getRevision()});
  }
  return vote;
}

Body read_body(wire::Envelope::Reader envelope) {
  switch (envelope.which()) {
    case wire::Envelope::JOB_QUERY:
      return read(envelope.getJobQuery());
    case wire::Envelope::JOB_QUERY_REPLY:
      return read(envelope.getJobQueryReply());
    case wire::Envelope::PEER_STATUS:
      return read(envelope.getPeerStatus());
    case wire::Envelope::TRANSFER_REQUEST:
      return read(envelope.getTransferRequest());
    case wire::Envelope::MACHINES_TERMINATED:
      return read(envelope.getMachinesTerminated());
    case wire::Envelope::CORDON_REQUEST:
      return read(envelope.getCordonRequest());
    case wire::Envelope::VOTE_REQUEST:
      return read(envelope.getVoteRequest());
    case wire::Envelope::VOTE:
      return read(envelope.getVote());
  }
  // The message has a type that was added by a later build. It is decoded as an empty JobQuery, as
  // in earlier builds.
  return {};
}

codec::DecodeError decode_error(codec::DecodeFault fault, const std::string& detail) {
  return {fault, "", detail};
}

}  // namespace

codec::Decoded<Message> decode(const std::string& bytes) {
  using codec::DecodeFault;
  if (bytes.empty() || bytes.size() % sizeof(capnp::word) != 0)
    return tl::unexpected(decode_error(DecodeFault::not_whole_words, ""));
  auto words = kj::heapArray<capnp::word>(bytes.size() / sizeof(capnp::word));
  std::memcpy(words.begin(), bytes.data(), bytes.size());
  Message message;
  // kj throws an exception on malformed input; it is caught, so that a bad frame cannot crash the
  // process.
  auto exception = kj::runCatchingExceptions([&] {
    capnp::FlatArrayMessageReader reader(words);
    const auto envelope = reader.getRoot<wire::Envelope>();
    message.from = envelope.getFrom().cStr();
    message.body = read_body(envelope);
  });
  KJ_IF_MAYBE (failure, exception) {
    return tl::unexpected(
        decode_error(DecodeFault::malformed_message, failure->getDescription().cStr()));
  }
  return message;
}

}  // namespace eiderreel::peer_rpc
