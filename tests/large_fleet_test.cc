// A fleet of 4,000 machines, the size up to which no constant in the code may be a limit. The
// bounds are on counts of messages and of machines examined, not on time.
#include "standin/expectations.h"

using namespace eiderreel;
using namespace eiderreel::standin;

namespace {

constexpr int kMachines = 4000;

Options large_fleet() {
  Options options;
  options.initial_machines = kMachines;
  options.heartbeat_interval_s = 5;
  options.lease_s = 26;
  options.cancel_s = 44;
  options.state_rps = 1000;
  options.state_write_rps = 1000;
  options.teams = {
      {"red", 8000, 20000, 0, 0}, {"blue", 8000, 20000, 0, 0}, {"gold", 8000, 20000, 0, 0}};
  return options;
}

// All machines are assigned and run tasks, the leader crashes and another controller takes over,
// and the cloud's machine list, which has more pages than its rate limit allows in a second, is
// read to its end.
TEST(LargeFleet, FourThousandMachinesAreAssignedListedAndFailedOver) {
  SimulatedCluster cluster(large_fleet());
  cluster.at(12, [&cluster] {
    for (const char* team : {"red", "blue", "gold"})
      cluster.submit(
          cluster.job(std::string("run-") + std::to_string(team[0]), team, 1300, 8, 300));
  });
  std::size_t running = 0;
  cluster.at(30, [&] {
    for (const char* team : {"red", "blue", "gold"})
      running += cluster.tasks_on(std::string("run-") + std::to_string(team[0]));
    cluster.kill_machine(machine_id(1));
    cluster.reclaim_machine(machine_id(2), 0);
    cluster.crash(cluster.leader_of(0), 4);
  });
  cluster.run_until(62);
  EXPECT_GE(running, 3800u);
  EXPECT_GE(cluster.count_trace_lines("machine assigned"), static_cast<std::size_t>(kMachines));
  EXPECT_GE(cluster.count_trace_lines("partition claimed"), 4u);
  // Only a completely read list shows that these machines are gone.
  EXPECT_EQ(cluster.count_trace_lines("machine released machine=" + machine_id(1)), 1u);
  EXPECT_GE(cluster.count_trace_lines("machine record deletion machine=" + machine_id(2)), 1u);
  for (int n = 0; n < 3; ++n)
    for (const auto& [partition, core] : cluster.node(n)->partition_leader().partitions())
      EXPECT_LT(core->steps(), 40u * kMachines)
          << partition;  // answering a heartbeat takes steps for one machine only
  expect_rules_kept(cluster);
}

}  // namespace
