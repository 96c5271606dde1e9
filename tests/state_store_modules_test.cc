// The independent modules of the state store client: errors, paths, the request queue, prerequisite
// chunks and the history of finished jobs.
#include <gtest/gtest.h>

#include <cstddef>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "config/settings.h"
#include "constants.h"
#include "runtime/http_status.h"
#include "runtime/runtime.h"
#include "state_store/compare_and_swap.h"
#include "state_store/finished_jobs.h"
#include "state_store/prerequisite_chunks.h"
#include "state_store/rate_limiter.h"
#include "state_store/request_queue.h"
#include "state_store/store_error.h"
#include "state_store/store_http.h"

namespace eiderreel {
namespace {

// A runtime with a manual clock; it keeps timers and requests for the test to run and answer.
class FakeRuntime : public Runtime {
 public:
  struct Sent {
    HttpRequest request;
    std::function<void(HttpReply)> done;
  };
  struct Timer {
    Ms delay = 0;
    std::function<void()> call;
  };

  Ms now() const override { return time; }
  Ms wall_clock_now() const override { return time; }
  double random() override { return 0; }
  std::string boot_id() const override { return "boot"; }
  void after(Ms delay, std::function<void()> call) override {
    timers.push_back({delay, std::move(call)});
  }
  void http(HttpRequest request, std::function<void(HttpReply)> done) override {
    sent.push_back({std::move(request), std::move(done)});
  }
  void send(const std::string&, const std::string&) override {}

  Ms time = 0;
  std::vector<Sent> sent;
  std::vector<Timer> timers;
};

class RequestQueueTest : public testing::Test {
 protected:
  RequestQueueTest() { limiter_.start(0); }

  void submit(const std::string& path, RequestPriority priority) {
    queue_.submit({.method = "GET",
                   .path = path,
                   .priority = priority,
                   .done = [this](const HttpReply& reply) { statuses_.push_back(reply.status); }});
  }

