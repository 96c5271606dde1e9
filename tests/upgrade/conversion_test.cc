// The two storage forms of job progress: encoding, conversion in both directions, and the treatment
// of stored values that cannot be decoded.
#include <random>

#include "codec/progress_form.h"
#include "leadership/progress_plan.h"
#include "upgrade/upgrade_cluster.h"

using namespace eiderreel;
using namespace eiderreel::standin;
using upgrade::ProgressForm;

namespace {

// ------------------------------------------------------------------------------------ encoding

std::vector<std::uint32_t> random_tasks(std::uint32_t first, std::uint32_t count, double density,
                                        std::uint64_t seed) {
  std::mt19937_64 random(seed);
  std::vector<std::uint32_t> tasks;
  for (std::uint32_t i = first; i < first + count; ++i)
    if (std::bernoulli_distribution(density)(random)) tasks.push_back(i);
  return tasks;
}

codec::StateRow read(const std::string& key, const std::string& value) {
  auto row = codec::parse_row(codec::stored_row(key, value, 9));
  EXPECT_TRUE(row);
  return row.value_or(codec::StateRow{});
}

TEST(CompactProgress, RoundTrips) {
  for (const std::uint32_t first : {0u, 32768u}) {
    for (const double density : {0.0, 0.001, 0.3, 0.99, 1.0}) {
      const codec::TaskRange range{first, 32768};
      const auto tasks = random_tasks(first, range.count, density, 7);
      const auto value = codec::encode_progress(tasks, range, ProgressForm::compact, "n0.b1.7");
      const auto row = read(codec::progress_key(0, "run-1", range), value);
      ASSERT_TRUE(row.progress) << value;
      EXPECT_EQ(row.progress->form, ProgressForm::compact);
      EXPECT_EQ(row.progress->tasks, tasks);
    }
  }
}

// The compact form uses the shortest encoding; it is never longer than the bits form plus the
// `form` field.
TEST(CompactProgress, FallsBackToBitsWhereShorter) {
  for (const std::uint32_t count : {1u, 36u, 515u, 32768u}) {
    for (const double density : {0.01, 0.5, 1.0}) {
      const codec::TaskRange range{0, 32768};
      const auto tasks = random_tasks(0, count, density, count);
      const auto bits = codec::encode_progress(tasks, range, ProgressForm::bits, "n");
      const auto compact = codec::encode_progress(tasks, range, ProgressForm::compact, "n");
      EXPECT_LE(compact.size(), bits.size() + sizeof(",\"form\":2"));
    }
  }
  std::vector<std::uint32_t> all(32768);
  for (std::uint32_t i = 0; i < all.size(); ++i) all[i] = i;
  EXPECT_LT(codec::encode_progress(all, {0, 32768}, ProgressForm::compact, "n").size(), 100u);
}

TEST(CompactProgress, MalformedValuesAreRejected) {
  for (const char* value : {
           R"({"n":"n","chunk":0})",
           R"({"n":"n","chunk":0,"form":3,"bits":"Fg"})",
           R"({"n":"n","chunk":0,"form":2,"roaring":"!!!!"})",
           R"({"n":"n","chunk":0,"form":2,"roaring":"AAAA"})",
           R"({"n":"n","chunk":0,"form":2,"roaring":""})",
           R"({"n":"n","chunk":0,"form":2,"roaring":5})",
           R"({"n":"n","chunk":99999999,"form":2,"bits":"Fg"})",
           R"({"n":"n","chunk":0,"roaring":"Fg"})",
           R"({"n":"n","form":2,"bits":"Fg"})",
       })
    EXPECT_FALSE(read("d/0/run-1/0", value).progress) << value;
  EXPECT_FALSE(
      codec::unpack_roaring(codec::pack_roaring({99999}, 0), 5));  // index above the largest job
}

// A truncated bitmap is either rejected or decodes to no more tasks than a job may have.
TEST(CompactProgress, TruncatedBitmapsAreHarmless) {
  const auto tasks = random_tasks(0, 30000, 0.2, 3);
  const std::string text = codec::pack_roaring(tasks, 0);
  std::size_t refused = 0;
  for (std::size_t size = 0; size < text.size(); size += 97) {
    const auto read_back = codec::unpack_roaring(text.substr(0, size), 0);
    refused += !read_back;
    EXPECT_LE(read_back.value_or(std::vector<std::uint32_t>{}).size(), constants::kMaxJobTasks);
  }
  EXPECT_GT(refused, 10u);
}

// ------------------------------------------------------------------------ planning of batches

// A job whose stored progress is updated with the batches that the planner returns, one commit at a
// time.
class StoredJob {
 public:
  StoredJob(std::uint32_t tasks, std::size_t value_bytes)
      : done_(tasks, false), value_bytes_(value_bytes) {}

