// Replies of a controller's HTTP API to users.
#include <gtest/gtest.h>

#include "standin/simulated_cluster.h"

using namespace eiderreel;
using namespace eiderreel::standin;

namespace {

struct HttpApi : testing::Test {
  SimulatedCluster cluster{Options{}};
  int status = -1;
  std::string body;
  void send_request(const std::string& method, const std::string& path,
                    const std::string& text = "") {
    status = -1;
    cluster.send_request(1, method, path, text, [this](int code, std::string text) {
      status = code;
      body = text;
    });
    cluster.run_until(cluster.now() + 1);
  }
  static std::string submission(const JobSpec& job) { return codec::encode(job, "u"); }
  void SetUp() override { cluster.run_until(5); }
};

TEST_F(HttpApi, RespondsWithTheDocumentedStatusCodes) {
  send_request("GET", "/ready");
  EXPECT_EQ(status, 200);
  send_request("POST", "/v1/jobs", "nonsense");
  EXPECT_EQ(status, 400);
  EXPECT_NE(body.find("\"error\""), std::string::npos);
  send_request("POST", "/v1/jobs", submission(cluster.job("run-1", "nobody", 1)));
  EXPECT_EQ(status, 422);
  send_request("POST", "/v1/jobs",
               submission(cluster.job("run-1", "red", 1, 9)));  // no machine has nine CPUs
  EXPECT_EQ(status, 422);
  JobSpec service = cluster.job("run-1", "red", 7, 8);
  service.kind = JobKind::service;  // 56 CPUs at once, above the quota of 48
  send_request("POST", "/v1/jobs", submission(service));
  EXPECT_EQ(status, 422);
  send_request("GET", "/v1/jobs/run-1");
  EXPECT_EQ(status, 404);
  send_request("GET", "/v1/jobs/nonsense");
  EXPECT_EQ(status, 404);
  send_request("POST", "/v1/jobs/run-1/cancel");
  EXPECT_EQ(status, 404);
  send_request("GET", "/v2");
  EXPECT_EQ(status, 404);
  send_request("POST", "/v1/jobs", std::string(constants::kMaxBodyBytes + 1, 'x'));
  EXPECT_EQ(status, 413);
  send_request("DELETE", "/v1/jobs");
  EXPECT_EQ(status, 405);
  send_request("POST", "/v1/report", "{}");
  EXPECT_EQ(status, 400);
}

TEST_F(HttpApi, ResubmissionIsIdempotent) {
  const JobSpec spec = cluster.job("run-1", "red", 2);
  cluster.submit(spec);
  cluster.run_until(6);
  send_request("POST", "/v1/jobs", submission(spec));
  EXPECT_EQ(status, 200);
  cluster.run_until(40);
  ASSERT_EQ(cluster.phase("run-1"), "done");
  send_request("POST", "/v1/jobs", submission(spec));
  EXPECT_EQ(status, 200);
  EXPECT_NE(body.find("done"), std::string::npos);
  EXPECT_TRUE(cluster.checker().violations().empty());
}

TEST_F(HttpApi, MetricsAndStatusShowJobsPartitionsAndRequests) {
  cluster.submit(cluster.job("run-1", "red", 2));
  cluster.run_until(8);
  send_request("GET", "/metrics");
  EXPECT_EQ(status, 200);
  for (const char* line : {"eiderreel_ready 1\n", "eiderreel_open_jobs 1\n",
                           "eiderreel_partition_fencing_token{partition=\"1\"} ",
                           "eiderreel_state_store_requests_total{status=\"200\"} ",
                           "eiderreel_user_latency_seconds_count{kind=\"poll\"} "})
    EXPECT_NE(body.find(line), std::string::npos) << line;
  send_request("GET", "/status");
  EXPECT_EQ(status, 200);
  EXPECT_NE(body.find("\"open_jobs\":1"), std::string::npos) << body;
  EXPECT_NE(body.find("\"owner\":\"n2\""), std::string::npos) << body;
}

// Invariant 9: a submission that cannot be accepted is rejected immediately.
TEST_F(HttpApi, SubmissionsAreRejectedImmediatelyDuringAnOutage) {
  cluster.set_store_outage(true);
  send_request("POST", "/v1/jobs", submission(cluster.job("run-1", "red", 1)));
  EXPECT_EQ(status, 503);
}

}  // namespace
