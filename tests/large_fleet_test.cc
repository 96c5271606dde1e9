// The size up to which nothing may be bounded by a constant: 4,000 machines. What is counted are
// messages and machines looked at, not time.
#include "standin/expectations.h"

using namespace eiderreel;
using namespace eiderreel::standin;

namespace {

constexpr int kMachines = 4000;

Options large() {
  Options options;
  options.machines = kMachines;
  options.heartbeat_interval_s = 5;
  options.lease_s = 26;
  options.cancel_s = 44;
  options.state_rps = 1000;
  options.state_write_rps = 1000;
  options.teams = {
      {"red", 8000, 20000, 0, 0}, {"blue", 8000, 20000, 0, 0}, {"gold", 8000, 20000, 0, 0}};
  return options;
}

// All machines are assigned and work; the leader ends and another one takes over; the cloud's list,
// which has more pages than a second of its rate allows, is read to its end.
TEST(LargeFleet, FourThousandMachinesAreAssignedListedAndFailedOver) {
  SimulatedCluster cluster(large());
  cluster.at(12, [&cluster] {
    for (const char* team : {"red", "blue", "gold"})
      cluster.submit(
          cluster.job(std::string("run-") + std::to_string(team[0]), team, 1300, 8, 300));
  });
  std::size_t running = 0;
  cluster.at(30, [&] {
    for (const char* team : {"red", "blue", "gold"})
      running += cluster.tasks_on(std::string("run-") + std::to_string(team[0]));
    cluster.kill_machine(machine(1));
    cluster.take_machine(machine(2), 0);
    cluster.crash(cluster.leader_of(0), 4);
  });
  cluster.run_until(62);
  EXPECT_GE(running, 3800u);
  EXPECT_GE(cluster.lines("machine assigned"), static_cast<std::size_t>(kMachines));
  EXPECT_GE(cluster.lines("partition claimed"), 4u);
  // Each is known to be gone by a whole list alone.
  EXPECT_EQ(cluster.lines("machine released machine=" + machine(1)), 1u);
  EXPECT_GE(cluster.lines("machine record deletion machine=" + machine(2)), 1u);
  for (int n = 0; n < 3; ++n)
    for (const auto& [partition, core] : cluster.node(n)->partition_leader().partitions())
      EXPECT_LT(core->steps(), 40u * kMachines)
          << partition;  // a heartbeat is answered by one machine's
  expect_rules_kept(cluster);
}

}  // namespace
