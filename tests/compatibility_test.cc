// Compatibility of builds that run side by side. The samples were encoded by the build before
// prerequisites; what the current build encodes contains everything that the earlier build reads.
#include <gtest/gtest.h>

#include "codec/state_json.h"
#include "peer_rpc/messages.h"
#include "standin/old_build.h"

using namespace eiderreel;

namespace {

std::string from_hex(const std::string& hex) {
  std::string bytes;
  for (std::size_t i = 0; i < hex.size(); i += 2)
    bytes.push_back(static_cast<char>(std::stoi(hex.substr(i, 2), nullptr, 16)));
  return bytes;
}

codec::StateRow read(const std::string& key, const std::string& value) {
  auto row = codec::parse_row(codec::stored_row(key, value, 9));
  EXPECT_TRUE(row);
  return row.value_or(codec::StateRow{});
}

const char kOldJob[] =
    R"({"n":"n0.b1.7","name_id":"run-000412","jobclass":"train","crew":"vision","shape":"sweep",)"
    R"("rank":"high","shards":16,"cores":8.0,"accelerators":1.0,"mem_gb":64.0,"bundle":"img-07",)"
    R"("size_gb":6.2,"hulls":["g8"],"one_zone":true,"apart":false,"driftwood":true,)"
    R"("guess_s":240.0,"snapshot_s":30.0,"stow_s":4.0,"due_s":900.0,"at_ms":1764668592000})";
const char kOldPartition[] = R"({"n":"n0.b1.7","owner":"n1","grant":9})";
const char kOldMachine[] =
    R"({"n":"n0.b1.7","part":2,"type":"g8","zone":"a","addr":"10.1.0.232:9000","spot":true})";
const char kOldNode[] = R"({"n":"n0.b1.7","boot":"b1","grant":9})";
const char kOldFinal[] = R"({"n":"n0.b1.7","phase":"cancelled"})";
const char kOldProgress[] = R"({"n":"n0.b1.7","chunk":1,"bits":"Fg"})";

TEST(EarlierBuildValues, AreDecoded) {
  const auto job = read("e/job/run-000412", kOldJob);
  ASSERT_TRUE(job.job);
  EXPECT_EQ(job.nonce, "n0.b1.7");
  EXPECT_EQ(job.job->tasks, 16u);
  EXPECT_EQ(job.job->accepted_at, 1764668592000);
  EXPECT_TRUE(job.job->prerequisites.empty());
  EXPECT_EQ(codec::encode(*job.job, "n0.b1.7"), kOldJob);  // and encoded as before

  const auto partition = read("e/part/2", kOldPartition);
  ASSERT_TRUE(partition.partition);
  EXPECT_EQ(codec::encode(*partition.partition, "n0.b1.7"), kOldPartition);

  const auto machine = read("e/machine/m-1", kOldMachine);
  ASSERT_TRUE(machine.machine);
  EXPECT_EQ(codec::encode(*machine.machine, "n0.b1.7"), kOldMachine);

  const auto node = read("e/node/n0", kOldNode);
  ASSERT_TRUE(node.node);
  EXPECT_EQ(node.node->features, 0u);

  const auto final_record = read("e/final/run-000412", kOldFinal);
  EXPECT_EQ(final_record.final_phase, JobPhase::cancelled);
  EXPECT_FALSE(final_record.final_at);

  const auto progress = read("d/2/run-000412/1", kOldProgress);
  ASSERT_TRUE(progress.progress);
  EXPECT_EQ(progress.progress->tasks, (std::vector<std::uint32_t>{32768, 32770, 32779}));
}

// The fields that the earlier build requires are present, whatever other fields there are.
TEST(CurrentValues, HoldAllThatTheEarlierBuildReads) {
  const std::string node = codec::encode(codec::NodeRecord{"b1", 9, 1, {}}, "n0.b1.7");
  EXPECT_EQ(node, R"({"n":"n0.b1.7","boot":"b1","grant":9,"features":1})");
  EXPECT_EQ(codec::encode_final(JobPhase::done, 1764668592000, "n0.b1.7"),
            R"({"n":"n0.b1.7","phase":"done","at_ms":1764668592000})");
  EXPECT_EQ(codec::encode_progress({32768, 32770, 32779}, {32768, 32768},
                                   upgrade::ProgressForm::bits, "n0.b1.7"),
            kOldProgress);
  EXPECT_EQ(codec::progress_key(2, "run-1", {32768, 32768}), "d/2/run-1/1");
}

// The earlier build requires every field of a job at the top level of its record. A job with
// prerequisites has none of them there, so the earlier build ignores it.
TEST(CurrentValues, JobWithPrerequisitesIsHiddenFromTheEarlierBuild) {
  JobSpec job = *read("e/job/run-000412", kOldJob).job;
  job.prerequisites = {"run-000398", "run-000405"};
  const std::string value = codec::encode(job, "n0.b1.7");
  EXPECT_EQ(value.substr(0, 60), R"({"n":"n0.b1.7","awaits":["run-000398","run-000405"],"job":{")");
  EXPECT_FALSE(read("e/job/run-000412", standin::as_old_build_reads(value)).job);
  const auto again = read("e/job/run-000412", value);
  ASSERT_TRUE(again.job);
  EXPECT_EQ(again.job->prerequisites, job.prerequisites);
  EXPECT_EQ(again.job->accepted_at, job.accepted_at);

  const auto spread = read("e/job/run-000412", codec::encode_with_chunks(job, 3, "n0.b1.7"));
  ASSERT_TRUE(spread.job);
  EXPECT_EQ(spread.prerequisite_chunks, 3u);
  EXPECT_TRUE(spread.job->prerequisites.empty());
  EXPECT_TRUE(spread.has_prerequisites());
  const std::string key = codec::prerequisite_key("run-000412", "n0.b1.7", 2);
  const auto chunk = read(key, codec::encode(codec::PrerequisiteChunk{{"run-1"}}, "n0.b1.7"));
  ASSERT_TRUE(chunk.prerequisites);
  EXPECT_EQ(chunk.prerequisites->jobs, std::vector<std::string>{"run-1"});
  const auto parsed = codec::parse_prerequisite_key(key);
  ASSERT_TRUE(parsed);
  EXPECT_EQ(parsed->job, "run-000412");
  EXPECT_EQ(parsed->nonce, "n0.b1.7");
  EXPECT_EQ(parsed->chunk, 2u);
}

// Progress is stored in whole chunks where they fit the value limit, otherwise in smaller ranges,
// each of which can be decoded separately.
TEST(Progress, FitsIntoValuesOfAnySize) {
  for (const std::size_t value_bytes : {1024u, 2048u, 8192u}) {
    for (const std::uint32_t tasks : {1u, 1000u, 12000u, 100000u}) {
      std::vector<std::uint32_t> read_back;
      for (std::uint32_t first = 0; first < tasks;) {
        const auto range = codec::progress_range(first, tasks, value_bytes);
        ASSERT_EQ(range.first, first);
        std::vector<std::uint32_t> all;
        for (std::uint32_t i = first; i < std::min(tasks, first + range.count); ++i)
          all.push_back(i);
        const auto value = codec::encode_progress(all, range, upgrade::ProgressForm::bits,
                                                  "reelhost-0.0123456789abcdef.1234567");
        EXPECT_LE(value.size(), value_bytes);
        const auto row = read(codec::progress_key(0, "run-1", range), value);
        ASSERT_TRUE(row.progress);
        read_back.insert(read_back.end(), row.progress->tasks.begin(), row.progress->tasks.end());
        first += range.count;
      }
      EXPECT_EQ(read_back.size(), tasks);
      EXPECT_EQ(read_back.back(), tasks - 1);
    }
  }
  EXPECT_EQ(codec::progress_range(40000, 100000, 8192).count, constants::kProgressChunkTasks);
}

struct EarlierBuildMessage {
  const char* name;
  std::size_t kind;  // index in peer_rpc::Body
  std::string bytes;
};

std::vector<EarlierBuildMessage> earlier_build_messages() {
  return {{"ask", 0,
           "000000000900000000000000010002000000000000000000050000001a00000004000000020001006e30000"
           "00000"
           "000007000000000000000100000000000000010000003200000072756e2d31000000"},
          {"answer", 1,
           "000000000900000000000000010002000100000000000000050000001a00000004000000020001006e30000"
           "00000"
           "00000700000000000000c800000000000000010000001a0000007b7d000000000000"},
          {"status", 2,
           "000000001f00000000000000010002000200000000000000050000001a00000004000000030001006e30000"
           "00000"
           "0000000000000000f83f00000000000000400100000000000000010000008f0000000400000010000100020"
           "00000"
           "020000000000000000000c40000000000000000000000000000000000000000000000000000000000000000"
           "00000"
           "000000000000000000000000000000000000000000000000000000000000000000000000000000000000000"
           "00000"
           "0000000000000000000000000000000000000000000000000000000000001c4001000000170000000400000"
           "00100"
           "01000000000000001040010000003200000072756e2d39000000"},
          {"move", 3,
           "000000000700000000000000010002000300000000000000050000001a00000004000000020000006e30000"
           "00000"
           "00000100ffff010000000000000000005040"},
          {"gone", 6,
           "000000000800000000000000010002000600000000000000050000001a00000004000000000001006e30000"
           "00000"
           "0000010000000e00000001000000220000006d2d330000000000"},
          {"shed", 7,
           "000000000700000000000000010002000700000000000000050000001a00000004000000020000006e30000"
           "00000"
           "000001000100000000000000000000003840"},
          {"promise request", 4,
           "000000000c00000000000000010002000400000000000000050000001a00000004000000030001006e30000"
           "00000"
           "00000400000000000000b80b0000000000005d0000000000000001000000170000000400000002000000010"
           "00000"
           "000000004d00000000000000"},
          {"promise", 5,
           "000000001100000000000000010002000500000000000000050000001a00000004000000020001006e30000"
           "00000"
           "000004000000000000000100000000000000010000003700000008000000020001005f00000000000000010"
           "00000"
           "000000000d0000003200000060000000000000000000000000000000050000003200000072756e2d3100000"
           "07275"
           "6e2d32000000"}};
}

TEST(EarlierBuildMessages, RoundTripExceptTheStatus) {
  for (const EarlierBuildMessage& old : earlier_build_messages()) {
    const std::string bytes = from_hex(old.bytes);
    const auto message = peer_rpc::decode(bytes);
    ASSERT_TRUE(message) << old.name;
    EXPECT_EQ(message->body.index(), old.kind) << old.name;
    EXPECT_EQ(message->from, "n0") << old.name;
    if (std::holds_alternative<peer_rpc::PeerStatus>(message->body)) continue;
    EXPECT_EQ(peer_rpc::encode(*message), bytes) << old.name;
  }
}

TEST(EarlierBuildMessages, StatusWithoutFeaturesIdentifiesAnEarlierBuild) {
  const auto message = peer_rpc::decode(from_hex(earlier_build_messages()[2].bytes));
  ASSERT_TRUE(message);
  const auto& status = std::get<peer_rpc::PeerStatus>(message->body);
  EXPECT_EQ(status.features, 0u);
  EXPECT_FALSE(status.receives_heartbeats);
  ASSERT_EQ(status.partition_loads.size(), 1u);
  EXPECT_EQ(status.partition_loads[0].second.waiting_cpus, 3.5);
  EXPECT_EQ(status.partition_loads[0].second.longest_wait_s, 7);
  peer_rpc::PeerStatus now = status;
  now.features = constants::kBuildFeatureBits;
  const auto again = peer_rpc::decode(peer_rpc::encode({"n0", now}));
  ASSERT_TRUE(again);
  EXPECT_EQ(std::get<peer_rpc::PeerStatus>(again->body).features, constants::kBuildFeatureBits);
}

}  // namespace
