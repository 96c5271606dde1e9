// Traces of days with a network partition. Connections across it either hang until it heals, or are
// reset; every day is played both ways.
#include "trace/fault_trace.h"

using namespace eiderreel;
using namespace eiderreel::standin;

namespace {

class NetworkPartitionTrace : public FaultTrace,
                              public testing::WithParamInterface<NetworkPartitionMode> {
 public:
  std::string mode() const { return GetParam() == NetworkPartitionMode::hold ? "hold" : "reset"; }
};

TEST_P(NetworkPartitionTrace, LeaderIsIsolated) {
  SimulatedCluster cluster({});
  usual_load(cluster, 5);
  cluster.at(
      9, [&] { cluster.partition_network({"n1"}, {SimulatedCluster::any_address()}, GetParam()); });
  cluster.at(40, [&] { cluster.heal_network(); });
  cluster.run_until(90);
  expect_usual_load_ends(cluster);
  compare(cluster, "leader_cut_" + mode());
}

TEST_P(NetworkPartitionTrace, LeaderLosesTheStateStore) {
  SimulatedCluster cluster({});
  usual_load(cluster, 5);
  cluster.at(9, [&] { cluster.partition_network({"n1"}, {"state"}, GetParam()); });
  cluster.at(12, [&] { cluster.cancel("run-103"); });
  cluster.at(40, [&] { cluster.heal_network(); });
  cluster.run_until(90);
  EXPECT_EQ(cluster.phase("run-103"), "cancelled");
  EXPECT_EQ(cluster.phase("run-104"), "done");
  compare(cluster, "leader_cut_from_state_" + mode());
}

// The peer links is down: users are still answered correctly by every node.
TEST_P(NetworkPartitionTrace, PeerLinksAreDown) {
  SimulatedCluster cluster({});
  cluster.at(3, [&] {
    cluster.partition_network({"n0", "n1", "n2"}, {"n0", "n1", "n2"}, GetParam());
  });
  usual_load(cluster, 5);
  cluster.at(20, [&] { cluster.cancel("run-101"); });
  cluster.at(40, [&] { cluster.heal_network(); });
  cluster.run_until(70);
  EXPECT_EQ(cluster.phase("run-101"), "cancelled");
  EXPECT_EQ(cluster.phase("run-104"), "done");
  compare(cluster, "peer_links_down_" + mode());
}

// Heartbeats and commands held for longer than a lease arrive at last, and change nothing.
TEST_P(NetworkPartitionTrace, MachinesAreIsolatedBeyondTheirLease) {
  SimulatedCluster cluster({});
  usual_load(cluster, 5);
  cluster.at(9, [&] {
    cluster.partition_network({"w-m-000000", "w-m-000001", "w-m-000002"},
                              {SimulatedCluster::any_address()}, GetParam());
  });
  cluster.at(30, [&] { cluster.heal_network(); });
  cluster.run_until(90);
  expect_usual_load_ends(cluster);
  compare(cluster, "machines_cut_" + mode());
}

// A controller reaches its workers alone: it stops in time, they find the new leader before their
// lease ends, and it comes back.
TEST_P(NetworkPartitionTrace, LeaderReachesOnlyItsWorkers) {
  SimulatedCluster cluster({});
  usual_load(cluster, 5);
  cluster.at(9, [&] {
    cluster.partition_network({"n1"}, {"state", "cloud", "n0", "n2", "user"}, GetParam());
  });
  cluster.at(50, [&] { cluster.heal_network(); });
  cluster.run_until(90);
  cluster.checker().on_faults_ended(50);
  expect_usual_load_ends(cluster);
  expect_no_lease_ends(cluster);
  expect_all_answered(cluster, kUsualJobs);
  compare(cluster, "only_workers_" + mode());
}

// A controller loses its workers alone. They are served by a peer before their leases end, and by
// it again once it hears them.
TEST_P(NetworkPartitionTrace, LeaderLosesItsWorkers) {
  SimulatedCluster cluster({});
  usual_load(cluster, 5);
  std::set<std::string> workers;
  for (int i = 0; i < 20; ++i) {
    const std::string n = std::to_string(i);
    workers.insert("w-m-" + std::string(6 - n.size(), '0') + n);
  }
  cluster.at(9, [&] { cluster.partition_network({"n1"}, workers, GetParam()); });
  cluster.at(30, [&] { EXPECT_NE(cluster.leader_of(1), 1); });
  cluster.at(50, [&] { cluster.heal_network(); });
  cluster.run_until(90);
  EXPECT_EQ(cluster.leader_of(1), 1);
  cluster.checker().on_faults_ended(50);
  expect_usual_load_ends(cluster);
  expect_no_lease_ends(cluster);
  expect_all_answered(cluster, kUsualJobs);
  compare(cluster, "workers_lost_" + mode());
}

INSTANTIATE_TEST_SUITE_P(Modes, NetworkPartitionTrace,
                         testing::Values(NetworkPartitionMode::hold, NetworkPartitionMode::reset),
                         [](const auto& i) {
                           return i.param == NetworkPartitionMode::hold ? "Hold" : "Reset";
                         });

}  // namespace
