// The size up to which nothing may be bounded by a constant: 4,000 machines. What is counted are
// messages and machines looked at, not time.
#include "standin/expectations.h"

using namespace eiderreel;
using namespace eiderreel::standin;

namespace {

constexpr int kMachines = 4000;

Options large() {
  Options o;
  o.machines = kMachines;
  o.heartbeat_interval_s = 5;
  o.lease_s = 26;
  o.cancel_s = 44;
  o.state_rps = 1000;
  o.state_write_rps = 1000;
  o.teams = {{"red", 8000, 20000, 0, 0}, {"blue", 8000, 20000, 0, 0}, {"gold", 8000, 20000, 0, 0}};
  return o;
}

// All machines are assigned and work; the leader ends and another one takes over; the cloud's list,
// which has more pages than a second of its rate allows, is read to its end.
TEST(LargeFleet, FourThousandMachinesAreAssignedListedAndTakenOver) {
  World w(large());
  w.at(12, [&w] {
    for (const char* team : {"red", "blue", "gold"})
      w.submit(w.job(std::string("run-") + std::to_string(team[0]), team, 1300, 8, 300));
  });
  std::size_t running = 0;
  w.at(30, [&] {
    for (const char* team : {"red", "blue", "gold"})
      running += w.tasks_on(std::string("run-") + std::to_string(team[0]));
    w.kill_machine(machine(1));
    w.take_machine(machine(2), 0);
    w.crash(w.leader_of(0), 4);
  });
  w.run_until(62);
  EXPECT_GE(running, 3800u);
  EXPECT_GE(w.lines("machine assigned"), static_cast<std::size_t>(kMachines));
  EXPECT_GE(w.lines("partition claimed"), 4u);
  // Each is known to be gone by a whole list alone.
  EXPECT_EQ(w.lines("machine released machine=" + machine(1)), 1u);
  EXPECT_GE(w.lines("machine forgotten machine=" + machine(2)), 1u);
  for (int n = 0; n < 3; ++n)
    for (const auto& [partition, core] : w.node(n)->partition_leader().partitions())
      EXPECT_LT(core->steps(), 40u * kMachines)
          << partition;  // a heartbeat is answered by one machine's
  expect_rules_kept(w);
}

}  // namespace
