// Encodes messages between controllers as Cap'n Proto, with one function per message type.
#include <capnp/message.h>
#include <capnp/serialize.h>

#include <cstdint>

#include "peer_messages.capnp.h"
#include "peer_rpc/messages.h"

namespace eiderreel::peer_rpc {
namespace {

// The size of a list as a 32-bit number, as Cap'n Proto has it. The cast cannot overflow, since the
// size limit of a frame is far lower.
template <class Elements>
unsigned list_size(const Elements& elements) {
  return static_cast<unsigned>(elements.size());
}

void write(wire::Envelope::Builder& envelope, const JobQuery& query) {
  auto out = envelope.initJobQuery();
  out.setNumber(query.request_id);
  out.setCancel(query.cancel);
  out.setJob(query.job);
}

void write(wire::Envelope::Builder& envelope, const JobQueryReply& reply) {
  auto out = envelope.initJobQueryReply();
  out.setNumber(reply.request_id);
  out.setStatus(static_cast<std::uint16_t>(reply.status));
  out.setBody(reply.body);
}

void write_conversion(wire::Conversion::Builder out, const ConversionProgress& conversion) {
  out.setValuesLeft(conversion.values_left);
  out.setValuesConverted(conversion.values_converted);
  out.setUnreadable(conversion.unreadable);
  out.setValuesPerS(conversion.values_per_s);
}

void write_unschedulable(wire::PartitionLoad::Builder out, const PartitionLoad& load) {
  auto list = out.initUnschedulable(list_size(load.unschedulable));
  unsigned i = 0;
  for (const auto& [job, cpus] : load.unschedulable) {
    list[i].setJob(job);
    list[i].setCpus(cpus);
    ++i;
  }
}

void write_load(wire::PartitionLoad::Builder out, int partition, const PartitionLoad& load) {
  out.setPartition(static_cast<std::uint16_t>(partition));
  out.setWaitingCpus(load.waiting_cpus);
  out.setWaitingSpotCpus(load.waiting_spot_cpus);
  out.setWaitingServiceCpus(load.waiting_service_cpus);
  out.setUsedCpus(load.used_cpus);
  out.setUsedServiceCpus(load.used_service_cpus);
  out.setTotalCpus(load.total_cpus);
  out.setWaitingCoreS(load.waiting_core_s);
  out.setSlackS(load.slack_s);
  out.setWaitS(load.start_objective_s);
  out.setIdleCpus(load.idle_cpus);
  out.setIdleSpotCpus(load.idle_spot_cpus);
  out.setReleasableCpus(load.releasable_cpus);
  out.setReleasableSpotCpus(load.releasable_spot_cpus);
  out.setIdleMachines(load.idle_machines);
  out.setSpotCpus(load.spot_cpus);
  out.setWaitedS(load.longest_wait_s);
  write_unschedulable(out, load);
}

void write(wire::Envelope::Builder& envelope, const PeerStatus& status) {
  auto out = envelope.initPeerStatus();
  out.setRequests(status.store_usage.requests_per_s);
  out.setChanges(status.store_usage.changes_per_s);
  out.setHearsWorkers(status.receives_heartbeats);
  out.setFeatures(status.features);
  if (status.conversion) write_conversion(out.initConversion(), *status.conversion);
  auto list = out.initPartitions(list_size(status.partition_loads));
  unsigned i = 0;
  for (const auto& [partition, load] : status.partition_loads)
    write_load(list[i++], partition, load);
}

void write(wire::Envelope::Builder& envelope, const TransferRequest& request) {
  auto out = envelope.initTransferRequest();
  out.setPartition(static_cast<std::uint16_t>(request.partition));
  out.setTo(static_cast<std::int16_t>(request.to_partition));
  out.setCpus(request.cpus);
  out.setSpot(request.spot);
}

void write(wire::Envelope::Builder& envelope, const MachinesTerminated& terminated) {
  auto list = envelope.initMachinesTerminated().initMachines(list_size(terminated.machines));
  unsigned i = 0;
  for (const auto& machine : terminated.machines) list.set(i++, machine);
}

void write(wire::Envelope::Builder& envelope, const CordonRequest& request) {
  auto out = envelope.initCordonRequest();
  out.setPartition(static_cast<std::uint16_t>(request.partition));
  out.setCpus(request.cpus);
  out.setDrain(request.drain);
}

void write(wire::Envelope::Builder& envelope, const VoteRequest& request) {
  auto out = envelope.initVoteRequest();
  out.setNumber(request.request_id);
  out.setTtlMs(request.ttl);
  out.setStoreRevision(request.store_revision);
  auto list = out.initPartitions(list_size(request.partitions));
  unsigned i = 0;
  for (const auto& [partition, revision] : request.partitions) {
    list[i].setPartition(static_cast<std::uint16_t>(partition));
    list[i].setRevision(revision);
    ++i;
  }
}

void write(wire::Envelope::Builder& envelope, const Vote& vote) {
  auto out = envelope.initVote();
  out.setNumber(vote.request_id);
  out.setGranted(vote.granted);
  auto list = out.initFinished(list_size(vote.finished));
  unsigned i = 0;
  for (const auto& finished : vote.finished) {
    list[i].setJob(finished.id);
    list[i].setRevision(finished.revision);
    list[i].setCancelled(finished.phase == JobPhase::cancelled);
    ++i;
  }
}

}  // namespace

std::string encode(const Message& message) {
  capnp::MallocMessageBuilder builder;
  auto envelope = builder.initRoot<wire::Envelope>();
  envelope.setFrom(message.from);
  std::visit([&](const auto& body) { write(envelope, body); }, message.body);
  auto words = capnp::messageToFlatArray(builder);
  auto bytes = words.asBytes();
  return {reinterpret_cast<const char*>(bytes.begin()), bytes.size()};
}

}  // namespace eiderreel::peer_rpc
