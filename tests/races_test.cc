// Requests and commits that race with the completion of a job, with restarts and outages, and with
// a transaction whose outcome is unknown.
#include <array>
#include <cmath>

#include "standin/expectations.h"

using namespace eiderreel;
using namespace eiderreel::standin;

namespace {

// Without other faults, each job is cancelled, polled and submitted again at about the time when it
// is done. The offset grows by 25 ms from job to job.
TEST(JobCompletion, RacesWithCancellationPollAndResubmission) {
  SimulatedCluster cluster({});
  constexpr int kJobs = 60;
  std::vector<JobSpec> specs;
  for (int i = 0; i < kJobs; ++i) {
    JobSpec spec = cluster.job("run-" + std::to_string(i), std::array{"red", "blue", "gold"}[i % 3],
                               1, 0.25, 4);
    spec.image_gb = 0;
    specs.push_back(spec);
  }
  cluster.at(6, [&] {
    for (const auto& spec : specs) cluster.submit(spec);
  });
  for (int i = 0; i < kJobs; ++i)
    cluster.at(10.0 + 0.025 * i, [&cluster, &specs, i] {
      const JobSpec& spec = specs[static_cast<std::size_t>(i)];
      cluster.cancel(spec.id);
      for (int n = 0; n < 3; ++n) {
        cluster.poll_once(n, spec.id, [](int, const std::string&) {});
        cluster.resubmit(n, spec);
      }
      cluster.at(cluster.now() + 0.1, [&cluster, &spec] {
        for (int n = 0; n < 3; ++n) cluster.resubmit(n, spec);
      });
    });
  cluster.mark_faults_ended();
  cluster.run_until(110);
  expect_rules_kept(cluster);
  std::map<std::string, int> phase_counts;
  for (const auto& spec : specs) ++phase_counts[cluster.phase(spec.id)];
  EXPECT_GE(phase_counts["done"], 5);  // both outcomes occurred
  EXPECT_GE(phase_counts["cancelled"], 5);
  EXPECT_EQ(phase_counts["done"] + phase_counts["cancelled"], kJobs);
}

// No controller accepts a job that cannot run or a body that lacks a field, not even just after a
// restart or during an outage of the state store.
TEST(InvalidSubmissions, AreNeverAccepted) {
  SimulatedCluster cluster({});
  JobSpec unknown_zone = cluster.job("run-1", "red", 2),
          unknown_team = cluster.job("run-2", "nobody", 2),
          oversized = cluster.job("run-3", "red", 2, 9);
  unknown_zone.zone = "z";
  const std::string valid_body = codec::encode(cluster.job("run-4", "red", 2), "user");
  std::string missing_field = valid_body;
  missing_field.replace(missing_field.find("\"shards\""), 8, "\"shard\"");
  const std::vector<std::string> invalid_bodies = {codec::encode(unknown_zone, "u"),
                                                   codec::encode(unknown_team, "u"),
                                                   codec::encode(oversized, "u"),
                                                   missing_field,
                                                   valid_body + "x",
                                                   "[]"};
  cluster.at(8, [&] {
    for (int n = 0; n < 3; ++n) cluster.crash(n, 0.1 + n);
  });
  cluster.at(14, [&] { cluster.set_store_outage(true); });
  cluster.at(15, [&] { cluster.crash(1, 0.2); });
  cluster.at(30, [&] { cluster.set_store_outage(false); });
  for (double time_s = 3; time_s < 45; time_s += 0.31)
    cluster.at(time_s, [&cluster, &invalid_bodies] {
      for (int n = 0; n < 3; ++n)
        for (const auto& body : invalid_bodies) cluster.submit_invalid(n, body);
    });
  cluster.at(20, [&cluster] { cluster.submit(cluster.job("run-9", "red", 2)); });
  cluster.run_until(60);
  EXPECT_GT(cluster.invalid_submissions_with_status(400), 100u);
  EXPECT_GT(cluster.invalid_submissions_with_status(422), 100u);
  EXPECT_GT(cluster.invalid_submissions_with_status(503), 10u);
  EXPECT_EQ(cluster.phase("run-9"), "done");
  expect_rules_kept(cluster);
}

// Submits a service and a short array of each team.
void submit_short_load(SimulatedCluster& cluster) {
  cluster.at(5, [&cluster] {
    int n = 800;
    for (const char* team : {"red", "blue", "gold"}) {
      cluster.submit(cluster.service("run-" + std::to_string(n++), team, 1, 2));
      cluster.submit(cluster.job("run-" + std::to_string(n++), team, 6, 1, 4));
    }
  });
}

// The transaction that transfers idle machines to another partition gets no reply and is applied
// seconds later; until then the state store rejects retries. The sending partition must not use the
// machines while the outcome is unknown.
class TransferWithUnknownOutcome
    : public testing::TestWithParam<std::tuple<std::uint64_t, double>> {};

TEST_P(TransferWithUnknownOutcome, MachinesAreNotUsedUntilItIsProven) {
  const auto [seed, delay_s] = GetParam();
  Options options;
  options.seed = seed;
  options.rentable_machines = 0;
  SimulatedCluster cluster(options);
  submit_short_load(cluster);
  std::size_t transfers_before = 0;
  double transferred_at_s = 0;
  cluster.at(11, [&, delay_s = delay_s] {
    cluster.set_commit_delays({1, delay_s, delay_s + 0.1});
    transfers_before = cluster.count_trace_lines("machine transfer");
  });
  for (double time_s = 11.01; time_s < 60; time_s += 0.05)
    cluster.at(time_s, [&] {
      if (transferred_at_s > 0 || cluster.count_trace_lines("machine transfer") == transfers_before)
        return;
      transferred_at_s = cluster.now();
      cluster.set_commit_delays({});
      for (int n = 0; n < 3; ++n) cluster.set_store_unavailable_to(n, true);
      cluster.set_cloud_outage(true);  // machines cannot be returned, so their tasks keep running
      cluster.at(transferred_at_s + 20, [&cluster] { cluster.set_cloud_outage(false); });
      cluster.at(transferred_at_s + 3.6, [&cluster] {
        for (int n = 0; n < 3; ++n) cluster.set_store_unavailable_to(n, false);
      });
      cluster.at(transferred_at_s + 3.7, [&cluster] {
        for (int i = 0; i < 9; ++i)
          cluster.submit(cluster.job("run-" + std::to_string(i),
                                     std::array{"red", "blue", "gold"}[i % 3], 12));
      });
    });
  cluster.run_until(60);
  ASSERT_GT(transferred_at_s, 0);
  ASSERT_GE(cluster.commits_without_reply(), 1u);
  cluster.mark_faults_ended();
  cluster.run_until(190);
  expect_rules_kept(cluster);
  for (int i = 0; i < 9; ++i) EXPECT_EQ(cluster.phase("run-" + std::to_string(i)), "done") << i;
}

INSTANTIATE_TEST_SUITE_P(Delays, TransferWithUnknownOutcome,
                         testing::Combine(testing::Values(1, 2, 3), testing::Values(4.2, 5.0, 7.0)),
                         [](const auto& info) {
                           return "Seed" + std::to_string(std::get<0>(info.param)) + "LateMs" +
                                  std::to_string(std::lround(std::get<1>(info.param) * 1000));
                         });

}  // namespace
