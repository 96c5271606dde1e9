// Decoding of data from the network: malformed input is rejected and does no harm.
#include <gtest/gtest.h>

#include <random>

#include "codec/cloud_json.h"
#include "codec/job_json.h"
#include "codec/state_json.h"
#include "codec/worker_json.h"
#include "peer_rpc/messages.h"

using namespace eiderreel;

namespace {

std::string job_text(const std::string& field = "", const std::string& value = "") {
  std::vector<std::pair<std::string, std::string>> fields = {{"name_id", "\"run-000412\""},
                                                             {"jobclass", "\"train\""},
                                                             {"crew", "\"vision\""},
                                                             {"shape", "\"sweep\""},
                                                             {"rank", "\"high\""},
                                                             {"shards", "16"},
                                                             {"cores", "8.0"},
                                                             {"accelerators", "1.0"},
                                                             {"mem_gb", "64.0"},
                                                             {"bundle", "\"img-07\""},
                                                             {"size_gb", "6.2"},
                                                             {"hulls", "[\"g8\"]"},
                                                             {"berth", "null"},
                                                             {"one_zone", "true"},
                                                             {"apart", "false"},
                                                             {"driftwood", "true"},
                                                             {"guess_s", "240.0"},
                                                             {"snapshot_s", "30.0"},
                                                             {"stow_s", "4.0"},
                                                             {"due_s", "900.0"}};
  std::string out = "{";
  for (auto& [k, v] : fields) {
    if (k == field && value.empty()) continue;  // left out
    out += (out.size() > 1 ? "," : "") + ("\"" + k + "\":") + (k == field ? value : v);
  }
  return out + "}";
}

TEST(JobCodec, RoundTripsTheExample) {
  auto p = codec::parse_job(job_text());
  ASSERT_TRUE(p.spec) << p.error;
  EXPECT_EQ(p.spec->id, "run-000412");
  EXPECT_EQ(p.spec->tasks, 16u);
  EXPECT_EQ(p.spec->priority, Priority::high);
  EXPECT_EQ(p.spec->types, std::vector<std::string>{"g8"});
  EXPECT_EQ(p.spec->zone, "");
  EXPECT_EQ(p.spec->deadline_s, 900.0);
  auto again = codec::parse_job(codec::encode(*p.spec, "n"));
  ASSERT_TRUE(again.spec);
  EXPECT_EQ(codec::encode(*again.spec, "n"), codec::encode(*p.spec, "n"));
}

TEST(JobCodec, UnknownFieldsAndMissingNullsAreAccepted) {
  EXPECT_TRUE(codec::parse_job(job_text("berth")).spec);
  EXPECT_TRUE(codec::parse_job(job_text("due_s")).spec);
  EXPECT_TRUE(codec::parse_job(job_text("hulls", "null")).spec);
  EXPECT_TRUE(codec::parse_job(job_text("jobclass", "\"x\",\"new_field\":{}")).spec);
}

struct BadField {
  const char *field, *value;
};
class InvalidJob : public testing::TestWithParam<BadField> {};

TEST_P(InvalidJob, IsRejectedNamingTheField) {
  auto p = codec::parse_job(job_text(GetParam().field, GetParam().value));
  EXPECT_FALSE(p.spec);
  EXPECT_NE(p.error.find(GetParam().field), std::string::npos) << p.error;
}

INSTANTIATE_TEST_SUITE_P(
    Fields, InvalidJob,
    testing::Values(BadField{"name_id", ""}, BadField{"name_id", "\"job-1\""},
                    BadField{"name_id", "\"run-1/../2\""}, BadField{"shape", "\"gang\""},
                    BadField{"shape", "7"}, BadField{"rank", "\"urgent\""}, BadField{"shards", "0"},
                    BadField{"shards", "100001"}, BadField{"shards", "-1"},
                    BadField{"shards", "1.5"}, BadField{"shards", "18446744073709551616"},
                    BadField{"cores", "-8"}, BadField{"cores", "0"}, BadField{"cores", "1e300"},
                    BadField{"cores", "\"8\""}, BadField{"mem_gb", "-1"}, BadField{"mem_gb", ""},
                    BadField{"size_gb", "-0.1"}, BadField{"hulls", "[]"}, BadField{"hulls", "[1]"},
                    BadField{"berth", "5"}, BadField{"one_zone", "1"}, BadField{"driftwood", ""},
                    BadField{"guess_s", "null"}, BadField{"due_s", "-5"}));

TEST(JobCodec, NonObjectIsRejected) {
  for (const char* body : {"", "nonsense", "[]", "7", "null", "{\"name_id\":", "\"run-1\""})
    EXPECT_FALSE(codec::parse_job(body).spec) << body;
}

// Deep nesting must not exhaust the stack.
TEST(JobCodec, DeepNestingIsRejected) {
  EXPECT_FALSE(codec::parse_job(std::string(60000, '[')).spec);
}

TEST(DoneCodec, FullChunkFitsTheValueLimitAndRoundTrips) {
  std::vector<std::uint32_t> tasks;
  for (std::uint32_t i = constants::kProgressChunkTasks; i < 2 * constants::kProgressChunkTasks;
       ++i)
    if (i % 3) tasks.push_back(i);
  const std::string value = codec::encode_progress(
      tasks, {constants::kProgressChunkTasks, constants::kProgressChunkTasks},
      upgrade::ProgressForm::bits, "n");
  EXPECT_LT(value.size(), 8192u);
  auto row = codec::parse_row(codec::stored_row("d/0/run-1/1", value, 9));
  ASSERT_TRUE(row && row->progress);
  EXPECT_EQ(row->progress->tasks, tasks);
}

TEST(PeerMessages, EveryMessageRoundTrips) {
  PartitionLoad load;
  load.waiting_cpus = 3.5;
  load.idle_machines = 2;
  std::vector<peer_rpc::Body> bodies = {
      peer_rpc::JobQuery{7, true, "run-1"},
      peer_rpc::JobQueryReply{7, 200, "{}"},
      peer_rpc::PeerStatus{{{2, load}}, {1.5, 2}},
      peer_rpc::TransferRequest{1, -1, 64, true},
      peer_rpc::MachinesTerminated{{"m-3"}},
      peer_rpc::CordonRequest{1, 24.0, true},
      peer_rpc::VoteRequest{4, 3000, {{1, 77}}, 93},
      peer_rpc::Vote{4, true, {{"run-1", JobPhase::cancelled, 95}, {"run-2", JobPhase::done, 96}}}};
  for (const auto& b : bodies) {
    auto m = peer_rpc::decode(peer_rpc::encode({"n0", b}));
    ASSERT_TRUE(m);
    EXPECT_EQ(m->from, "n0");
    EXPECT_EQ(m->body.index(), b.index());
    EXPECT_EQ(peer_rpc::encode(*m), peer_rpc::encode({"n0", b}));
  }
}

// Seeded random corruption: input with changed or missing bytes is rejected or decoded, and never
// crashes the decoder.
TEST(MalformedInput, PeerMessagesAndJsonAreHarmless) {
  std::mt19937_64 random(7);
  PartitionLoad load;
  load.idle_machines = 3;
  const std::string frame =
      peer_rpc::encode({"n0", peer_rpc::PeerStatus{{{1, load}, {2, load}}, {}}});
  const std::string job = job_text();
  int refused = 0;
  for (int i = 0; i < 3000; ++i) {
    std::string f = frame, j = job;
    for (int k = 0; k < 3; ++k) {
      f[random() % f.size()] = static_cast<char>(random());
      j[random() % j.size()] = static_cast<char>(random());
    }
    if (i % 4 == 0) f.resize(random() % f.size());
    if (!peer_rpc::decode(f)) ++refused;
    if (!codec::parse_job(j).spec) ++refused;
    codec::parse_heartbeat(j);
    codec::parse_events(j);
  }
  EXPECT_GT(refused, 1000);
}

std::string from_hex(const std::string& hex) {
  std::string bytes;
  for (std::size_t i = 0; i < hex.size(); i += 2)
    bytes.push_back(static_cast<char>(std::stoi(hex.substr(i, 2), nullptr, 16)));
  return bytes;
}

// A rolling restart mixes builds: these bytes were encoded by a build from before the messages were
// renamed.
TEST(PeerMessages, RoundTripBytesOfEarlierBuilds) {
  const peer_rpc::VoteRequest request{4, 3000, {{1, 77}}, 93};
  const peer_rpc::Vote vote{4, true, {{"run-1", JobPhase::cancelled, 95}}};
  const std::string request_bytes = from_hex(
      "000000000c00000000000000010002000400000000000000050000001a0000000400000003000100"
      "6e300000000000000400000000000000b80b0000000000005d000000000000000100000017000000"
      "040000000200000001000000000000004d00000000000000");
  const std::string vote_bytes = from_hex(
      "000000000d00000000000000010002000500000000000000050000001a0000000400000002000100"
      "6e3000000000000004000000000000000100000000000000010000001f0000000400000002000100"
      "5f000000000000000100000000000000010000003200000072756e2d31000000");
  EXPECT_EQ(peer_rpc::encode({"n0", request}), request_bytes);
  EXPECT_EQ(peer_rpc::encode({"n0", vote}), vote_bytes);
  const auto read_request = peer_rpc::decode(request_bytes);
  ASSERT_TRUE(read_request);
  EXPECT_EQ(std::get<peer_rpc::VoteRequest>(read_request->body).partitions, request.partitions);
  const auto read_vote = peer_rpc::decode(vote_bytes);
  ASSERT_TRUE(read_vote);
  EXPECT_EQ(std::get<peer_rpc::Vote>(read_vote->body).finished.at(0).id, "run-1");
}

}  // namespace
