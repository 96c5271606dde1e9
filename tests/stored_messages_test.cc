// Guards against renamings in the source that change the messages between controllers: every
// message encoded by the source from before a renaming must be decoded, and encoded again to the
// same bytes. The fixture was generated once, by tests/measure/write_fixtures.cc; no test writes
// it.
#include <gtest/gtest.h>

#include <fstream>
#include <tuple>

#include "fixtures/stored_state.h"

using namespace eiderreel;
using namespace eiderreel::standin;

namespace {

auto fields(const peer_rpc::JobQuery& m) { return std::tie(m.request_id, m.cancel, m.job); }
auto fields(const peer_rpc::JobQueryReply& m) { return std::tie(m.request_id, m.status, m.body); }
auto fields(const peer_rpc::TransferRequest& m) {
  return std::tie(m.partition, m.to_partition, m.cpus, m.spot);
}
auto fields(const peer_rpc::MachinesTerminated& m) { return std::tie(m.machines); }
auto fields(const peer_rpc::CordonRequest& m) { return std::tie(m.partition, m.cpus, m.drain); }
auto fields(const peer_rpc::VoteRequest& m) {
  return std::tie(m.request_id, m.ttl, m.partitions, m.store_revision);
}
auto fields(const peer_rpc::Vote& m) {
  std::vector<std::tuple<std::string, JobPhase, std::uint64_t>> closed;
  for (const FinishedJob& job : m.finished) closed.emplace_back(job.id, job.phase, job.revision);
  return std::tuple(m.request_id, m.granted, closed);
}
auto fields(const PartitionLoad& n) {
  return std::tuple(
      std::tie(n.waiting_cpus, n.waiting_spot_cpus, n.waiting_service_cpus),
      std::tie(n.waiting_core_s, n.slack_s, n.start_objective_s, n.longest_wait_s, n.unschedulable),
      std::tie(n.used_cpus, n.used_service_cpus, n.total_cpus, n.spot_cpus),
      std::tie(n.idle_cpus, n.idle_spot_cpus, n.releasable_cpus, n.releasable_spot_cpus),
      n.idle_machines);
}
auto fields(const peer_rpc::PeerStatus& m) {
  const auto c = m.conversion.value_or(ConversionProgress{});
  std::vector<std::pair<int, decltype(fields(PartitionLoad{}))>> partitions;
  for (const auto& [partition, load] : m.partition_loads)
    partitions.emplace_back(partition, fields(load));
  return std::tuple(partitions, m.store_usage.requests_per_s, m.store_usage.changes_per_s,
                    m.receives_heartbeats, m.features, m.conversion.has_value(), c.values_left,
                    c.values_converted, c.unreadable, c.values_per_s);
}

std::map<std::string, std::string> read_frames() {
  std::ifstream file(EIDERREEL_SOURCE_DIR "/tests/fixtures/peer_messages.txt");
  std::map<std::string, std::string> frames;  // by kind
  for (std::string kind, digits; file >> kind >> digits;)
    for (std::size_t i = 0; i < digits.size(); i += 2)
      frames[kind] += static_cast<char>(std::stoi(digits.substr(i, 2), nullptr, 16));
  return frames;
}

TEST(StoredStateMessages, RoundTrip) {
  const auto frames = read_frames();
  EXPECT_EQ(frames.size(), peer_messages().size());
  for (const auto& [kind, expected] : peer_messages()) {
    ASSERT_TRUE(frames.count(kind)) << kind;
    const auto message = peer_rpc::decode(frames.at(kind));
    ASSERT_TRUE(message) << kind;
    EXPECT_EQ(message->from, kMessageSender) << kind;
    ASSERT_EQ(message->body.index(), expected.index()) << kind;
    std::visit(
        [&, &kind = kind](const auto& body) {
          const auto& expected_message = std::get<std::decay_t<decltype(body)>>(expected);
          EXPECT_EQ(fields(body), fields(expected_message)) << kind;
        },
        message->body);
    EXPECT_EQ(peer_rpc::encode(*message), frames.at(kind)) << kind;
  }
}

}  // namespace
