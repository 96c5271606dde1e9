// Guards against renamings in the source that change stored data: every value that the source from
// before a renaming has stored must be decoded, and encoded again to the same bytes. The fixture
// was generated once, by tests/measure/write_fixtures.cc; no test writes it. That a cluster
// continues from the stored state is tested in stored_state_resumed_test.cc.
#include "fixtures/stored_state.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <iterator>
#include <tuple>

#include "upgrade/upgrade_json.h"

using namespace eiderreel;
using namespace eiderreel::standin;
using upgrade::ClusterVersion;
using upgrade::ProgressForm;
using upgrade::StepOutcome;

namespace {

const char kStoredValuesFile[] = EIDERREEL_SOURCE_DIR "/tests/fixtures/state_store.json";

auto fields(const JobSpec& spec) {
  return std::tuple(std::tie(spec.id, spec.jobclass, spec.team, spec.kind, spec.priority,
                             spec.tasks, spec.cpus, spec.gpus, spec.memory_gb),
                    std::tie(spec.types, spec.zone, spec.one_zone, spec.spread, spec.spot,
                             spec.image, spec.image_gb, spec.estimate_s),
                    std::tie(spec.checkpoint_s, spec.save_s, spec.deadline_s, spec.accepted_at,
                             spec.prerequisites));
}
auto fields(const codec::MachineRecord& record) {
  return std::tie(record.partition, record.type, record.zone, record.addr, record.spot);
}
auto fields(const upgrade::StepRecord& record) {
  return std::tie(record.at, record.who, record.reason, record.request, record.controller,
                  record.action, record.from, record.to, record.outcome, record.without,
                  record.obstacles);
}

// ------------------------------------------------------------------------------ stored values

// The values of the fixture; records which of them a test has read.
class StoredValueReader {
 public:
  // Returns null and fails the test if the fixture has no such key or the value cannot be decoded.
  const codec::StateRow* read(const std::string& key) {
    const auto value = values_.find(key);
    if (value == values_.end()) {
      ADD_FAILURE() << "nothing is stored as " << key;
      return nullptr;
    }
    auto row = codec::parse_row(codec::stored_row(key, value->second, 9));
    if (!row) ADD_FAILURE() << "cannot read " << key;
    return row ? &(rows_[key] = std::move(*row)) : nullptr;
  }
  void expect_reencoded_to(const codec::StateRow& row, const std::string& value) {
    EXPECT_FALSE(row.nonce.empty()) << row.key;
    EXPECT_EQ(value, values_.at(row.key)) << row.key;
  }
  std::vector<std::string> unread_keys() const {
    std::vector<std::string> keys;
    for (const auto& [key, value] : values_)
      if (!rows_.count(key)) keys.push_back(key);
    return keys;
  }

