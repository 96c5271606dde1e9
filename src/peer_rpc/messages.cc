#include "peer_rpc/messages.h"

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <kj/exception.h>

#include <cstring>

#include "peer_messages.capnp.h"

namespace eiderreel::peer_rpc {
namespace {

template <class Builder>
void put_names(Builder list, const std::vector<std::string>& names) {
  for (std::size_t i = 0; i < names.size(); ++i) list.set(static_cast<unsigned>(i), names[i]);
}

std::vector<std::string> names(capnp::List<capnp::Text>::Reader list) {
  std::vector<std::string> out;
  for (auto n : list) out.emplace_back(n.cStr(), n.size());
  return out;
}

struct Encoder {
  wire::Envelope::Builder e;
  void operator()(const JobQuery& m) {
    auto b = e.initJobQuery();
    b.setNumber(m.number);
    b.setCancel(m.cancel);
    b.setJob(m.job);
  }
  void operator()(const JobQueryReply& m) {
    auto b = e.initJobQueryReply();
    b.setNumber(m.number);
    b.setStatus(static_cast<std::uint16_t>(m.status));
    b.setBody(m.body);
  }
  void operator()(const PeerStatus& m) {
    auto status = e.initPeerStatus();
    status.setRequests(m.use.requests);
    status.setChanges(m.use.changes);
    status.setHearsWorkers(m.hears_workers);
    status.setFeatures(m.features);
    if (m.conversion) {
      auto conversion = status.initConversion();
      conversion.setValuesLeft(m.conversion->values_left);
      conversion.setValuesConverted(m.conversion->values_converted);
      conversion.setUnreadable(m.conversion->unreadable);
      conversion.setValuesPerS(m.conversion->values_per_s);
    }
    auto list = status.initPartitions(static_cast<unsigned>(m.partition_loads.size()));
    for (unsigned i = 0; i < m.partition_loads.size(); ++i) {
      const auto& [partition, n] = m.partition_loads[i];
      auto b = list[i];
      b.setPartition(static_cast<std::uint16_t>(partition));
      b.setWaitingCpus(n.waiting_cpus);
      b.setWaitingSpotCpus(n.waiting_spot_cpus);
      b.setWaitingServiceCpus(n.waiting_service_cpus);
      b.setUsedCpus(n.used_cpus);
      b.setUsedServiceCpus(n.used_service_cpus);
      b.setTotalCpus(n.total_cpus);
      b.setWaitingCoreS(n.waiting_core_s);
      b.setSlackS(n.slack_s);
      b.setWaitS(n.wait_s);
      b.setIdleCpus(n.idle_cpus);
      b.setIdleSpotCpus(n.idle_spot_cpus);
      b.setReleasableCpus(n.releasable_cpus);
      b.setReleasableSpotCpus(n.releasable_spot_cpus);
      b.setIdleMachines(n.idle_machines);
      b.setSpotCpus(n.spot_cpus);
      b.setWaitedS(n.waited_s);
      auto unschedulable = b.initUnschedulable(static_cast<unsigned>(n.unschedulable.size()));
      for (unsigned s = 0; s < n.unschedulable.size(); ++s) {
        unschedulable[s].setJob(n.unschedulable[s].first);
        unschedulable[s].setCpus(n.unschedulable[s].second);
      }
    }
  }
  void operator()(const TransferRequest& m) {
    auto b = e.initTransferRequest();
    b.setPartition(static_cast<std::uint16_t>(m.partition));
    b.setTo(static_cast<std::int16_t>(m.to));
    b.setCpus(m.cpus);
    b.setSpot(m.spot);
  }
  void operator()(const MachinesTerminated& m) {
    put_names(e.initMachinesTerminated().initMachines(static_cast<unsigned>(m.machines.size())),
              m.machines);
  }
  void operator()(const CordonRequest& m) {
    auto b = e.initCordonRequest();
    b.setPartition(static_cast<std::uint16_t>(m.partition));
    b.setCpus(m.cpus);
    b.setDrain(m.drain);
  }
  void operator()(const VoteRequest& m) {
    auto b = e.initVoteRequest();
    b.setNumber(m.number);
    b.setTtlMs(m.ttl);
    b.setStoreRevision(m.store_revision);
    auto list = b.initPartitions(static_cast<unsigned>(m.partitions.size()));
    for (unsigned i = 0; i < m.partitions.size(); ++i) {
      list[i].setPartition(static_cast<std::uint16_t>(m.partitions[i].first));
      list[i].setRevision(m.partitions[i].second);
    }
  }
  void operator()(const Vote& m) {
    auto b = e.initVote();
    b.setNumber(m.number);
    b.setGranted(m.granted);
    auto finished = b.initFinished(static_cast<unsigned>(m.finished.size()));
    for (unsigned i = 0; i < m.finished.size(); ++i) {
      finished[i].setJob(m.finished[i].id);
      finished[i].setRevision(m.finished[i].revision);
      finished[i].setCancelled(m.finished[i].phase == JobPhase::cancelled);
    }
  }
};

PeerStatus read_peer_status(wire::PeerStatus::Reader r) {
  PeerStatus s;
  s.use = {r.getRequests(), r.getChanges()};
  s.hears_workers = r.getHearsWorkers();
  s.features = r.getFeatures();
  if (r.hasConversion()) {
    const auto c = r.getConversion();
    s.conversion = ConversionProgress{c.getValuesLeft(), c.getValuesConverted(), c.getUnreadable(),
                                      c.getValuesPerS()};
  }
  for (auto b : r.getPartitions()) {
    PartitionLoad n;
    n.waiting_cpus = b.getWaitingCpus();
    n.waiting_spot_cpus = b.getWaitingSpotCpus();
    n.waiting_service_cpus = b.getWaitingServiceCpus();
    n.used_cpus = b.getUsedCpus();
    n.used_service_cpus = b.getUsedServiceCpus();
    n.total_cpus = b.getTotalCpus();
    n.waiting_core_s = b.getWaitingCoreS();
    n.slack_s = b.getSlackS();
    n.wait_s = b.getWaitS();
    n.idle_cpus = b.getIdleCpus();
    n.idle_spot_cpus = b.getIdleSpotCpus();
    n.releasable_cpus = b.getReleasableCpus();
    n.releasable_spot_cpus = b.getReleasableSpotCpus();
    n.idle_machines = b.getIdleMachines();
    n.spot_cpus = b.getSpotCpus();
    n.waited_s = b.getWaitedS();
    for (auto st : b.getUnschedulable())
      n.unschedulable.emplace_back(st.getJob().cStr(), st.getCpus());
    s.partition_loads.emplace_back(b.getPartition(), std::move(n));
  }
  return s;
}

VoteRequest read_vote_request(wire::VoteRequest::Reader r) {
  VoteRequest a{r.getNumber(), r.getTtlMs(), {}, r.getStoreRevision()};
  for (auto p : r.getPartitions()) a.partitions.emplace_back(p.getPartition(), p.getRevision());
  return a;
}

Vote read_vote(wire::Vote::Reader r) {
  Vote p{r.getNumber(), r.getGranted(), {}};
  for (auto c : r.getFinished())
    p.finished.push_back({c.getJob().cStr(),
                          c.getCancelled() ? JobPhase::cancelled : JobPhase::done,
                          c.getRevision()});
  return p;
}

Message read(wire::Envelope::Reader e) {
  Message m;
  m.from = e.getFrom().cStr();
  switch (e.which()) {
    case wire::Envelope::JOB_QUERY:
      m.body = JobQuery{e.getJobQuery().getNumber(), e.getJobQuery().getCancel(),
                        e.getJobQuery().getJob().cStr()};
      break;
    case wire::Envelope::JOB_QUERY_REPLY:
      m.body = JobQueryReply{e.getJobQueryReply().getNumber(), e.getJobQueryReply().getStatus(),
                             e.getJobQueryReply().getBody().cStr()};
      break;
    case wire::Envelope::PEER_STATUS:
      m.body = read_peer_status(e.getPeerStatus());
      break;
    case wire::Envelope::TRANSFER_REQUEST:
      m.body =
          TransferRequest{e.getTransferRequest().getPartition(), e.getTransferRequest().getTo(),
                          e.getTransferRequest().getCpus(), e.getTransferRequest().getSpot()};
      break;
    case wire::Envelope::MACHINES_TERMINATED:
      m.body = MachinesTerminated{names(e.getMachinesTerminated().getMachines())};
      break;
    case wire::Envelope::CORDON_REQUEST:
      m.body = CordonRequest{e.getCordonRequest().getPartition(), e.getCordonRequest().getCpus(),
                             e.getCordonRequest().getDrain()};
      break;
    case wire::Envelope::VOTE_REQUEST:
      m.body = read_vote_request(e.getVoteRequest());
      break;
    case wire::Envelope::VOTE:
      m.body = read_vote(e.getVote());
      break;
  }
  return m;
}

}  // namespace

std::string encode(const Message& m) {
  capnp::MallocMessageBuilder builder;
  auto e = builder.initRoot<wire::Envelope>();
  e.setFrom(m.from);
  std::visit(Encoder{e}, m.body);
  auto words = capnp::messageToFlatArray(builder);
  auto bytes = words.asBytes();
  return {reinterpret_cast<const char*>(bytes.begin()), bytes.size()};
}

std::optional<Message> decode(const std::string& bytes) {
  if (bytes.empty() || bytes.size() % sizeof(capnp::word) != 0) return std::nullopt;
  auto words = kj::heapArray<capnp::word>(bytes.size() / sizeof(capnp::word));
  std::memcpy(words.begin(), bytes.data(), bytes.size());
  std::optional<Message> out;
  // A malformed frame is met by kj's own guard against bad input, not by a crash.
  auto bad = kj::runCatchingExceptions([&] {
    capnp::FlatArrayMessageReader reader(words);
    out = read(reader.getRoot<wire::Envelope>());
  });
  if (bad != nullptr) return std::nullopt;
  return out;
}

}  // namespace eiderreel::peer_rpc
