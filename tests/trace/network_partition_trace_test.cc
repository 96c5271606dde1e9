// Traces of scenarios with a network partition. Connections across it either hang until it heals or
// are reset; every scenario runs in both modes.
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
  submit_usual_load(cluster, 5);
  cluster.at(
      9, [&] { cluster.partition_network({"n1"}, {SimulatedCluster::any_address()}, GetParam()); });
  cluster.at(40, [&] { cluster.heal_network(); });
  cluster.run_until(90);
  expect_usual_load_finished(cluster);
  expect_trace_equals(cluster, "leader_cut_" + mode());
}

TEST_P(NetworkPartitionTrace, LeaderLosesTheStateStore) {
  SimulatedCluster cluster({});
  submit_usual_load(cluster, 5);
  cluster.at(9, [&] { cluster.partition_network({"n1"}, {"state"}, GetParam()); });
  cluster.at(12, [&] { cluster.cancel("run-103"); });
  cluster.at(40, [&] { cluster.heal_network(); });
  cluster.run_until(90);
  EXPECT_EQ(cluster.phase("run-103"), "cancelled");
  EXPECT_EQ(cluster.phase("run-104"), "done");
  expect_trace_equals(cluster, "leader_cut_from_state_" + mode());
}

// The links between the controllers are down: every controller must still answer users correctly.
TEST_P(NetworkPartitionTrace, PeerLinksAreDown) {
  SimulatedCluster cluster({});
  cluster.at(3, [&] {
    cluster.partition_network({"n0", "n1", "n2"}, {"n0", "n1", "n2"}, GetParam());
  });
  submit_usual_load(cluster, 5);
  cluster.at(20, [&] { cluster.cancel("run-101"); });
  cluster.at(40, [&] { cluster.heal_network(); });
  cluster.run_until(70);
  EXPECT_EQ(cluster.phase("run-101"), "cancelled");
  EXPECT_EQ(cluster.phase("run-104"), "done");
  expect_trace_equals(cluster, "peer_links_down_" + mode());
}

// Heartbeats and commands that arrive after having been held for longer than a lease must have no
// effect.
TEST_P(NetworkPartitionTrace, MachinesAreIsolatedBeyondTheirLease) {
  SimulatedCluster cluster({});
  submit_usual_load(cluster, 5);
  cluster.at(9, [&] {
    cluster.partition_network({"w-m-000000", "w-m-000001", "w-m-000002"},
                              {SimulatedCluster::any_address()}, GetParam());
  });
  cluster.at(30, [&] { cluster.heal_network(); });
  cluster.run_until(90);
  expect_usual_load_finished(cluster);
  expect_trace_equals(cluster, "machines_cut_" + mode());
}

// A controller can reach only its workers. It must stop acting as leader in time, its workers must
// find the new leader before their leases expire, and it must rejoin after the partition heals.
TEST_P(NetworkPartitionTrace, LeaderReachesOnlyItsWorkers) {
  SimulatedCluster cluster({});
  submit_usual_load(cluster, 5);
  cluster.at(9, [&] {
    cluster.partition_network({"n1"}, {"state", "cloud", "n0", "n2", "user"}, GetParam());
  });
  cluster.at(50, [&] { cluster.heal_network(); });
  cluster.run_until(90);
  cluster.checker().on_faults_ended(50);
  expect_usual_load_finished(cluster);
  expect_no_lease_expired(cluster);
  expect_all_answered(cluster, kUsualLoadJobs);
  expect_trace_equals(cluster, "only_workers_" + mode());
}

// A controller loses only the connections to its workers. Another controller must serve them before
// their leases expire, and the first one again once their heartbeats reach it.
TEST_P(NetworkPartitionTrace, LeaderLosesItsWorkers) {
  SimulatedCluster cluster({});
  submit_usual_load(cluster, 5);
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
  expect_usual_load_finished(cluster);
  expect_no_lease_expired(cluster);
  expect_all_answered(cluster, kUsualLoadJobs);
  expect_trace_equals(cluster, "workers_lost_" + mode());
}

INSTANTIATE_TEST_SUITE_P(Modes, NetworkPartitionTrace,
                         testing::Values(NetworkPartitionMode::hold, NetworkPartitionMode::reset),
                         [](const auto& i) {
                           return i.param == NetworkPartitionMode::hold ? "Hold" : "Reset";
                         });

}  // namespace
