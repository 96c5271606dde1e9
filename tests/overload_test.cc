// Sustained overload: no job starves, and capacity that becomes free is used in time.
#include <array>

#include "standin/expectations.h"

using namespace eiderreel;
using namespace eiderreel::standin;

namespace {

// A cluster whose cloud has no capacity for further machines.
Options fixed_fleet(int machines, int nodes) {
  Options options;
  options.initial_machines = machines;
  options.nodes = nodes;
  options.rentable_machines = 0;
  return options;
}

// Best-effort jobs of a team without a guaranteed share compete with teams whose queues never
// empty, over slow links. They must start in time, and so must tasks that each need a whole
// machine.
TEST(Overload, BestEffortJobsAndTheLargestTasksStartInTime) {
  Options options = fixed_fleet(4, 3);
  options.max_latency_ms = 150;
  options.teams.push_back({"guest", 0, 1e9, 0, 0});
  SimulatedCluster cluster(options);
  cluster.at(5, [&] {
    JobSpec small_tasks = cluster.job("run-900", "guest", 40, 1, 60),
            whole_machine = cluster.job("run-901", "guest", 3, 8, 30);
    for (JobSpec* spec : {&small_tasks, &whole_machine}) {
      spec->priority = Priority::best_effort;
      spec->deadline_s.reset();
      spec->jobclass = spec->id;
      cluster.submit(*spec);
    }
    for (int i = 0; i < 3; ++i)
      cluster.submit(cluster.service("run-80" + std::to_string(i),
                                     options.teams[static_cast<std::size_t>(i)].name, 1, 2));
  });
  for (int i = 0; i < 110; ++i)
    cluster.at(4 + 3 * i, [&cluster, i] {
      JobSpec spec = cluster.job("run-" + std::to_string(i + 1),
                                 std::array{"red", "blue", "gold"}[i % 3], 14, 1, 8);
      spec.deadline_s = 20;
      cluster.submit(spec);
    });
  cluster.run_until(320);
  cluster.checker().on_run_end(320);
  expect_rules_kept(cluster);
}

// Machines that failed every task for minutes have recovered. Jobs must not wait for the rest of a
// quarantine whose duration has doubled repeatedly.
TEST(Overload, RecoveredMachinesTakeWorkInTime) {
  SimulatedCluster cluster(fixed_fleet(2, 1));
  for (int i = 0; i < 2; ++i) {
    cluster.at(4, [&cluster, i] { cluster.set_machine_faulty(machine_id(i), true); });
    cluster.at(150, [&cluster, i] { cluster.set_machine_faulty(machine_id(i), false); });
  }
  for (int i = 0; i < 7; ++i)
    cluster.at(5 + 20 * i, [&cluster, i] {
      cluster.submit(
          cluster.job("run-" + std::to_string(i), std::array{"red", "blue", "gold"}[i % 3], 2));
    });
  cluster.at(150, [&cluster] { cluster.mark_faults_ended(); });
  cluster.run_until(250);
  expect_rules_kept(cluster);
  for (int i = 0; i < 7; ++i) EXPECT_EQ(cluster.phase("run-" + std::to_string(i)), "done") << i;
}

// A job must not avoid the machines on which it failed forever: two have recovered, and the third
// is full.
TEST(Overload, JobReturnsToMachinesOnWhichItFailed) {
  SimulatedCluster cluster(fixed_fleet(3, 1));
  cluster.at(4, [&cluster] { cluster.submit(cluster.service("run-800", "red", 1, 8)); });
  std::string full_machine;
  cluster.at(8, [&] {
    full_machine = cluster.machines_of("run-800").at(0);
    for (int i = 0; i < 3; ++i)
      if (machine_id(i) != full_machine) cluster.set_machine_faulty(machine_id(i), true);
    JobSpec spec = cluster.job("run-1", "blue", 1, 1, 10);
    spec.deadline_s = 11;  // no slack, so idle machines are kept
    cluster.submit(spec);
  });
  cluster.at(60, [&] {
    EXPECT_GE(cluster.checker().starts(), 3u);  // the job has failed
    for (int i = 0; i < 3; ++i) cluster.set_machine_faulty(machine_id(i), false);
    cluster.mark_faults_ended();
  });
  cluster.run_until(200);
  expect_rules_kept(cluster);
  EXPECT_EQ(cluster.phase("run-1"), "done");
}

// No machine can be provisioned, and every machine of the other partitions runs a service, so none
// is idle and can be transferred. Waiting jobs must still get the free capacity of those machines.
TEST(Overload, CapacityBesideServicesOfOtherPartitionsIsUsed) {
  Options options;
  options.rentable_machines = 0;
  SimulatedCluster cluster(options);
  cluster.at(5, [&] {
    for (int i = 0; i < 6; ++i) {
      JobSpec spec =
          cluster.service("run-80" + std::to_string(i), std::array{"blue", "gold"}[i % 2], 1, 5);
      cluster.submit(spec);
    }
  });
  cluster.at(12, [&] {
    for (int i = 0; i < 4; ++i) cluster.cancel("run-80" + std::to_string(i));
  });
  cluster.at(16, [&] {
    for (int i = 0; i < 4; ++i)
      cluster.submit(
          cluster.service("run-81" + std::to_string(i), std::array{"blue", "gold"}[i % 2], 1, 1.5));
    for (int i = 0; i < 5; ++i) {
      JobSpec spec = cluster.job("run-" + std::to_string(i), "red", 8, 1, 400);
      spec.spot = false;
      cluster.submit(spec);
    }
  });
  cluster.mark_faults_ended();
  cluster.run_until(200);
  expect_rules_kept(cluster);
}

}  // namespace