  void mark_done(const std::vector<std::uint32_t>& tasks) {
    for (const auto task : tasks) done_[task] = true;
  }
  upgrade::ProgressOfJob view() const {
    return {0,
            "run-1",
            static_cast<std::uint32_t>(done_.size()),
            value_bytes_,
            [this](std::uint32_t first, std::uint32_t count) {
              std::vector<std::uint32_t> out;
              for (std::uint32_t i = first;
                   i < std::min<std::uint32_t>(first + count, done_.size()); ++i)
                if (done_[i]) out.push_back(i);
              return out;
            },
            stored_};
  }
  std::size_t record(const std::vector<std::uint32_t>& tasks, ProgressForm form,
                     std::size_t max_changes) {
    mark_done(tasks);
    std::vector<std::uint32_t> left = tasks;
    std::size_t changes = 0;
    while (!left.empty()) {
      const auto batch = upgrade::batch_to_record(view(), left, form, max_changes, "n0.b1.7");
      if (batch.empty()) break;
      changes += apply_batch(batch, max_changes);
      std::erase_if(left, [&](std::uint32_t task) {
        return std::find(batch.recorded.begin(), batch.recorded.end(), task) !=
               batch.recorded.end();
      });
    }
    return changes;
  }
  std::size_t convert(ProgressForm to, std::size_t max_changes) {
    std::size_t changes = 0;
    while (true) {
      const auto batch = upgrade::batch_to_convert(view(), to, max_changes, "n0.b1.7");
      if (batch.empty()) return changes;
      changes += apply_batch(batch, max_changes);
      EXPECT_EQ(stored_tasks(), done_tasks()) << "a batch lost recorded tasks";
    }
  }
  std::vector<std::uint32_t> stored_tasks() const {
    std::set<std::uint32_t> tasks;
    for (const auto& [key, value] : values_) {
      const auto row = read(key, value);
      if (row.progress) tasks.insert(row.progress->tasks.begin(), row.progress->tasks.end());
    }
    return {tasks.begin(), tasks.end()};
  }
  std::vector<std::uint32_t> done_tasks() const { return view().done(0, 1 << 20); }
  std::size_t count_values(ProgressForm form) const {
    std::size_t n = 0;
    for (const auto& [key, stored] : stored_) n += !stored.unreadable && stored.form == form;
    return n;
  }
  void store_unreadable(const std::string& key) {
    values_[key] = "{}";
    stored_[key] = {5, ProgressForm::bits, true};
  }
  const std::map<std::string, std::string>& values() const { return values_; }

 private:
  std::size_t apply_batch(const upgrade::ProgressBatch& batch, std::size_t max_changes) {
    EXPECT_LE(batch.writes.size() + batch.deletes.size(), max_changes);
    for (const auto& value : batch.writes) {
      EXPECT_LE(value.value.size(), value_bytes_);
      values_[value.key] = value.value;
      stored_[value.key] = {++revision_, value.form, false};
    }
    for (const auto& key : batch.deletes) {
      values_.erase(key);
      stored_.erase(key);
    }
    return batch.writes.size() + batch.deletes.size();
  }

