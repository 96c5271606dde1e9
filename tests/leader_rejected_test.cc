// The state store rejects only the leader of a partition. The leader's last commit, a cancellation
// or a completion, was applied without a reply, and another controller confirms it to users. Then
// the state store is down for all controllers, for longer than a cancellation may take, while the
// workers keep sending heartbeats to the old leader. The old leader must kill the cancelled tasks
// in time and must not contradict the confirmed phase.
#include <cmath>

#include "standin/expectations.h"

using namespace eiderreel;
using namespace eiderreel::standin;

namespace {

// Submits two arrays of the leader's partition that outlast the test; run-1 is cancelled later.
void submit_lasting_arrays(SimulatedCluster& cluster) {
  cluster.at(5, [&cluster] {
    cluster.submit(cluster.job("run-1", "blue", 6, 1, 400));
    cluster.submit(cluster.job("run-2", "blue", 4, 1, 400));
  });
}

struct RejectionTiming {
  std::uint64_t seed;
  DelayModel commit_delays;  // of the commits just before the rejection
  double outage_after_s;     // after the rejection begins
};

class LeaderRejectedThenOutage : public testing::TestWithParam<RejectionTiming> {
 public:
  static constexpr double kRejectedAtS = 30, kOutageS = 52.8;
  static constexpr int kLeader = 1;  // of the partition of team blue
  Options seeded_options() const {
    Options options;
    options.seed = GetParam().seed;
    return options;
  }
  // Schedules the faults: commits get no reply for 0.3 s, then the state store rejects the leader,
  // then it is down for all controllers.
  void schedule_faults(SimulatedCluster& cluster) const {
    cluster.at(kRejectedAtS - 0.3,
               [&cluster] { cluster.set_commit_delays(GetParam().commit_delays); });
    cluster.at(kRejectedAtS, [&cluster] {
      cluster.set_commit_delays({});
      cluster.set_store_unavailable_to(kLeader, true);
    });
    cluster.at(kRejectedAtS + GetParam().outage_after_s,
               [&cluster] { cluster.set_store_outage(true); });
    cluster.at(kRejectedAtS + GetParam().outage_after_s + kOutageS, [&cluster] {
      cluster.set_store_outage(false);
      cluster.set_store_unavailable_to(kLeader, false);
    });
  }
  double outage_at_s() const { return kRejectedAtS + GetParam().outage_after_s; }
};

TEST_P(LeaderRejectedThenOutage, CancelledTasksAreKilledInTime) {
  SimulatedCluster cluster(seeded_options());
  submit_lasting_arrays(cluster);
  schedule_faults(cluster);
  cluster.at(kRejectedAtS - 0.2, [&] {
    ASSERT_EQ(cluster.leader_of(1), kLeader);
    ASSERT_EQ(cluster.tasks_on("run-1"), 6u);
    cluster.cancel("run-1");
  });
  std::size_t heartbeats_before = 0, heartbeats_after = 0;
  // 6 s into the outage, the old leader's lease would have expired.
  cluster.at(outage_at_s() + 6, [&] { heartbeats_before = cluster.heartbeats_accepted(kLeader); });
  cluster.at(outage_at_s() + 50, [&] { heartbeats_after = cluster.heartbeats_accepted(kLeader); });
  cluster.run_until(outage_at_s() + kOutageS - 1);
  // The faults coincided: another controller confirmed the cancellation before the outage, and the
  // workers kept sending heartbeats to the old leader.
  ASSERT_GE(cluster.cancel_confirmation("run-1").node, 0);
  EXPECT_NE(cluster.cancel_confirmation("run-1").node, kLeader);
  EXPECT_LT(cluster.cancel_confirmation("run-1").confirmed_at_s, outage_at_s());
  EXPECT_GT(heartbeats_after, heartbeats_before + 40);
  EXPECT_EQ(cluster.tasks_on("run-1"), 0u);
  EXPECT_EQ(cluster.tasks_on("run-2"), 4u);
  // No controller may contradict the confirmation.
  for (int n = 0; n < 3; ++n) cluster.poll_once(n, "run-1", [](int, const std::string&) {});
  cluster.run_until(130);
  cluster.checker().on_faults_ended(90);
  EXPECT_EQ(cluster.phase("run-1"), "cancelled");
  expect_rules_kept(cluster);
}

// The same for a job whose last task ends just before the rejection: the old leader must not report
// it as running.
TEST_P(LeaderRejectedThenOutage, DoneJobStaysDone) {
  SimulatedCluster cluster(seeded_options());
  cluster.at(5, [&] {
    cluster.submit(cluster.job("run-1", "blue", 2, 1, 22.5));
    cluster.submit(cluster.job("run-2", "blue", 2, 1, 400));
  });
  schedule_faults(cluster);
  // From 2 s before the rejection, so that the commit of the job's completion gets no reply.
  cluster.at(kRejectedAtS - 2, [&] { cluster.set_commit_delays(GetParam().commit_delays); });
  bool done_reported = false;
  for (double time_s = kRejectedAtS; time_s < outage_at_s() + 40; time_s += 0.5)
    cluster.at(time_s, [&] {
      for (int n : {0, 2, 1})
        cluster.poll_once(n, "run-1", [&, n](int, const std::string& phase) {
          done_reported |= phase == "done" && n != kLeader && cluster.now() < outage_at_s();
        });
    });
  cluster.run_until(130);
  ASSERT_TRUE(done_reported);
  EXPECT_EQ(cluster.phase("run-1"), "done");
  expect_rules_kept(cluster);
}

std::vector<RejectionTiming> rejection_timings() {
  std::vector<RejectionTiming> timings;
  const DelayModel lost_reply{1, 0.005, 0.01}, late_commit{1, 0.6, 1.6};
  for (std::uint64_t seed : {1, 2, 3, 4})
    for (double delay_s : {2.2, 3.0, 3.6}) {
      timings.push_back({seed, lost_reply, delay_s});
      timings.push_back({seed, late_commit, delay_s});
    }
  return timings;
}

INSTANTIATE_TEST_SUITE_P(Offsets, LeaderRejectedThenOutage, testing::ValuesIn(rejection_timings()),
                         [](const auto& info) {
                           const RejectionTiming& timing = info.param;
                           return "Seed" + std::to_string(timing.seed) +
                                  (timing.commit_delays.min_s < 0.1 ? "LostReply" : "LateCommit") +
                                  "OutageAfterMs" +
                                  std::to_string(std::lround(timing.outage_after_s * 1000));
                         });

// The state store rejects the leader for longer than a lease before the outage begins. The
// partition gets a new leader, which confirms the cancellation and keeps serving its workers during
// the outage, although the old leader has not seen the new leader's claim.
class LeaderRejectedBeyondItsLease
    : public testing::TestWithParam<std::tuple<std::uint64_t, double>> {};

TEST_P(LeaderRejectedBeyondItsLease, NewLeaderContinuesThroughTheOutage) {
  const auto [seed, outage_delay_s] = GetParam();
  Options options;
  options.seed = seed;
  SimulatedCluster cluster(options);
  submit_lasting_arrays(cluster);
  cluster.at(30, [&] { cluster.set_store_unavailable_to(1, true); });
  cluster.at(30 + outage_delay_s - 0.4, [&] {
    ASSERT_NE(cluster.leader_of(1), 1);
    cluster.cancel("run-1");
  });
  cluster.at(30 + outage_delay_s, [&] { cluster.set_store_outage(true); });
  cluster.run_until(30 + outage_delay_s + 52);
  ASSERT_NE(cluster.cancel_confirmation("run-1").node, -1);
  EXPECT_LT(cluster.cancel_confirmation("run-1").confirmed_at_s, 30 + outage_delay_s);
  EXPECT_EQ(cluster.tasks_on("run-1"), 0u);
  EXPECT_EQ(cluster.tasks_on("run-2"), 4u);
  EXPECT_EQ(cluster.count_trace_lines("lease expired"), 0u);
  cluster.set_store_outage(false);
  cluster.set_store_unavailable_to(1, false);
  cluster.run_until(130);
  cluster.checker().on_faults_ended(90);
  expect_rules_kept(cluster);
}

INSTANTIATE_TEST_SUITE_P(Offsets, LeaderRejectedBeyondItsLease,
                         testing::Combine(testing::Values(1, 2, 3), testing::Values(7.0, 9.5)),
                         [](const auto& info) {
                           return "Seed" + std::to_string(std::get<0>(info.param)) +
                                  "OutageAfterMs" +
                                  std::to_string(std::lround(std::get<1>(info.param) * 1000));
                         });

}  // namespace
