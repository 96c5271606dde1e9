// Jobs with prerequisites: the order in which they run, and how they are submitted.
#include "standin/chains.h"

#include <array>

#include "controller/status_report.h"
#include "standin/text.h"

using namespace eiderreel;
using namespace eiderreel::standin;

namespace {

// Jobs held by the scheduling cores of all partitions.
std::size_t scheduled_jobs(SimulatedCluster& cluster) {
  std::size_t jobs = 0;
  for (int n = 0; n < 3; ++n)
    if (cluster.node(n))
      for (const auto& [partition, core] : cluster.node(n)->partition_leader().partitions())
        jobs += core->job_count();
  return jobs;
}

TEST(Chain, StepsOfThreeTeamsRunInOrder) {
  SimulatedCluster cluster(options_with_seed(1));
  std::string last_job_phase;
  cluster.at(5, [&] { submit_pipeline(cluster, 5); });
  cluster.at(9, [&] {
    poll_phase(cluster, 1, "run-3", last_job_phase);
    EXPECT_EQ(scheduled_jobs(cluster), 1u);  // waiting jobs are not scheduled
    EXPECT_NE(
        status_json(*cluster.node(0)).find(R"("job":"run-3","prerequisites":1,"first":["run-2"])"),
        std::string::npos);
  });
  cluster.run_until(60);
  EXPECT_EQ(last_job_phase, "queued");
  EXPECT_EQ(cluster.count_trace_lines("job ready job=run-2"), 1u);
  expect_phase(cluster, {"run-1", "run-2", "run-3"}, "done");
  expect_rules_kept(cluster);
}

TEST(Chain, InvalidOrUnknownPrerequisiteIsRejected) {
  SimulatedCluster cluster(options_with_seed(1));
  std::map<std::string, int> statuses;
  auto submit = [&](const std::string& prerequisites_json, const std::string& job = "run-50") {
    std::string text = submission_text(cluster.job(job, "red", 1));
    text.insert(text.size() - 1, ",\"awaits\":" + prerequisites_json);
    cluster.send_request(1, "POST", "/v1/jobs", text,
                         [&, prerequisites_json](int status, std::string) {
                           statuses[prerequisites_json] = status;
                         });
  };
  cluster.at(5, [&] { cluster.submit(cluster.job("run-1", "blue", 1, 1, 100)); });
  cluster.at(8, [&] {
    for (const char* invalid : {"\"run-1\"", "[7]", "[\"job-1\"]", "[[\"run-1\"]]", "{}"})
      submit(invalid);
    submit("[\"run-99\"]");
    submit("[\"run-1\",\"run-99\"]");
    submit("[\"run-50\"]");
    submit("null", "run-51");
    submit("[]", "run-52");
    submit("[\"run-1\",\"run-1\"]", "run-53");
  });
  cluster.at(12, [&] { submit("[\"run-98\"]", "run-53"); });  // accepted before, so body is ignored
  cluster.at(12, [&] { submit("[\"not an id\"]", "run-53"); });
  cluster.run_until(15);
  for (const char* invalid : {"\"run-1\"", "[7]", "[\"job-1\"]", "[[\"run-1\"]]", "{}"})
    EXPECT_EQ(statuses[invalid], 400) << invalid;
  EXPECT_EQ(statuses["[\"run-99\"]"], 422);
  EXPECT_EQ(statuses["[\"run-1\",\"run-99\"]"], 422);
  EXPECT_EQ(statuses["[\"run-50\"]"], 422);
  EXPECT_EQ(statuses["null"], 201);
  EXPECT_EQ(statuses["[]"], 201);
  EXPECT_EQ(statuses["[\"run-1\",\"run-1\"]"], 201);
  EXPECT_EQ(statuses["[\"run-98\"]"], 200);
  EXPECT_EQ(statuses["[\"not an id\"]"], 200);
}

TEST(Chain, PrerequisiteOfUnknownStatusIsRejectedImmediatelyDuringAnOutage) {
  SimulatedCluster cluster(options_with_seed(1));
  int status = 0;
  double answered_at_s = 0;
  cluster.at(20, [&] { cluster.set_store_outage(true); });
  cluster.at(22, [&] {
    cluster.send_request(
        0, "POST", "/v1/jobs",
        submission_text(with_prerequisites(cluster.job("run-2", "red", 1), {"run-1"})),
        [&](int code, std::string) {
          status = code;
          answered_at_s = cluster.now();
        });
  });
  cluster.run_until(30);
  EXPECT_EQ(status, 503);
  EXPECT_LT(answered_at_s, 22.5);
}

// Users set priority and deadline on the last job of a chain. Its prerequisites must be scheduled
// before jobs of lower urgency that have no dependents.
TEST(Chain, PrerequisitesInheritTheUrgencyOfTheirDependents) {
  Options options = options_with_seed(1);
  options.initial_machines = 2;
  options.rentable_machines = 0;
  SimulatedCluster cluster(options);
  cluster.at(5, [&] { cluster.submit(cluster.job("run-9", "red", 16, 1, 12)); });
  cluster.at(6, [&] {
    for (int n : {1, 2}) {
      JobSpec prerequisite = cluster.job(job_id(n), "red", 16, 1, 10);
      prerequisite.priority = Priority::best_effort;
      cluster.submit(prerequisite);
    }
  });
  cluster.at(8, [&] {
    JobSpec dependent = cluster.job("run-3", "red", 1, 1, 5);
    dependent.priority = Priority::high;
    cluster.submit_after_prerequisites(with_prerequisites(dependent, {"run-2"}));
  });
  cluster.run_until(29);
  expect_phase(cluster, {"run-2", "run-3"}, "done");
  EXPECT_NE(cluster.phase("run-1"), "done");
  expect_rules_kept(cluster);
}

class ChainSubmission : public SeededTest {};

// Each job is submitted as soon as its prerequisite is accepted, through another controller whose
// view of the state store is stale.
TEST_P(ChainSubmission, ThroughControllersWithStaleViews) {
  SimulatedCluster cluster(options_with_seed(GetParam()));
  std::array<int, 6> status{};
  std::function<void(int)> submit = [&](int n) {
    JobSpec job = cluster.job(job_id(n), n % 2 ? "red" : "blue", 1, 1, 2);
    if (n > 1) job.prerequisites = {job_id(n - 1)};
    cluster.submit(job);
    cluster.send_request(n % 3, "POST", "/v1/jobs", submission_text(job),
                         [&, n](int code, std::string) {
                           status[static_cast<std::size_t>(n)] = code;
                           if (n < 5) submit(n + 1);
                         });
  };
  cluster.at(5, [&] { submit(1); });
  cluster.run_until(50);
  for (int n = 1; n <= 5; ++n) {
    EXPECT_TRUE(status[static_cast<std::size_t>(n)] == 201 ||
                status[static_cast<std::size_t>(n)] == 200)
        << n << ": " << status[static_cast<std::size_t>(n)];
    EXPECT_EQ(cluster.phase(job_id(n)), "done");
  }
  expect_rules_kept(cluster);
}

// Jobs are submitted after their prerequisites have ended and all controllers have restarted, so
// that no controller has read the final records.
TEST_P(ChainSubmission, AfterAFullRestartWhenPrerequisitesHaveEnded) {
  SimulatedCluster cluster(options_with_seed(GetParam()));
  int status = 0, unknown_prerequisite_status = 0;
  cluster.at(5, [&] {
    cluster.submit(cluster.job("run-1", "red", 2, 1, 3));
    cluster.submit(cluster.job("run-2", "blue", 2, 1, 300));
  });
  cluster.at(10, [&] { cluster.cancel("run-2"); });
  cluster.at(30, [&] {
    for (int n = 0; n < 3; ++n) cluster.crash(n, 2);
  });
  cluster.at(33, [&] {
    cluster.submit(with_prerequisites(cluster.job("run-3", "gold", 2, 1, 3), {"run-1"}));
    cluster.submit(with_prerequisites(cluster.job("run-4", "gold", 2, 1, 3), {"run-1", "run-2"}));
    cluster.send_request(
        1, "POST", "/v1/jobs",
        submission_text(with_prerequisites(cluster.job("run-5", "gold", 1), {"run-1", "run-77"})),
        [&](int code, std::string) { unknown_prerequisite_status = code; });
  });
  cluster.at(36, [&] {
    cluster.send_request(2, "GET", "/v1/jobs/run-4", "",
                         [&](int code, std::string) { status = code; });
  });
  cluster.run_until(70);
  EXPECT_TRUE(unknown_prerequisite_status == 422 || unknown_prerequisite_status == 503)
      << unknown_prerequisite_status;
  EXPECT_EQ(status, 200);
  expect_phase(cluster, {"run-3"}, "done");
  expect_phase(cluster, {"run-4"}, "cancelled");
  expect_rules_kept(cluster);
}

// A controller rejected by the state store cannot tell whether a prerequisite was ever accepted: it
// must answer 503.
TEST_P(ChainSubmission, ThroughAControllerTheStateStoreRejects) {
  SimulatedCluster cluster(options_with_seed(GetParam()));
  int status = 0;
  cluster.at(20, [&] { cluster.set_store_unavailable_to(1, true); });
  cluster.at(21, [&] { cluster.submit(cluster.job("run-1", "red", 1, 1, 5)); });
  cluster.at(24, [&] {
    cluster.send_request(
        1, "POST", "/v1/jobs",
        submission_text(with_prerequisites(cluster.job("run-2", "red", 1), {"run-1"})),
        [&](int code, std::string) { status = code; });
  });
  cluster.at(30, [&] { cluster.set_store_unavailable_to(1, false); });
  cluster.at(
      40, [&] { cluster.submit(with_prerequisites(cluster.job("run-2", "red", 1), {"run-1"})); });
  cluster.run_until(70);
  EXPECT_EQ(status, 503);
  expect_phase(cluster, {"run-1", "run-2"}, "done");
  expect_rules_kept(cluster);
}

// All controllers crash while the chain is half done.
TEST_P(ChainSubmission, BeforeAFullRestart) {
  SimulatedCluster cluster(options_with_seed(GetParam()));
  cluster.at(5, [&] {
    submit_pipeline(cluster, 6);
    cluster.submit_after_prerequisites(
        with_prerequisites(cluster.job("run-4", "red", 2, 1, 3), {"run-1", "run-3"}));
  });
  for (double time_s : {12.5, 30.0})
    cluster.at(time_s, [&] {
      for (int n = 0; n < 3; ++n) cluster.crash(n, 1 + n);
    });
  cluster.run_until(120);
  EXPECT_GE(cluster.count_trace_lines("crashes"), 6u);
  expect_phase(cluster, {"run-1", "run-2", "run-3", "run-4"}, "done");
  expect_rules_kept(cluster);
}

INSTANTIATE_TEST_SUITE_P(Seeds, ChainSubmission, testing::Values(1, 2, 3), seed_name);

}  // namespace
