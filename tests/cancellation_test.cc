// Cancellations under faults of controllers, machines, messages and the state store: the tasks of a
// cancelled job end within the time the protocol allows, and no status poll contradicts a confirmed
// cancellation.
#include "standin/expectations.h"

using namespace eiderreel;
using namespace eiderreel::standin;

namespace {

// Heartbeats so rare that two leases last longer than the time allowed for a cancellation.
Options slow_heartbeats(std::uint64_t seed) {
  Options options;
  options.seed = seed;
  options.heartbeat_interval_s = 5;
  options.lease_s = 26;
  options.cancel_s = 44;
  return options;
}

class CancellationDuringNetworkPartition : public testing::TestWithParam<std::uint64_t> {
 public:
  static constexpr double kCancelledAtS = 30;
  static constexpr double kHealedAtS = kCancelledAtS + 18.5;  // before most leases expire
};

// Guards against tasks that outlive a cancellation because a lease was renewed without the kills.
// The machines are isolated when their job is cancelled, and the leader crashes. They reconnect
// within their leases, and the new leader's first reply renews the lease with a new fencing token.
// Each machine is isolated again before its next heartbeat, for longer than that lease.
TEST_P(CancellationDuringNetworkPartition, ReplyWithANewFencingTokenCarriesKills) {
  SimulatedCluster cluster(slow_heartbeats(GetParam()));
  std::map<std::string, std::uint64_t> tokens;
  std::size_t isolated_again = 0;
  cluster.at(5, [&] { cluster.submit(cluster.job("run-1", "blue", 24, 1, 400)); });
  cluster.at(kCancelledAtS - 0.1, [&] {
    const auto machines = cluster.machines_of("run-1");
    ASSERT_EQ(machines.size(), 24u);
    for (const auto& machine : machines) {
      cluster.partition_network({worker_address(machine)}, {SimulatedCluster::any_address()},
                                NetworkPartitionMode::reset);
      tokens[machine] = cluster.fencing_token_of(machine);
    }
  });
  cluster.at(kCancelledAtS, [&] { cluster.cancel("run-1"); });
  cluster.at(kCancelledAtS + 2, [&] {
    ASSERT_GE(cluster.cancel_confirmation("run-1").node, 0);
    cluster.crash(cluster.leader_of(1), 60);
  });
  cluster.at(kHealedAtS, [&] { cluster.heal_network(); });
  for (double time_s = kHealedAtS; time_s < kHealedAtS + 15; time_s += 0.05)
    cluster.at(time_s, [&] {
      for (auto& [machine, token] : tokens) {
        if (cluster.fencing_token_of(machine) == token) continue;
        token = cluster.fencing_token_of(machine);
        ++isolated_again;
        cluster.partition_network({worker_address(machine)}, {SimulatedCluster::any_address()},
                                  NetworkPartitionMode::reset);
      }
    });
  cluster.run_until(kCancelledAtS + 60);
  EXPECT_GE(isolated_again, 2u);
  EXPECT_EQ(cluster.tasks_on("run-1"), 0u);
  expect_rules_kept(cluster);
}

INSTANTIATE_TEST_SUITE_P(Seeds, CancellationDuringNetworkPartition, testing::Values(1, 2, 3),
                         seed_name);

// A leader pauses until its lease has expired. The first event it processes when it resumes, before
// its own periodic work, is a job accepted in the meantime. That must not make it answer the
// heartbeats that are still waiting.
TEST(PausedLeader, AcknowledgesNoHeartbeatAfterItsLease) {
  std::size_t expired_leases = 0;
  for (int offset = 0; offset < 40; ++offset) {
    SimulatedCluster cluster({});
    const double paused_at_s = 20 + 0.05 * offset;
    cluster.at(paused_at_s, [&cluster] { cluster.freeze(1, 3.9); });
    cluster.at(paused_at_s + 0.01, [&cluster] {  // one at each controller
      for (const char* id : {"run-1", "run-2", "run-3"})
        cluster.submit(cluster.job(id, "blue", 6, 1, 5));
    });
    cluster.at(paused_at_s + 3.89,
               [&] { expired_leases += !cluster.node(1)->partition_leader().is_acting_leader(1); });
    cluster.run_until(60);
    for (const char* id : {"run-1", "run-2", "run-3"}) EXPECT_EQ(cluster.phase(id), "done");
    expect_rules_kept(cluster, std::to_string(paused_at_s));
  }
  EXPECT_GE(expired_leases, 5u);
}

// A controller that cannot reach the leader answers a status poll from the state store, which is
// slow. The value it reads may be older than a cancellation that another controller has confirmed
// to the user in the meantime, and must not be returned.
TEST(SlowStateStore, ReturnsNoStaleStatusAfterAConfirmedCancellation) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    Options options;
    options.seed = seed;
    SimulatedCluster cluster(options);
    cluster.at(5, [&cluster] { cluster.submit(cluster.service("run-1", "blue", 1, 1)); });
    cluster.at(19, [&cluster] {
      cluster.set_max_store_latency(1.2);
      cluster.partition_network({"n0"}, {"n1"}, NetworkPartitionMode::reset);
    });
    cluster.at(22, [&cluster] { cluster.cancel("run-1"); });
    for (double time_s = 20; time_s < 30; time_s += 0.05)
      cluster.at(time_s,
                 [&cluster] { cluster.poll_once(0, "run-1", [](int, const std::string&) {}); });
    cluster.run_until(40);
    EXPECT_EQ(cluster.phase("run-1"), "cancelled");
    expect_rules_kept(cluster, std::to_string(seed));
  }
}

