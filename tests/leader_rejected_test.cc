// The state store rejects the leading controller alone; what it committed last has landed
// without an answer, and another controller confirms it to users. Then the state store is down for
// all, for longer than a cancellation has, while the workers keep sending heartbeats to the old
// leader.
#include <cmath>

#include "standin/expectations.h"

using namespace eiderreel;
using namespace eiderreel::standin;

namespace {

// Two arrays of the leader's partition that outlast the day; the first of them is cancelled.
void submit_lasting_arrays(SimulatedCluster& cluster) {
  cluster.at(5, [&cluster] {
    cluster.submit(cluster.job("run-1", "blue", 6, 1, 400));
    cluster.submit(cluster.job("run-2", "blue", 4, 1, 400));
  });
}

struct Gap {
  std::uint64_t seed;
  DelayModel late;        // of the commits just before the refusal
  double outage_after_s;  // from the refusal
};

class LeaderRejectedThenOutage : public testing::TestWithParam<Gap> {
 public:
  static constexpr double kAt = 30, kOutageS = 52.8;
  static constexpr int kLeader = 1;  // of the partition of team blue
  Options seeded_options() const {
    Options options;
    options.seed = GetParam().seed;
    return options;
  }
  // From a moment before the refusal on, until it, commits get no answer.
  void gap(SimulatedCluster& cluster) const {
    cluster.at(kAt - 0.3, [&cluster] { cluster.set_commit_delays(GetParam().late); });
    cluster.at(kAt, [&cluster] {
      cluster.set_commit_delays({});
      cluster.set_store_unavailable_to(kLeader, true);
    });
    cluster.at(kAt + GetParam().outage_after_s, [&cluster] { cluster.set_store_outage(true); });
    cluster.at(kAt + GetParam().outage_after_s + kOutageS, [&cluster] {
      cluster.set_store_outage(false);
      cluster.set_store_unavailable_to(kLeader, false);
    });
  }
  double outage_at() const { return kAt + GetParam().outage_after_s; }
};

TEST_P(LeaderRejectedThenOutage, CancelledTasksAreKilledInTime) {
  SimulatedCluster cluster(seeded_options());
  submit_lasting_arrays(cluster);
  gap(cluster);
  cluster.at(kAt - 0.2, [&] {
    ASSERT_EQ(cluster.leader_of(1), kLeader);
    ASSERT_EQ(cluster.tasks_on("run-1"), 6u);
    cluster.cancel("run-1");
  });
  std::size_t before = 0, confirmed = 0;
  cluster.at(outage_at() + 6,
             [&] { before = cluster.heartbeats_accepted(kLeader); });  // its lease would be over
  cluster.at(outage_at() + 50, [&] { confirmed = cluster.heartbeats_accepted(kLeader); });
  cluster.run_until(outage_at() + kOutageS - 1);
  // They meet: another controller has confirmed, and the workers stayed with the old leader.
  ASSERT_GE(cluster.cancel_confirmation("run-1").node, 0);
  EXPECT_NE(cluster.cancel_confirmation("run-1").node, kLeader);
  EXPECT_LT(cluster.cancel_confirmation("run-1").confirmed_at_s, outage_at());
  EXPECT_GT(confirmed, before + 40);
  EXPECT_EQ(cluster.tasks_on("run-1"), 0u);
  EXPECT_EQ(cluster.tasks_on("run-2"), 4u);
  // Whichever controller is polled, none contradicts it.
  for (int n = 0; n < 3; ++n) cluster.poll_once(n, "run-1", [](int, const std::string&) {});
  cluster.run_until(130);
  cluster.checker().on_faults_ended(90);
  EXPECT_EQ(cluster.phase("run-1"), "cancelled");
  expect_rules_kept(cluster);
}

// The same for a job whose last task ends at that moment: its old leader must not call it running.
TEST_P(LeaderRejectedThenOutage, DoneJobStaysDone) {
  SimulatedCluster cluster(seeded_options());
  cluster.at(5, [&] {
    cluster.submit(cluster.job("run-1", "blue", 2, 1, 22.5));
    cluster.submit(cluster.job("run-2", "blue", 2, 1, 400));
  });
  gap(cluster);
  // Whenever it ends, the commit of its end is without answer.
  cluster.at(kAt - 2, [&] { cluster.set_commit_delays(GetParam().late); });
  bool told = false;
  for (double time_s = kAt; time_s < outage_at() + 40; time_s += 0.5)
    cluster.at(time_s, [&] {
      for (int n : {0, 2, 1})
        cluster.poll_once(n, "run-1", [&, n](int, const std::string& phase) {
          told |= phase == "done" && n != kLeader && cluster.now() < outage_at();
        });
    });
  cluster.run_until(130);
  ASSERT_TRUE(told);
  EXPECT_EQ(cluster.phase("run-1"), "done");
  expect_rules_kept(cluster);
}

std::vector<Gap> gaps() {
  std::vector<Gap> out;
  const DelayModel lost{1, 0.005, 0.01}, late{1, 0.6, 1.6};
  for (std::uint64_t seed : {1, 2, 3, 4})
    for (double after : {2.2, 3.0, 3.6}) {
      out.push_back({seed, lost, after});
      out.push_back({seed, late, after});
    }
  return out;
}

INSTANTIATE_TEST_SUITE_P(Offsets, LeaderRejectedThenOutage, testing::ValuesIn(gaps()),
                         [](const auto& info) {
                           const Gap& gap = info.param;
                           return "Seed" + std::to_string(gap.seed) +
                                  (gap.late.min_s < 0.1 ? "LostReply" : "LateCommit") +
                                  "OutageAfterMs" +
                                  std::to_string(std::lround(gap.outage_after_s * 1000));
                         });

// The refusal lasts longer than a lease before the outage begins: the partition has a new leader,
// which confirms and goes on through the outage, though the old one has not seen its claim.
class LeaderRejectedBeyondItsLease
    : public testing::TestWithParam<std::tuple<std::uint64_t, double>> {};

TEST_P(LeaderRejectedBeyondItsLease, NewLeaderContinuesThroughTheOutage) {
  const auto [seed, after] = GetParam();
  Options options;
  options.seed = seed;
  SimulatedCluster cluster(options);
  submit_lasting_arrays(cluster);
  cluster.at(30, [&] { cluster.set_store_unavailable_to(1, true); });
  cluster.at(30 + after - 0.4, [&] {
    ASSERT_NE(cluster.leader_of(1), 1);
    cluster.cancel("run-1");
  });
  cluster.at(30 + after, [&] { cluster.set_store_outage(true); });
  cluster.run_until(30 + after + 52);
  ASSERT_NE(cluster.cancel_confirmation("run-1").node, -1);
  EXPECT_LT(cluster.cancel_confirmation("run-1").confirmed_at_s, 30 + after);
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