  Settings settings_;
  FakeRuntime runtime_;
  RateLimiter limiter_{settings_};
  RequestQueue queue_{runtime_, settings_, limiter_};
  std::vector<int> statuses_;
};

TEST_F(RequestQueueTest, SendsByPriorityAndNeverDelaysUrgentRequests) {
  submit("/progress", RequestPriority::progress);
  submit("/fleet", RequestPriority::fleet);
  submit("/urgent", RequestPriority::urgent);
  ASSERT_EQ(runtime_.sent.size(), 3u) << "with a full budget all requests are sent at once";
  while (queue_.size() == 0) submit("/more", RequestPriority::progress);
  const std::size_t before = runtime_.sent.size();
  submit("/fleet", RequestPriority::fleet);
  EXPECT_EQ(runtime_.sent.size(), before);
  submit("/urgent", RequestPriority::urgent);
  ASSERT_EQ(runtime_.sent.size(), before + 1);
  EXPECT_EQ(runtime_.sent.back().request.path, "/urgent");
  runtime_.time = 1000;
  queue_.send_allowed();
  ASSERT_EQ(runtime_.sent.size(), before + 3);
  EXPECT_EQ(runtime_.sent[before + 1].request.path, "/fleet");
  EXPECT_EQ(runtime_.sent[before + 2].request.path, "/more");
}

TEST_F(RequestQueueTest, RejectsARequestQueuedForLongerThanItsTimeout) {
  while (queue_.size() == 0) submit("/more", RequestPriority::fleet);
  runtime_.time = constants::kStateStoreTimeoutMs;
  queue_.send_allowed();
  EXPECT_EQ(queue_.size(), 0u);
  EXPECT_EQ(queue_.counters().refused_locally, 1u);
  ASSERT_EQ(runtime_.timers.size(), 1u);
  EXPECT_TRUE(statuses_.empty()) << "`done` must not run before submit() has returned";
  runtime_.timers[0].call();
  EXPECT_EQ(statuses_, std::vector<int>{http_status::kTooManyRequests});
}

TEST_F(RequestQueueTest, RetriesAThrottledUserRequest) {
  submit("/user", RequestPriority::user);
  runtime_.sent.at(0).done({http_status::kTooManyRequests, ""});
  ASSERT_EQ(runtime_.timers.size(), 1u);
  EXPECT_EQ(runtime_.timers[0].delay, constants::kThrottledRetryDelayMs);
  EXPECT_EQ(queue_.last_executed_at(), 0);
  runtime_.time = 100;
  runtime_.timers[0].call();
  ASSERT_EQ(runtime_.sent.size(), 2u);
  EXPECT_EQ(runtime_.sent[1].request.path, "/user");
  runtime_.sent[1].done({http_status::kOk, ""});
  EXPECT_EQ(statuses_, std::vector<int>{http_status::kOk});
  EXPECT_EQ(queue_.last_executed_at(), 100);
}

TEST(StoreError, DescribesTheFailure) {
  EXPECT_EQ(error_of_reply(0, "read", "a").kind, StoreErrorKind::no_answer);
  EXPECT_EQ(error_of_reply(200, "read", "a").kind, StoreErrorKind::malformed_reply);
  EXPECT_EQ(error_of_reply(400, "read", "a").kind, StoreErrorKind::rejected);
  EXPECT_EQ(error_of_reply(429, "read", "a").kind, StoreErrorKind::throttled);
  EXPECT_EQ(error_of_reply(500, "read", "a").kind, StoreErrorKind::server_error);
  EXPECT_EQ(error_of_reply(503, "read", "a").kind, StoreErrorKind::unavailable);
  EXPECT_EQ(to_string(error_of_reply(503, "read", "e/job/x")),
            "read e/job/x: unavailable (status 503)");
  EXPECT_EQ(to_string(error_of_reply(0, "compare", "")), "compare: no answer");
}

TEST(StoreError, OnlySomeStatusesLeaveTheOutcomeUnknown) {
  for (const int status : {0, 500, 502, 504}) EXPECT_TRUE(may_have_been_executed(status)) << status;
  for (const int status : {200, 400, 404, 409, 429, 503})
    EXPECT_FALSE(may_have_been_executed(status)) << status;
}

TEST(StoreHttp, BuildsThePathsOfTheProtocol) {
  EXPECT_EQ(store_http::key_path("e/job/x"), "/kv/e/job/x");
  EXPECT_EQ(store_http::list_path("e/job/", 500, ""), "/kv?prefix=e/job/&page=500");
  EXPECT_EQ(store_http::list_path("e/job/", 500, "e/job/x"),
            "/kv?prefix=e/job/&page=500&since=e/job/x");
  EXPECT_EQ(store_http::watch_path("e/", 431, 5000), "/follow?prefix=e/&since=431&wait_ms=5000");
  EXPECT_EQ(store_http::lease_path(7), "/grants/7");
  EXPECT_EQ(store_http::lease_renewal_path(7), "/grants/7/extend");
}

TEST(CasOutcome, ConvertsToString) {
  EXPECT_EQ(to_string(CasOutcome::ok), "ok");
  EXPECT_EQ(to_string(CasOutcome::conflict), "conflict");
  EXPECT_EQ(to_string(CasOutcome::superseded), "superseded");
  EXPECT_EQ(to_string(CasOutcome::refused), "refused");
  EXPECT_EQ(to_string(CasOutcome::unknown), "unknown");
}

TEST(PrerequisiteChunks, AreReturnedOnceCompleteAndKeepTheirKeys) {
  PrerequisiteChunks chunks;
  chunks.add_key({"job", "nonce", 1}, 10);
  chunks.set_jobs({"job", "nonce", 1}, {"c"});
  EXPECT_FALSE(chunks.take_prerequisites("job", "nonce", 2));
  chunks.add_key({"job", "nonce", 0}, 20);
  chunks.set_jobs({"job", "nonce", 0}, {"a", "b"});
  EXPECT_FALSE(chunks.take_prerequisites("job", "another try", 2));
  EXPECT_EQ(chunks.take_prerequisites("job", "nonce", 2),
            (std::vector<std::string>{"a", "b", "c"}));
  EXPECT_EQ(chunks.keys(),
            (std::vector<std::string>{"e/awaits/job/nonce/0", "e/awaits/job/nonce/1"}));
  const auto all = [](const std::string&, const std::string&, Ms) { return true; };
  EXPECT_EQ(chunks.orphaned_keys(1, all), std::vector<std::string>{"e/awaits/job/nonce/1"});
  chunks.erase({"job", "nonce", 0});
  chunks.erase({"job", "nonce", 1});
  EXPECT_TRUE(chunks.keys().empty());
}

TEST(FinishedJobs, ReturnsOnlyACompleteHistory) {
  FinishedJobs finished;
  finished.clear(100);
  finished.add({"a", JobPhase::done, 101});
  finished.add({"b", JobPhase::cancelled, 103});
  EXPECT_FALSE(finished.since(99));
  EXPECT_EQ(finished.since(100)->size(), 2u);
  ASSERT_EQ(finished.since(101)->size(), 1u);
  EXPECT_EQ(finished.since(101)->front().id, "b");
  for (std::size_t i = 0; i < constants::kMaxRecentFinishedJobs; ++i)
    finished.add({"c", JobPhase::done, 200 + i});
  EXPECT_FALSE(finished.since(102)) << "the oldest entries must be dropped";
  EXPECT_EQ(finished.since(103)->size(), constants::kMaxRecentFinishedJobs);
}

}  // namespace
}  // namespace eiderreel