 private:
  const StoredValues values_ = read_stored_values(kStoredValuesFile);
  std::map<std::string, codec::StateRow> rows_;
};

void expect_job(StoredValueReader& stored, const JobSpec& expected) {
  const auto* row = stored.read(codec::job_key(expected.id));
  ASSERT_TRUE(row && row->job) << expected.id;
  EXPECT_EQ(fields(*row->job), fields(expected)) << expected.id;
  EXPECT_EQ(row->prerequisite_chunks, 0u);
  EXPECT_EQ(row->has_prerequisites(), !expected.prerequisites.empty());
  stored.expect_reencoded_to(*row, codec::encode(*row->job, row->nonce));
}

// A job whose prerequisites are stored in separate values (prerequisite chunks).
void expect_chunked_job(StoredValueReader& stored, JobSpec expected) {
  const auto prerequisites = std::exchange(expected.prerequisites, {});
  const auto* row = stored.read(codec::job_key(expected.id));
  ASSERT_TRUE(row && row->job);
  EXPECT_EQ(fields(*row->job), fields(expected));
  ASSERT_EQ(row->prerequisite_chunks, kStoredPrerequisiteChunks);
  stored.expect_reencoded_to(
      *row, codec::encode_with_chunks(*row->job, row->prerequisite_chunks, row->nonce));
  const auto split = prerequisites.begin() + kIdsInFirstChunk;
  const std::vector<std::string> expected_chunks[] = {{prerequisites.begin(), split},
                                                      {split, prerequisites.end()}};
  for (std::size_t chunk = 0; chunk < kStoredPrerequisiteChunks; ++chunk) {
    const auto* values = stored.read(codec::prerequisite_key(expected.id, row->nonce, chunk));
    ASSERT_TRUE(values && values->prerequisites);
    EXPECT_EQ(values->prerequisites->jobs, expected_chunks[chunk]);
    stored.expect_reencoded_to(*values, codec::encode(*values->prerequisites, values->nonce));
    const auto key = codec::parse_prerequisite_key(values->key);
    ASSERT_TRUE(key);
    EXPECT_EQ(std::tie(key->job, key->nonce, key->chunk), std::tie(expected.id, row->nonce, chunk));
  }
}

// Encodings of a progress value, which its `form`, `bits` and `roaring` fields distinguish.
enum class ProgressEncoding { bits, compact_bits, roaring };

void expect_progress(StoredValueReader& stored, int partition, const std::string& job,
                     const codec::TaskRange& range, ProgressEncoding text,
                     const std::vector<std::uint32_t>& all_done) {
  const auto* row = stored.read(codec::progress_key(partition, job, range));
  ASSERT_TRUE(row && row->progress) << job;
  std::vector<std::uint32_t> expected;
  std::copy_if(all_done.begin(), all_done.end(), std::back_inserter(expected),
               [&](auto task) { return task >= range.first && task - range.first < range.count; });
  EXPECT_EQ(row->progress->tasks, expected) << row->key;
  const auto form = text == ProgressEncoding::bits ? ProgressForm::bits : ProgressForm::compact;
  EXPECT_EQ(row->progress->form, form) << row->key;
  const auto value =
      codec::encode_progress(row->progress->tasks, range, row->progress->form, row->nonce);
  EXPECT_EQ(value.find("roaring") != std::string::npos, text == ProgressEncoding::roaring) << value;
  stored.expect_reencoded_to(*row, value);
  EXPECT_EQ(codec::progress_key_job(row->key), job);
}

std::vector<std::uint32_t> done_tasks(const std::string& id) {
  for (const auto& jobs_of_run : {jobs_of_first_run(), jobs_of_second_run()})
    for (const StoredJob& job : jobs_of_run)
      if (job.spec.id == id) return job.done;
  return {};
}

// The done tasks of run-204 at the time when all of them still fitted into one value.
std::vector<std::uint32_t> tasks_of_outgrown_value() {
  auto tasks = done_tasks("run-204");
  std::erase_if(tasks, [](std::uint32_t task) { return task > 5604; });
  return tasks;
}

void expect_all_progress(StoredValueReader& stored) {
  const codec::TaskRange chunk{0, constants::kProgressChunkTasks}, first{0, kSecondValueFirstTask},
      second{kSecondValueFirstTask, kSecondValueFirstTask}, whole{0, constants::kMaxJobTasks, true};
  auto expect = [&](int partition, const std::string& job, const codec::TaskRange& range,
                    auto text) {
    expect_progress(stored, partition, job, range, text, done_tasks(job));
  };
  expect(0, "run-101", chunk, ProgressEncoding::bits);
  expect(1, "run-102", first, ProgressEncoding::bits);
  expect(1, "run-102", second, ProgressEncoding::bits);
  expect(0, "run-201", chunk, ProgressEncoding::roaring);
  expect(1, "run-202", chunk, ProgressEncoding::compact_bits);
  expect(2, "run-203", whole, ProgressEncoding::roaring);
  expect(1, "run-204", second, ProgressEncoding::roaring);
  expect(0, "run-205", whole, ProgressEncoding::compact_bits);
  expect_progress(stored, 1, "run-204", whole, ProgressEncoding::compact_bits,
                  tasks_of_outgrown_value());
  expect_progress(stored, 1, done_job().id, kLeftoverRange, ProgressEncoding::bits,
                  leftover_tasks());
}

void expect_final(StoredValueReader& stored, const std::string& job, JobPhase phase, Ms at) {
  const auto* row = stored.read(codec::final_key(job));
  ASSERT_TRUE(row);
  EXPECT_EQ(row->final_phase, phase);
  EXPECT_EQ(row->final_at, at);
  stored.expect_reencoded_to(*row, codec::encode_final(phase, at, row->nonce));
}

void expect_machine(StoredValueReader& stored, const std::string& name,
                    const codec::MachineRecord& expected) {
  const auto* row = stored.read(codec::machine_key(name));
  ASSERT_TRUE(row && row->machine);
  EXPECT_EQ(fields(*row->machine), fields(expected)) << name;
  stored.expect_reencoded_to(*row, codec::encode(*row->machine, row->nonce));
}

void expect_machines(StoredValueReader& stored) {
  const std::vector<int> partitions = {0, 1, 0, 1, 0, 1, 2, 0, -1};
  for (int n = 0; n < static_cast<int>(partitions.size()); ++n)
    expect_machine(stored, machine_id(n),
                   {partitions[static_cast<std::size_t>(n)], "box", n % 2 ? "b" : "a",
                    worker_address(machine_id(n)), false});
  expect_machine(stored, kSpotMachine, spot_machine());
}

// Partition and node records, which are bound to leases.
void expect_controllers(StoredValueReader& stored) {
  for (int n = 0; n < 3; ++n) {
    const std::string name = "n" + std::to_string(n);
    const auto lease_id = static_cast<std::uint64_t>(n + 1);
    const auto* partition = stored.read(codec::partition_key(n));
    ASSERT_TRUE(partition && partition->partition);
    EXPECT_EQ(std::tie(partition->partition->leader, partition->partition->lease_id),
              std::tie(name, lease_id));
    stored.expect_reencoded_to(*partition, codec::encode(*partition->partition, partition->nonce));

    const auto* node = stored.read(codec::node_key(name));
    ASSERT_TRUE(node && node->node);
    EXPECT_EQ(node->node->boot_id, "b1");
    EXPECT_EQ(node->node->lease_id, lease_id);
    EXPECT_EQ(node->node->features, 1u);
    const auto& versions = node->node->versions;
    ASSERT_EQ(versions.has_value(), n != 2);
    if (versions) {
      EXPECT_EQ(upgrade::number(versions->range.oldest), 1u);
      EXPECT_EQ(upgrade::number(versions->range.newest), 4u);
      EXPECT_EQ(versions->acting, ClusterVersion::write_compact);
      EXPECT_EQ(versions->build, "test");
    }
    stored.expect_reencoded_to(*node, codec::encode(*node->node, node->nonce));
  }
}

void expect_version(StoredValueReader& stored) {
  const auto* row = stored.read(codec::version_key());
  ASSERT_TRUE(row && row->version);
  EXPECT_EQ(row->version->version, ClusterVersion::write_compact);
  EXPECT_EQ(row->version->previous_version, ClusterVersion::base);
  EXPECT_EQ(row->version->at, 1024001);
  EXPECT_EQ(row->version->requested_by, "ops1");
  EXPECT_EQ(row->version->request_id, "request-3");
  stored.expect_reencoded_to(*row, codec::encode(*row->version, row->nonce));
}

void expect_history(StoredValueReader& stored) {
  const auto base = ClusterVersion::base, compact = ClusterVersion::write_compact;
  const std::string why_not =
      "cluster: the next step is not final; it is taken by `upgrade advance`";
  const std::pair<const char*, upgrade::StepRecord> records[] = {{"n0.b1.14",
                                                                  {1012001,
                                                                   "ops1",
                                                                   "a test",
                                                                   "request-1",
                                                                   "n0",
                                                                   Action::advance,
                                                                   base,
                                                                   compact,
                                                                   StepOutcome::taken,
                                                                   {},
                                                                   {}}},
                                                                 {"n1.b1.8",
                                                                  {1018001,
                                                                   "ops1",
                                                                   "a test",
                                                                   "request-2",
                                                                   "n1",
                                                                   Action::abort,
                                                                   compact,
                                                                   base,
                                                                   StepOutcome::taken,
                                                                   {},
                                                                   {}}},
                                                                 {"n2.b1.9",
                                                                  {1024001,
                                                                   "ops1",
                                                                   "a test",
                                                                   "request-3",
                                                                   "n2",
                                                                   Action::advance,
                                                                   base,
                                                                   compact,
                                                                   StepOutcome::taken,
                                                                   {},
                                                                   {}}},
                                                                 {"n0.b1.18",
                                                                  {1030001,
                                                                   "ops1",
                                                                   "a test",
                                                                   "request-4",
                                                                   "n0",
                                                                   Action::finalize,
                                                                   compact,
                                                                   std::nullopt,
                                                                   StepOutcome::refused,
                                                                   {"n1", "n2"},
                                                                   {why_not}}}};
  for (const auto& [nonce, expected] : records) {
    const auto* row = stored.read(codec::history_key(expected.at, nonce));
    ASSERT_TRUE(row);
    const auto record = codec::parse_step_record(row->json_value);
    ASSERT_TRUE(record);
    EXPECT_EQ(fields(*record), fields(expected));
    EXPECT_EQ(row->nonce, nonce);
    stored.expect_reencoded_to(*row, codec::encode(*record, row->nonce));
  }
}

TEST(StoredState, EveryValueRoundTrips) {
  StoredValueReader stored;
  for (const auto& jobs_of_run : {jobs_of_first_run(), jobs_of_second_run()})
    for (const StoredJob& job : jobs_of_run)
      if (job.spec.id != job_with_many_prerequisites().spec.id)
        expect_job(stored, job.accepted_spec());
  expect_job(stored, job_with_every_field());
  expect_chunked_job(stored, job_with_many_prerequisites().accepted_spec());
  expect_all_progress(stored);
  expect_final(stored, done_job().id, JobPhase::done, 1014470);
  expect_final(stored, cancelled_job().id, JobPhase::cancelled, 1020002);
  expect_machines(stored);
  expect_controllers(stored);
  expect_version(stored);
  expect_history(stored);
  EXPECT_EQ(stored.unread_keys(), std::vector<std::string>{});
}

}  // namespace
