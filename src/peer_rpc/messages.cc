#include "peer_rpc/messages.h"

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <kj/exception.h>

#include <cstring>

#include "peer_messages.capnp.h"

namespace eiderreel::mesh {
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
  void operator()(const Ask& m) {
    auto b = e.initAsk();
    b.setNumber(m.number);
    b.setCancel(m.cancel);
    b.setJob(m.job);
  }
  void operator()(const Answer& m) {
    auto b = e.initAnswer();
    b.setNumber(m.number);
    b.setStatus(static_cast<std::uint16_t>(m.status));
    b.setBody(m.body);
  }
  void operator()(const Status& m) {
    auto status = e.initStatus();
    status.setRequests(m.use.requests);
    status.setChanges(m.use.changes);
    status.setHears(m.hears);
    status.setFeatures(m.features);
    if (m.conversion) {
      auto conversion = status.initConversion();
      conversion.setValuesLeft(m.conversion->values_left);
      conversion.setValuesConverted(m.conversion->values_converted);
      conversion.setUnreadable(m.conversion->unreadable);
      conversion.setValuesPerS(m.conversion->values_per_s);
    }
    auto list = status.initParts(static_cast<unsigned>(m.parts.size()));
    for (unsigned i = 0; i < m.parts.size(); ++i) {
      const auto& [part, n] = m.parts[i];
      auto b = list[i];
      b.setPart(static_cast<std::uint16_t>(part));
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
      b.setRestedCpus(n.rested_cpus);
      b.setRestedSpotCpus(n.rested_spot_cpus);
      b.setIdleMachines(n.idle_machines);
      b.setSpotCpus(n.spot_cpus);
      b.setWaitedS(n.waited_s);
      auto unplaceable = b.initUnplaceable(static_cast<unsigned>(n.unplaceable.size()));
      for (unsigned s = 0; s < n.unplaceable.size(); ++s) {
        unplaceable[s].setJob(n.unplaceable[s].first);
        unplaceable[s].setCpus(n.unplaceable[s].second);
      }
    }
  }
  void operator()(const Move& m) {
    auto b = e.initMove();
    b.setPart(static_cast<std::uint16_t>(m.part));
    b.setTo(static_cast<std::int16_t>(m.to));
    b.setCpus(m.cpus);
    b.setSpot(m.spot);
  }
  void operator()(const Gone& m) {
    put_names(e.initGone().initMachines(static_cast<unsigned>(m.machines.size())), m.machines);
  }
  void operator()(const Shed& m) {
    auto b = e.initShed();
    b.setPart(static_cast<std::uint16_t>(m.part));
    b.setCpus(m.cpus);
    b.setDrain(m.drain);
  }
  void operator()(const PromiseRequest& m) {
    auto b = e.initPromiseRequest();
    b.setNumber(m.number);
    b.setLifeMs(m.life);
    b.setLedger(m.store_revision);
    auto list = b.initParts(static_cast<unsigned>(m.parts.size()));
    for (unsigned i = 0; i < m.parts.size(); ++i) {
      list[i].setPart(static_cast<std::uint16_t>(m.parts[i].first));
      list[i].setStamp(m.parts[i].second);
    }
  }
  void operator()(const Promise& m) {
    auto b = e.initPromise();
    b.setNumber(m.number);
    b.setGiven(m.given);
    auto closed = b.initClosed(static_cast<unsigned>(m.closed.size()));
    for (unsigned i = 0; i < m.closed.size(); ++i) {
      closed[i].setJob(m.closed[i].id);
      closed[i].setStamp(m.closed[i].revision);
      closed[i].setCancelled(m.closed[i].phase == JobPhase::cancelled);
    }
  }
};

Status read_status(wire::Status::Reader r) {
  Status s;
  s.use = {r.getRequests(), r.getChanges()};
  s.hears = r.getHears();
  s.features = r.getFeatures();
  if (r.hasConversion()) {
    const auto c = r.getConversion();
    s.conversion = ConversionProgress{c.getValuesLeft(), c.getValuesConverted(), c.getUnreadable(),
                                      c.getValuesPerS()};
  }
  for (auto b : r.getParts()) {
    PartNeed n;
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
    n.rested_cpus = b.getRestedCpus();
    n.rested_spot_cpus = b.getRestedSpotCpus();
    n.idle_machines = b.getIdleMachines();
    n.spot_cpus = b.getSpotCpus();
    n.waited_s = b.getWaitedS();
    for (auto st : b.getUnplaceable()) n.unplaceable.emplace_back(st.getJob().cStr(), st.getCpus());
    s.parts.emplace_back(b.getPart(), std::move(n));
  }
  return s;
}

PromiseRequest read_promise_request(wire::PromiseRequest::Reader r) {
  PromiseRequest a{r.getNumber(), r.getLifeMs(), {}, r.getLedger()};
  for (auto p : r.getParts()) a.parts.emplace_back(p.getPart(), p.getStamp());
  return a;
}

Promise read_promise(wire::Promise::Reader r) {
  Promise p{r.getNumber(), r.getGiven(), {}};
  for (auto c : r.getClosed())
    p.closed.push_back(
        {c.getJob().cStr(), c.getCancelled() ? JobPhase::cancelled : JobPhase::done, c.getStamp()});
  return p;
}

Message read(wire::Envelope::Reader e) {
  Message m;
  m.from = e.getFrom().cStr();
  switch (e.which()) {
    case wire::Envelope::ASK:
      m.body = Ask{e.getAsk().getNumber(), e.getAsk().getCancel(), e.getAsk().getJob().cStr()};
      break;
    case wire::Envelope::ANSWER:
      m.body = Answer{e.getAnswer().getNumber(), e.getAnswer().getStatus(),
                      e.getAnswer().getBody().cStr()};
      break;
    case wire::Envelope::STATUS:
      m.body = read_status(e.getStatus());
      break;
    case wire::Envelope::MOVE:
      m.body = Move{e.getMove().getPart(), e.getMove().getTo(), e.getMove().getCpus(),
                    e.getMove().getSpot()};
      break;
    case wire::Envelope::GONE:
      m.body = Gone{names(e.getGone().getMachines())};
      break;
    case wire::Envelope::SHED:
      m.body = Shed{e.getShed().getPart(), e.getShed().getCpus(), e.getShed().getDrain()};
      break;
    case wire::Envelope::PROMISE_REQUEST:
      m.body = read_promise_request(e.getPromiseRequest());
      break;
    case wire::Envelope::PROMISE:
      m.body = read_promise(e.getPromise());
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

}  // namespace eiderreel::mesh