// A controller pauses between a status poll and its reply. The status it has when it resumes is
// older than a cancellation that another controller has confirmed in the meantime, and must not be
// returned.
TEST(PausedController, ReturnsNoStaleStatusAfterResuming) {
  std::size_t confirmed_while_paused = 0;
  for (int offset = 0; offset < 30; ++offset) {
    Options options;
    options.seed = static_cast<std::uint64_t>(offset);
    SimulatedCluster cluster(options);
    cluster.at(5, [&cluster] { cluster.submit(cluster.job("run-1", "blue", 1, 1, 200)); });
    for (int n = 0; n < 12; ++n)
      cluster.at(20 + 0.001 * n,
                 [&cluster] { cluster.poll_once(0, "run-1", [](int, const std::string&) {}); });
    cluster.at(20.008 + 0.0005 * offset, [&cluster] { cluster.freeze(0, 2.5); });
    cluster.at(20.1, [&cluster] { cluster.cancel_at(2, "run-1"); });
    cluster.at(22,
               [&] { confirmed_while_paused += cluster.cancel_confirmation("run-1").node >= 0; });
    cluster.run_until(40);
    EXPECT_EQ(cluster.phase("run-1"), "cancelled");
    expect_rules_kept(cluster, std::to_string(offset));
  }
  EXPECT_GE(confirmed_while_paused, 10u);
}

// Direct commands are delayed for longer than a cancellation may take. The kills in heartbeat
// replies must suffice, also for tasks that are saving a checkpoint whose grace period is longer
// than that.
TEST(DelayedCommands, KillsOfACancelledJobArriveWithHeartbeatReplies) {
  Options options;
  options.initial_machines = 2;
  options.rentable_machines = 0;
  options.nodes = 1;
  options.cancel_s = 15;
  SimulatedCluster cluster(options);
  cluster.at(5, [&cluster] {
    JobSpec array = cluster.job("run-1", "red", 16, 1, 400);
    array.checkpoint_s = 5;
    array.save_s = 40;
    cluster.submit(array);
    cluster.set_command_delays({1, 60, 61});  // longer than a cancellation may take
  });
  cluster.at(12, [&cluster] {
    EXPECT_EQ(cluster.tasks_on("run-1"), 16u);
    cluster.submit(cluster.service("run-800", "blue", 1, 8));  // preempts some tasks of the array
  });
  cluster.at(20, [&cluster] {
    EXPECT_GE(cluster.count_trace_lines(" saves run-1/"), 8u);
    cluster.cancel("run-1");
  });
  cluster.run_until(60);
  EXPECT_EQ(cluster.phase("run-1"), "cancelled");
  EXPECT_EQ(cluster.tasks_on("run-800"), 1u);
  EXPECT_GE(cluster.delayed_commands(), 1u);
  expect_rules_kept(cluster);
}

}  // namespace