  std::vector<bool> done_;
  std::size_t value_bytes_;
  upgrade::StoredValues stored_;
  std::map<std::string, std::string> values_;
  std::uint64_t revision_ = 0;
};

void expect_converts_there_and_back(std::uint32_t tasks, std::size_t value_bytes, double density,
                                    std::size_t max_changes) {
  StoredJob job(tasks, value_bytes);
  const auto ended = random_tasks(0, tasks, density, tasks);
  job.record(ended, ProgressForm::bits, max_changes);
  EXPECT_EQ(job.stored_tasks(), ended);
  job.convert(ProgressForm::compact, max_changes);
  EXPECT_EQ(job.count_values(ProgressForm::bits), 0u);
  EXPECT_EQ(job.stored_tasks(), ended);
  job.convert(ProgressForm::bits, max_changes);
  EXPECT_EQ(job.count_values(ProgressForm::compact), 0u);
  EXPECT_EQ(job.stored_tasks(), ended);
}

TEST(ProgressPlan, ConvertsBothWaysAtAnySizeWithoutLoss) {
  for (const std::size_t value_bytes : {1024u, 2048u, 8192u})
    for (const std::uint32_t tasks : {1u, 500u, 12000u})
      for (const double density : {0.05, 0.5, 1.0})
        for (const std::size_t max_changes : {1u, 2u, 16u})
          expect_converts_there_and_back(tasks, value_bytes, density, max_changes);
  for (const double density : {0.05, 0.5, 1.0})
    expect_converts_there_and_back(100000, 8192, density, 2);
  expect_converts_there_and_back(100000, 1024, 0.5, 16);
}

// The tasks of a long array finish roughly in index order, so the compact form needs one value with
// a few runs where the bits form needs one value per range.
TEST(ProgressPlan, CompactFormNeedsFewerChangesForALongArray) {
  std::size_t changes[2] = {0, 0};
  for (const auto form : {ProgressForm::bits, ProgressForm::compact}) {
    StoredJob job(20000, 1024);
    for (std::uint32_t first = 0; first < 20000; first += 4000) {
      std::vector<std::uint32_t> ended;
      for (std::uint32_t i = first; i < first + 4000; ++i) ended.push_back(i);
      changes[form == ProgressForm::compact] += job.record(ended, form, 16);
    }
    EXPECT_EQ(job.stored_tasks().size(), 20000u);
  }
  EXPECT_LT(changes[1], changes[0]);
}

// The single value for all tasks first grows beyond the value limit and later fits again.
TEST(ProgressPlan, SwitchesBetweenASingleValueAndRanges) {
  StoredJob job(30000, 1024);
  job.record({0, 1, 2, 3}, ProgressForm::compact, 16);
  EXPECT_EQ(job.values().size(), 1u);
  const auto scattered = random_tasks(4, 29000, 0.4, 11);
  job.record(scattered, ProgressForm::compact, 4);
  EXPECT_GT(job.values().size(), 4u);
  EXPECT_EQ(job.stored_tasks(), job.done_tasks());
  std::vector<std::uint32_t> rest;
  for (std::uint32_t i = 0; i < 30000; ++i) rest.push_back(i);
  EXPECT_EQ(job.record(rest, ProgressForm::compact, 16), 1u);
  EXPECT_EQ(job.stored_tasks().size(), 30000u);
}

TEST(ProgressPlan, UnreadableValueIsLeftUnchanged) {
  for (const auto form : {ProgressForm::bits, ProgressForm::compact}) {
    StoredJob job(600, 8192);
    job.store_unreadable("d/0/run-1/0");
    EXPECT_EQ(job.record({1, 2}, form, 16), 0u);
    EXPECT_EQ(job.convert(form, 16), 0u);
    EXPECT_EQ(job.values().at("d/0/run-1/0"), "{}");
  }
}

TEST(ConversionRate, StaysWithinItsLimit) {
  upgrade::ConversionRateLimiter rate_limiter(2);
  std::size_t changes = 0;
  for (Ms now = 1000; now < 101000; now += 50)
    if (rate_limiter.allows(now)) {
      rate_limiter.take(3);
      changes += 3;
    }
  EXPECT_GE(changes, 190u);
  EXPECT_LE(changes, 206u);
}

// ----------------------------------------------------------------- in the simulated cluster

class Conversion : public testing::TestWithParam<std::uint64_t> {
 protected:
  Options seeded_options() const {
    Options options = upgrade_options(GetParam());
    options.state_write_rps = 30;
    return options;
  }
  // Long-running arrays, some of whose tasks finish early.
  static void submit_long_arrays(SimulatedCluster& cluster, int jobs) {
    for (int n = 0; n < jobs; ++n) {
      const char* team = std::array{"red", "blue", "gold"}[static_cast<std::size_t>(n % 3)];
      cluster.at(3 + 0.2 * n, [&cluster, n, team] {
        const std::string id = "run-" + std::to_string(n);
        cluster.submit(cluster.job(id, team, 4, 0.2, 60));
        cluster.set_run_s(id, {2, 3, 75, 80});
      });
    }
  }
  static void expect_all_done(SimulatedCluster& cluster, int jobs) {
    for (int n = 0; n < jobs; ++n)
      EXPECT_EQ(cluster.phase("run-" + std::to_string(n)), "done") << n;
  }
};

TEST_P(Conversion, RewritesStoredValuesAtALimitedRateAndReportsTheRemainder) {
  Options options = seeded_options();
  options.upgrades->conversion_share = 0.1;
  UpgradeCluster cluster(options);
  submit_long_arrays(cluster, 45);
  cluster.advance_to(30, ClusterVersion::convert);
  std::size_t bits_values_at_start = 0;
  OperatorReply status;
  cluster.at(36, [&] { bits_values_at_start = cluster.progress_values_in_bits(); });
  cluster.at(46, [&] {
    EXPECT_GT(cluster.progress_values_in_bits(), 0u) << "conversion must be rate limited";
    EXPECT_LT(cluster.progress_values_in_bits(), bits_values_at_start);
    cluster.send_request(1, "GET", "/upgrade/status", "", [&](int code, std::string body) {
      status = {code, std::move(body)};
    });
    cluster.request_step(0, Action::finalize);
  });
  cluster.run_until(70);
  EXPECT_GT(bits_values_at_start, 30u);
  EXPECT_EQ(cluster.progress_values_in_bits(), 0u);
  ASSERT_EQ(status.status, 200);
  EXPECT_TRUE(status.has("\"to\":\"compact\""));
  EXPECT_TRUE(status.has("\"unknown_partitions\":[]"));
  EXPECT_FALSE(status.has("\"left\":0,"));
  EXPECT_TRUE(cluster.replies().back().has("still stored as bits"))
      << cluster.replies().back().body;
  cluster.request_step(0, Action::finalize);
  cluster.run_until(160);
  EXPECT_EQ(cluster.cluster_version(), 4u);
  expect_all_done(cluster, 45);
  expect_rules_kept(cluster);
}

// Leaders fail, jobs finish and jobs are cancelled while the conversion is in progress.
TEST_P(Conversion, ContinuesThroughFailoversCompletionsAndCancellations) {
  UpgradeCluster cluster(seeded_options());
  submit_long_arrays(cluster, 30);
  submit_arrays(cluster, {5, 70, 2});
  cluster.advance_to(30, ClusterVersion::convert);
  for (int n = 0; n < 30; n += 4)
    cluster.at(36.1 + 0.3 * n, [&cluster, n] { cluster.cancel("run-" + std::to_string(n)); });
  cluster.at(37, [&] { cluster.crash(cluster.leader_of(0), 5); });
  cluster.at(43, [&] { cluster.freeze(cluster.leader_of(1), 8); });
  cluster.at(52, [&] { cluster.crash(cluster.leader_of(2), 0.5); });
  cluster.run_until(75);
  EXPECT_EQ(cluster.progress_values_in_bits(), 0u);
  cluster.request_step(1, Action::finalize);
  cluster.run_until(190);
  EXPECT_EQ(cluster.cluster_version(), 4u) << cluster.replies().back().body;
  expect_arrays_ended_and_rules_kept(cluster, {5, 70, 2});
}

// A stored value in neither form: none of its tasks counts as done, the value is left unchanged,
// and the final step is refused with an obstacle that names its key.
TEST_P(Conversion, UnreadableValueIsNamedAndKept) {
  UpgradeCluster cluster(seeded_options());
  cluster.at(3, [&] {
    cluster.submit(cluster.job("run-7", "blue", 4, 1, 60));
    cluster.set_run_s("run-7", {2, 3, 60, 90});
  });
  cluster.run_until(20);
  const auto stored = cluster.keys("d/");
  ASSERT_EQ(stored.size(), 1u);
  const std::string value = R"({"n":"n9.b1.1","chunk":0,"form":7,"runs":[0,2]})";
  cluster.put_stored_value(stored[0], value);
  cluster.crash(cluster.leader_of(1), 6);
  cluster.advance_to(35, ClusterVersion::convert);
  cluster.request_step_at(55, 0, Action::finalize);
  cluster.run_until(58);
  ASSERT_EQ(cluster.replies().size(), 3u);
  EXPECT_EQ(cluster.replies().back().status, 409);
  EXPECT_TRUE(cluster.replies().back().has(stored[0])) << cluster.replies().back().body;
  EXPECT_EQ(*cluster.stored_value(stored[0]), value);
  EXPECT_GT(cluster.count_trace_lines("stored progress unreadable, its tasks may run again key=" +
                                      stored[0]),
            0u);
  cluster.run_until(170);
  EXPECT_EQ(cluster.phase("run-7"), "done");
  expect_rules_kept(cluster);
}

INSTANTIATE_TEST_SUITE_P(Seeds, Conversion, testing::Values(1, 2, 3), seed_name);

}  // namespace
