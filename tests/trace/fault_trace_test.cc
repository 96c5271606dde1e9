// Traces of scenarios with one or several faults of controllers, machines, the state store and the
// cloud; see fault_trace.h.
#include "trace/fault_trace.h"

using namespace eiderreel;
using namespace eiderreel::standin;

namespace {

TEST_F(FaultTrace, NoFaults) {
  SimulatedCluster cluster({});
  submit_usual_load(cluster, 5);
  cluster.at(30, [&] { cluster.cancel("run-101"); });
  cluster.run_until(60);
  EXPECT_EQ(cluster.phase("run-101"), "cancelled");
  EXPECT_EQ(cluster.tasks_on("run-101"), 0u);
  EXPECT_EQ(cluster.phase("run-104"), "done");
  expect_trace_equals(cluster, "quiet_day");
}

TEST_F(FaultTrace, LeaderCrashes) {
  SimulatedCluster cluster({});
  submit_usual_load(cluster, 5);
  cluster.at(9, [&] { cluster.crash(1); });
  cluster.run_until(70);
  expect_usual_load_finished(cluster);
  EXPECT_EQ(cluster.leader_of(1), 1);  // returned to its preferred leader
  expect_trace_equals(cluster, "one_leader_crashes");
}

TEST_F(FaultTrace, AllControllersCrashAtOnce) {
  SimulatedCluster cluster({});
  submit_usual_load(cluster, 5);
  cluster.at(9, [&] {
    for (int i = 0; i < 3; ++i) cluster.crash(i);
  });
  cluster.run_until(70);
  expect_usual_load_finished(cluster);
  expect_trace_equals(cluster, "all_crash_at_once");
}

TEST_F(FaultTrace, LeaderRestartsWithinAFractionOfASecond) {
  SimulatedCluster cluster({});
  submit_usual_load(cluster, 5);
  cluster.at(9, [&] { cluster.crash(0, 0.2); });
  cluster.run_until(60);
  expect_usual_load_finished(cluster);
  expect_trace_equals(cluster, "a_leader_is_back_at_once");
}

TEST_F(FaultTrace, RollingRestart) {
  SimulatedCluster cluster({});
  submit_usual_load(cluster, 5);
  for (int i = 0; i < 3; ++i) cluster.at(9 + 10 * i, [&cluster, i] { cluster.crash(i); });
  cluster.run_until(90);
  expect_usual_load_finished(cluster);
  expect_trace_equals(cluster, "rolling_restart");
}

TEST_F(FaultTrace, StateStoreOutage) {
  SimulatedCluster cluster({});
  submit_usual_load(cluster, 5);
  cluster.at(9, [&] { cluster.set_store_outage(true); });
  cluster.at(24, [&] { cluster.set_store_outage(false); });
  cluster.run_until(70);
  expect_usual_load_finished(cluster);
  expect_trace_equals(cluster, "state_outage");
}

// The state store rejects one controller, which must stop acting as leader before its partition has
// a new one.
TEST_F(FaultTrace, StateStoreRejectsOneController) {
  SimulatedCluster cluster({});
  submit_usual_load(cluster, 5);
  cluster.at(9, [&] { cluster.set_store_unavailable_to(1, true); });
  cluster.at(40, [&] { cluster.set_store_unavailable_to(1, false); });
  cluster.run_until(80);
  expect_usual_load_finished(cluster);
  expect_trace_equals(cluster, "one_node_is_refused");
}

// A partition is returned to its preferred leader just when the state store rejects its current
// leader. The partition's key must still be deleted: if it stays, the partition has no leader until
// that process ends.
TEST_F(FaultTrace, StateStoreRejectsAFailback) {
  SimulatedCluster cluster({});
  submit_usual_load(cluster, 5);
  cluster.at(9, [&] { cluster.crash(1, 8); });
  cluster.at(20, [&] {
    EXPECT_NE(cluster.leader_of(1), 1);
    for (int n : {0, 2}) cluster.set_store_unavailable_to(n, true);
  });
  cluster.at(22.5, [&] {
    for (int n : {0, 2}) cluster.set_store_unavailable_to(n, false);
  });
  cluster.run_until(60);
  EXPECT_EQ(cluster.leader_of(1), 1);
  expect_usual_load_finished(cluster);
  expect_trace_equals(cluster, "a_failback_is_refused");
}

// The claims of a vacant partition are lost and never applied: the claim must be retried.
TEST_F(FaultTrace, PartitionClaimIsLost) {
  SimulatedCluster cluster({});
  submit_usual_load(cluster, 5);
  cluster.at(9, [&] { cluster.crash(1, 60); });
  bool claims_lost = false;
  for (double time_s = 10; time_s < 20; time_s += 0.05)
    cluster.at(time_s, [&] {
      if (claims_lost || cluster.leader_of(1) >= 0) return;
      claims_lost = true;
      cluster.at(cluster.now() + 0.25, [&] {
        cluster.partition_network({"n0", "n2"}, {"state"}, NetworkPartitionMode::reset);
      });
      cluster.at(cluster.now() + 2.75, [&] { cluster.heal_network(); });
    });
  cluster.run_until(30);
  EXPECT_NE(cluster.leader_of(1), -1);
  cluster.run_until(60);
  for (const char* id : {"run-102", "run-104", "run-106"})
    EXPECT_EQ(cluster.phase(id), "done") << id;
  expect_trace_equals(cluster, "a_claim_is_lost");
}

TEST_F(FaultTrace, MachineDiesWithItsTasks) {
  SimulatedCluster cluster({});
  submit_usual_load(cluster, 5);
  cluster.at(9, [&] { cluster.kill_machine(cluster.machines_of("run-101").at(0)); });
  cluster.run_until(70);
  expect_usual_load_finished(cluster);
  expect_trace_equals(cluster, "a_machine_stops");
}

TEST_F(FaultTrace, MachineHangsAndResumes) {
  SimulatedCluster cluster({});
  submit_usual_load(cluster, 5);
  cluster.at(9, [&] { cluster.freeze_machine(cluster.machines_of("run-101").at(0), true); });
  cluster.at(30, [&] {
    for (int i = 0; i < 6; ++i) cluster.freeze_machine(machine_id(i), false);
  });
  cluster.run_until(70);
  expect_usual_load_finished(cluster);
  expect_trace_equals(cluster, "a_machine_hangs");
}

TEST_F(FaultTrace, MachineFailsEveryTask) {
  SimulatedCluster cluster({});
  cluster.at(1, [&] { cluster.set_machine_faulty("m-000000", true); });
  submit_usual_load(cluster, 5);
  cluster.run_until(70);
  expect_usual_load_finished(cluster);
  expect_trace_equals(cluster, "a_sick_machine");
}

// A job that fails on every machine must neither get healthy machines quarantined nor be restarted
// without backoff.
TEST_F(FaultTrace, JobFailsOnEveryMachine) {
  SimulatedCluster cluster({});
  cluster.set_job_failing("run-50");
  cluster.at(4, [&] { cluster.submit(cluster.job("run-50", "red", 4)); });
  submit_usual_load(cluster, 8);
  cluster.at(60, [&] { cluster.cancel("run-50"); });
  cluster.run_until(80);
  expect_usual_load_finished(cluster);
  EXPECT_EQ(cluster.phase("run-50"), "cancelled");
  EXPECT_LT(cluster.checker().starts(), 150u);
  expect_trace_equals(cluster, "a_job_fails_everywhere");
}

TEST_F(FaultTrace, BurstProvisionsAndReturnsMachines) {
  SimulatedCluster cluster({});
  cluster.at(5, [&] {
    for (int i = 1; i <= 6; ++i)
      cluster.submit(cluster.job("run-" + std::to_string(i), i % 2 ? "red" : "blue", 100, 1, 8));
  });
  cluster.run_until(40);
  EXPECT_GT(cluster.machines_up(), 6u);
  cluster.run_until(240);
  for (int i = 1; i <= 6; ++i) EXPECT_EQ(cluster.phase("run-" + std::to_string(i)), "done");
  EXPECT_LT(cluster.machines_up(), 6u);
  expect_trace_equals(cluster, "a_burst");
}

TEST_F(FaultTrace, CloudHasNoCapacityIsDownAndBootsHang) {
  SimulatedCluster cluster({});
  cluster.set_no_cloud_capacity(true);
  cluster.at(5, [&] { cluster.submit(cluster.job("run-1", "red", 200, 1, 4)); });
  cluster.at(20, [&] { cluster.set_cloud_outage(true); });
  cluster.at(35, [&] {
    cluster.set_cloud_outage(false);
    cluster.set_no_cloud_capacity(false);
    cluster.set_machines_stuck_booting(true);
  });
  cluster.at(60, [&] { cluster.set_machines_stuck_booting(false); });
  cluster.run_until(140);
  EXPECT_EQ(cluster.phase("run-1"), "done");
  expect_trace_equals(cluster, "cloud_troubles");
}

// A controller that missed more changes than the state store keeps must read all keys again, so
// that its view has the jobs accepted and ended in the meantime.
TEST_F(FaultTrace, ControllerMissesMoreChangesThanAreKept) {
  Options options;
  options.retained_changes = 4;
  SimulatedCluster cluster(options);
  submit_usual_load(cluster, 5);
  cluster.at(9, [&] { cluster.partition_network({"n1"}, {"state"}, NetworkPartitionMode::reset); });
  cluster.at(12, [&] { cluster.cancel("run-101"); });
  for (int i = 1; i <= 6; ++i)
    cluster.at(12 + i, [&cluster, i] {
      cluster.submit(cluster.job("run-" + std::to_string(i), "gold", 1, 1, 2));
    });
  cluster.at(40, [&] { cluster.heal_network(); });
  cluster.run_until(60);
  int status = 0;
  std::string phase;
  cluster.poll_once(1, "run-101", [&](int code, std::string polled_phase) {
    status = code;
    phase = polled_phase;
  });
  cluster.run_until(62);
  EXPECT_EQ(status, 200);
  EXPECT_EQ(phase, "cancelled");
  EXPECT_EQ(cluster.node(1)->state_store().counters().replies.count(410), 1u);
  for (int i = 1; i <= 6; ++i) EXPECT_EQ(cluster.phase("run-" + std::to_string(i)), "done");
  expect_trace_equals(cluster, "changes_missed");
}

// Overlapping faults: an outage of the state store, a controller crash, a lost machine and a
// cancellation during the outage, and two more crashes after it.
TEST_F(FaultTrace, FaultsOverlap) {
  SimulatedCluster cluster({});
  submit_usual_load(cluster, 5);
  cluster.at(8, [&] { cluster.set_store_outage(true); });
  cluster.at(11, [&] { cluster.crash(2); });
  cluster.at(12, [&] { cluster.kill_machine("m-000003"); });
  cluster.at(13, [&] { cluster.cancel("run-105"); });
  cluster.at(22, [&] { cluster.set_store_outage(false); });
  cluster.at(25, [&] { cluster.crash(0); });
  cluster.at(26, [&] { cluster.crash(1, 0.3); });
  cluster.run_until(100);
  EXPECT_EQ(cluster.phase("run-105"), "cancelled");
  for (const char* id : {"run-102", "run-104", "run-106"})
    EXPECT_EQ(cluster.phase(id), "done") << id;
  expect_trace_equals(cluster, "troubles_overlap");
}

// The heartbeats of a machine arrive, but no reply or command reaches it, and its leader crashes in
// the meantime. Its tasks must be restarted on other machines, and the scheduler must not keep
// sending starts to it.
TEST_F(FaultTrace, MachineReceivesNothingButItsHeartbeatsArrive) {
  SimulatedCluster cluster({});
  submit_usual_load(cluster, 5);
  std::string unreachable;
  cluster.at(9, [&] {
    unreachable = cluster.machines_of("run-101").at(0);
    cluster.block_inbound(unreachable, true);
  });
  cluster.at(20, [&] { cluster.crash(1); });
  for (int i = 1; i <= 6; ++i)
    cluster.at(20 + 4 * i, [&cluster, i] {
      cluster.submit(cluster.job("run-" + std::to_string(i), "red", 6, 1, 3));
    });
  cluster.at(80, [&] { cluster.block_inbound(unreachable, false); });
  cluster.run_until(140);
  cluster.checker().on_faults_ended(80);
  expect_usual_load_finished(cluster);
  for (int i = 1; i <= 6; ++i) EXPECT_EQ(cluster.phase("run-" + std::to_string(i)), "done");
  EXPECT_LT(cluster.launches_to(unreachable), 16u);
  expect_all_answered(cluster, kUsualLoadJobs);
  expect_trace_equals(cluster, "a_deaf_machine");
}

// Every heartbeat is delivered again 2 s and 25 s later, before and after a failover, a transfer of
// machines between partitions and a return of machines to the cloud.
TEST_F(FaultTrace, DuplicatedHeartbeatsArriveLate) {
  SimulatedCluster cluster({});
  cluster.set_duplicate_heartbeats(true);
  submit_usual_load(cluster, 5);
  cluster.at(7, [&] { cluster.submit(cluster.job("run-1", "red", 100, 1, 8)); });
  cluster.at(15, [&] { cluster.crash(0); });
  cluster.at(40, [&] { cluster.kill_machine("m-000004"); });
  cluster.at(90, [&] { cluster.crash(2, 0.3); });
  cluster.run_until(260);
  cluster.checker().on_faults_ended(100);
  expect_usual_load_finished(cluster);
  EXPECT_EQ(cluster.phase("run-1"), "done");
  // The state store lists no machine that does not exist.
  EXPECT_LE(cluster.node(0)->state_store().view().machines.size(), cluster.machines_up());
  expect_all_answered(cluster, kUsualLoadJobs);
  expect_trace_equals(cluster, "late_copies");
}

// A controller pauses for longer than its lease and resumes with the messages of that time in its
// buffers. It must not act for its partition, which has another leader by then.
TEST_F(FaultTrace, ControllerPausesBeyondItsLease) {
  SimulatedCluster cluster({});
  submit_usual_load(cluster, 5);
  cluster.at(9, [&] { cluster.freeze(1, 17); });
  cluster.at(14, [&] { cluster.cancel("run-103"); });
  cluster.at(25, [&] { EXPECT_NE(cluster.leader_of(1), 1); });
  cluster.run_until(90);
  EXPECT_EQ(cluster.leader_of(1), 1);
  EXPECT_EQ(cluster.phase("run-103"), "cancelled");
  EXPECT_EQ(cluster.phase("run-104"), "done");
  expect_no_lease_expired(cluster);
  expect_trace_equals(cluster, "a_controller_stands_still");
}

// Workers that leave an unresponsive leader must not be redirected to it: their leases would
// expire.
TEST_F(FaultTrace, WorkersOfAPausedLeaderFindTheNewLeaderInTime) {
  for (std::uint64_t seed = 1; seed <= 8; ++seed) {
    Options options;
    options.seed = seed;
    options.initial_machines = 24;
    SimulatedCluster cluster(options);
    submit_usual_load(cluster, 5);
    cluster.at(9 + 0.13 * static_cast<double>(seed), [&] { cluster.freeze(1, 30); });
    cluster.at(25, [&] { EXPECT_NE(cluster.leader_of(1), 1); });
    cluster.run_until(60);
    expect_no_lease_expired(cluster);
    EXPECT_TRUE(cluster.checker().violations().empty());
  }
}

// Controllers restart within a fraction of a second while a partition is claimed, while votes are
// pending, and while a partition is returned to its preferred leader; delayed duplicates of
// heartbeats arrive in addition.
TEST_F(FaultTrace, ControllersRestartDuringElections) {
  SimulatedCluster cluster({});
  cluster.set_duplicate_heartbeats(true);
  submit_usual_load(cluster, 5);
  cluster.at(9, [&] { cluster.crash(1, 8); });
  for (double time_s : {14.0, 14.3, 14.6})
    cluster.at(time_s, [&cluster] { cluster.crash(0, 0.2); });
  cluster.at(14.45, [&] { cluster.crash(2, 0.3); });
  cluster.at(30, [&] { cluster.set_store_outage(true); });
  cluster.at(33, [&] { cluster.crash(2, 0.2); });
  cluster.at(36, [&] { cluster.crash(0, 0.1); });
  cluster.at(40, [&] { cluster.set_store_outage(false); });
  for (double time_s : {44.0, 44.4, 44.9, 45.5})
    cluster.at(time_s, [&cluster] { cluster.crash(1, 0.15); });
  cluster.run_until(140);
  cluster.checker().on_faults_ended(50);
  expect_usual_load_finished(cluster);
  expect_all_answered(cluster, kUsualLoadJobs);
  expect_trace_equals(cluster, "back_in_mid_election");
}

// Demand exceeds capacity for minutes: a large array with a distant deadline and a job of a small
// team must still start in time.
TEST_F(FaultTrace, OverloadStarvesNoJob) {
  Options options;
  options.initial_machines = 2;
  options.rentable_machines = 0;
  options.nodes = 1;
  SimulatedCluster cluster(options);
  cluster.at(5, [&] {
    JobSpec large = cluster.job("run-900", "red", 60, 1, 20);
    large.jobclass = "large";
    large.deadline_s = 4000;
    cluster.submit(large);
    cluster.submit(cluster.job("run-901", "gold", 2, 8, 10));
  });
  for (int i = 0; i < 100; ++i)
    cluster.at(4 + 3 * i, [&cluster, i] {
      JobSpec spec = cluster.job("run-" + std::to_string(i + 1), i % 2 ? "red" : "blue", 8, 1, 8);
      spec.deadline_s = 20;
      cluster.submit(spec);
    });
  cluster.run_until(320);
  cluster.checker().on_run_end(320);
  expect_trace_equals(cluster, "overload");
}

}  // namespace
