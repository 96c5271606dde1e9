// Scenarios with two concurrent faults in the simulated cluster. Each has a load, a script of
// faults and a check that the faults did coincide. It runs for several seeds, and no rule may be
// violated. The last fault ends at `faults_end_s`; from then on the rules that depend on a
// fault-free cluster apply too.
#include "standin/expectations.h"

using namespace eiderreel;
using namespace eiderreel::standin;

namespace {

struct Load {
  std::vector<std::string> done_arrays;       // arrays that must be done
  std::vector<std::string> running_services;  // services that must be running
  std::vector<std::string> cancelled_jobs;    // jobs that must be cancelled
};

struct FaultScenario {
  const char* name;
  double faults_end_s;
  std::function<void(SimulatedCluster&, Load&)> script;
  std::function<void(SimulatedCluster&)> expect_faults_met;
};

// Submits a service, a short and a long array of each team.
void submit_usual_load(SimulatedCluster& cluster, Load& load, double time_s = 5) {
  int n = 100;
  for (const char* team : {"red", "blue", "gold"}) {
    const std::string service = "run-" + std::to_string(++n);
    const std::string short_array = "run-" + std::to_string(++n);
    const std::string long_array = "run-" + std::to_string(++n);
    cluster.at(time_s, [&cluster, service, short_array, long_array, team] {
      cluster.submit(cluster.service(service, team, 1, 2));
      cluster.submit(cluster.job(short_array, team, 8, 1, 8));
      cluster.submit(cluster.job(long_array, team, 3, 1, 60));
    });
    load.running_services.push_back(service);
    load.done_arrays.insert(load.done_arrays.end(), {short_array, long_array});
  }
}

std::set<std::string> worker_addresses(int first, int step, int limit = 40) {
  std::set<std::string> addresses;
  for (int i = first; i < limit; i += step) addresses.insert(worker_address(machine_id(i)));
  return addresses;
}

const std::vector<FaultScenario>& fault_scenarios() {
  static const std::vector<FaultScenario> scenarios = {
      {"JobsOfOneZoneLoseItsMachines", 12,
       [](SimulatedCluster& cluster, Load& load) {
         cluster.at(5, [&cluster] {
           JobSpec pinned = cluster.job("run-1", "blue", 4, 1, 12);
           pinned.zone = "a";
           JobSpec one_zone_job = cluster.job("run-2", "gold", 4, 1, 12);
           one_zone_job.one_zone = true;
           cluster.submit(pinned);
           cluster.submit(one_zone_job);
         });
         load.done_arrays = {"run-1", "run-2"};
         cluster.at(10, [&cluster] {
           for (int i = 0; i < 6; i += 2) cluster.kill_machine(machine_id(i));
         });
         cluster.at(11.9, [&cluster] { EXPECT_EQ(cluster.tasks_on("run-1"), 0u); });
       },
       [](SimulatedCluster& cluster) { EXPECT_EQ(cluster.count_trace_lines("is dead"), 3u); }},
      {"JobsOfOneZoneLoseItsMachinesWhileOthersStayIdle", 12,
       [](SimulatedCluster& cluster, Load& load) {
         load.done_arrays = {"run-1", "run-2", "run-3"};
         cluster.at(5, [&cluster] {
           for (int i = 1; i <= 3; ++i) {
             JobSpec pinned =
                 cluster.job("run-" + std::to_string(i), i % 2 ? "blue" : "gold", 4, 1, 12);
             pinned.zone = "a";
             pinned.deadline_s = 14;  // no slack, so idle machines are kept for minutes
             cluster.submit(pinned);
           }
         });
         cluster.at(10, [&cluster] {
           for (int i = 0; i < 6; i += 2) cluster.kill_machine(machine_id(i));
         });
       },
       [](SimulatedCluster& cluster) {
         EXPECT_EQ(cluster.count_trace_lines("is dead"), 3u);
         EXPECT_EQ(cluster.count_trace_lines("machine terminated machine=m-000001"), 0u);
       }},
      {"AllControllersAreDownBeyondALease", 31,
       [](SimulatedCluster& cluster, Load& load) {
         submit_usual_load(cluster, load);
         cluster.at(12, [&cluster] {
           for (int i = 0; i < 3; ++i) cluster.crash(i, 15 + i);
         });
       },
       [](SimulatedCluster& cluster) {
         EXPECT_GE(cluster.count_trace_lines("lease expired"), 3u);
       }},
      {"TenFailoversInTwoMinutesAndAnOutage", 135,
       [](SimulatedCluster& cluster, Load& load) {
         submit_usual_load(cluster, load);
         for (int i = 0; i < 12; ++i)
           cluster.at(12 + 9.7 * i, [&cluster, i] {
             if (const int leader = cluster.leader_of(0); leader >= 0)
               cluster.crash(leader, i % 3 ? 4 : 0.3);
           });
         cluster.at(60, [&cluster] { cluster.set_store_outage(true); });
         cluster.at(75, [&cluster] { cluster.set_store_outage(false); });
       },
       [](SimulatedCluster& cluster) {
         EXPECT_GE(cluster.count_trace_lines("partition claimed partition=0"), 10u);
         EXPECT_GE(cluster.count_trace_lines("crashes"), 10u);
       }},
      {"HeartbeatsOfEarlierIncarnationsArriveLate", 60,
       [](SimulatedCluster& cluster, Load& load) {
         submit_usual_load(cluster, load);
         cluster.set_duplicate_heartbeats(true);
         cluster.at(10, [&cluster] {
           for (int i = 0; i < 3; ++i) cluster.freeze_machine(machine_id(i), true);
         });
         cluster.at(23, [&cluster] {
           for (int i = 0; i < 3; ++i) cluster.freeze_machine(machine_id(i), false);
         });
         cluster.at(26, [&cluster] { cluster.crash(1); });
         cluster.at(45, [&cluster] { cluster.crash(0, 0.2); });
         cluster.at(60, [&cluster] { cluster.set_duplicate_heartbeats(false); });
       },
       [](SimulatedCluster& cluster) {
         EXPECT_GT(cluster.duplicate_heartbeats_sent(), 200u);
         EXPECT_GE(cluster.incarnation_of(machine_id(0)), 2u);
       }},
      {"FailoverAndFailbackThenAllCrashAndOneRestarts", 50,
       [](SimulatedCluster& cluster, Load& load) {
         submit_usual_load(cluster, load);
         cluster.at(10, [&cluster] { cluster.crash(1, 6); });
         for (double time_s = 16; time_s < 30; time_s += 0.05)
           cluster.at(time_s, [&cluster] {
             if (cluster.count_trace_lines("world all end") ||
                 cluster.count_trace_lines("reason=failback") < 3)
               return;
             cluster.append_trace("world all end");
             for (int i : {1, 2}) cluster.crash(i, 20);
             cluster.crash(0, 0.4);
           });
       },
       [](SimulatedCluster& cluster) {
         EXPECT_EQ(cluster.count_trace_lines("world all end"), 1u);
       }},
      {"SlowStateStoreWhileUsersCancelAndPoll", 50,
       [](SimulatedCluster& cluster, Load& load) {
         submit_usual_load(cluster, load);
         cluster.at(10, [&cluster] { cluster.set_max_store_latency(2.2); });
         for (double time_s = 10; time_s < 40; time_s += 3)
           cluster.at(time_s, [&cluster, time_s] {
             const std::string id = "run-" + std::to_string(static_cast<int>(time_s));
             cluster.submit(cluster.job(id, "blue", 2, 1, 200));
             cluster.at(time_s + 6, [&cluster, id] { cluster.cancel(id); });
           });
         for (int time_s = 10; time_s < 40; time_s += 3)
           load.cancelled_jobs.push_back("run-" + std::to_string(time_s));
         cluster.at(50, [&cluster] { cluster.set_max_store_latency(0); });
       },
       [](SimulatedCluster& cluster) {
         EXPECT_GE(cluster.count_trace_lines("cancel says cancelled"), 10u);
       }},
      {"CancelledAsTheLeaderIsRejectedThenOutage", 90,
       [](SimulatedCluster& cluster, Load& load) {
         submit_usual_load(cluster, load);
         load.cancelled_jobs = {"run-1", "run-2"};
         cluster.at(6, [&cluster] {
           for (const char* id : {"run-1", "run-2"})
             cluster.submit(cluster.job(id, "blue", 4, 1, 400));
         });
         cluster.at(30, [&cluster] {
           cluster.cancel("run-1");
           cluster.set_store_unavailable_to(1, true);
           cluster.cancel("run-2");
         });
         cluster.at(31, [&cluster] { cluster.set_store_outage(true); });
         cluster.at(84, [&cluster] {
           cluster.set_store_outage(false);
           cluster.set_store_unavailable_to(1, false);
         });
       },
       [](SimulatedCluster& cluster) { EXPECT_GE(cluster.cancel_confirmation("run-2").node, 0); }},
      {"HeartbeatsAreHeldUntilTheirReceiverLeads", 40,
       [](SimulatedCluster& cluster, Load& load) {
         submit_usual_load(cluster, load);
         // No worker can reach n0, which will lead n1's partition.
         cluster.at(9.6, [&cluster] {
           cluster.partition_network(worker_addresses(0, 1), {"n0"}, NetworkPartitionMode::hold);
         });
         cluster.at(10, [&cluster] { cluster.crash(1, 25); });
         cluster.at(19, [&cluster] {
           EXPECT_GE(cluster.held_messages(), 6u);
           EXPECT_NE(cluster.leader_of(1), 1);
           cluster.heal_network();
         });
       },
       [](SimulatedCluster& cluster) { EXPECT_EQ(cluster.count_trace_lines("world healed"), 1u); }},
      {"ZoneWithAControllerIsPartitioned", 26,
       [](SimulatedCluster& cluster, Load& load) {
         submit_usual_load(cluster, load);
         cluster.at(10, [&cluster] {
           std::set<std::string> zone = worker_addresses(1, 2), other_side = worker_addresses(0, 2);
           zone.insert("n1");
           other_side.insert({"n0", "n2", "state", "cloud", "user"});
           cluster.partition_network(zone, other_side, NetworkPartitionMode::hold);
         });
         cluster.at(14, [&cluster] { cluster.cancel("run-106"); });
         load.cancelled_jobs.push_back("run-106");
         load.done_arrays.erase(
             std::find(load.done_arrays.begin(), load.done_arrays.end(), "run-106"));
         cluster.at(26, [&cluster] { cluster.heal_network(); });
       },
       [](SimulatedCluster& cluster) {
         EXPECT_GE(cluster.count_trace_lines("lease expired"), 1u);
       }},
      {"TasksOfAJobEndUnderDifferentLeaders", 60,
       [](SimulatedCluster& cluster, Load& load) {
         cluster.at(5, [&cluster] {
           for (int i = 0; i < 6; ++i) {
             const std::string id = "run-" + std::to_string(i);
             cluster.set_run_s(id, {2.0 + i, 20.0 + i, 42.0 + i});
             cluster.submit(cluster.job(id, i % 2 ? "blue" : "gold", 3, 1, 20));
           }
         });
         for (int i = 0; i < 6; ++i) load.done_arrays.push_back("run-" + std::to_string(i));
         cluster.at(14, [&cluster] { cluster.crash(1); });
         cluster.at(33, [&cluster] {
           for (int i = 0; i < 3; ++i) cluster.crash(i, 2 + i);
         });
         cluster.at(50, [&cluster] { cluster.crash(2, 0.2); });
       },
       // 6 jobs of 3 tasks: no task that is done may start again.
       [](SimulatedCluster& cluster) { EXPECT_EQ(cluster.checker().starts(), 18u); }},
      {"LeaderCrashesWhileMachinesAreUnreachable", 40,
       [](SimulatedCluster& cluster, Load& load) {
         submit_usual_load(cluster, load);
         cluster.at(12, [&cluster] {
           cluster.partition_network(worker_addresses(0, 2, 6), {SimulatedCluster::any_address()},
                                     NetworkPartitionMode::hold);
         });
         cluster.at(12.4, [&cluster] { cluster.crash(1, 12); });
         cluster.at(20.4, [&cluster] { cluster.heal_network(); });  // before their leases expire
       },
       [](SimulatedCluster& cluster) {
         EXPECT_GE(cluster.count_trace_lines("partition claimed partition=1"), 2u);
         EXPECT_EQ(cluster.count_trace_lines("world healed"), 1u);
       }},
      {"LeaderCrashesAndMachinesDoNotReceiveFromTheNext", 45,
       [](SimulatedCluster& cluster, Load& load) {
         submit_usual_load(cluster, load);
         cluster.at(12, [&cluster] { cluster.crash(1, 20); });
         cluster.at(12.5, [&cluster] {
           for (int i = 0; i < 4; ++i) cluster.block_inbound(machine_id(i), true);
         });
         cluster.at(34, [&cluster] {
           for (int i = 0; i < 4; ++i) cluster.block_inbound(machine_id(i), false);
         });
       },
       [](SimulatedCluster& cluster) { EXPECT_GE(cluster.incarnation_of(machine_id(0)), 2u); }},
      {"DelayedCommandsReachAResumedMachine", 40,
       [](SimulatedCluster& cluster, Load& load) {
         submit_usual_load(cluster, load);
         load.cancelled_jobs = {"run-1"};
         cluster.at(6, [&cluster] { cluster.submit(cluster.job("run-1", "blue", 6, 1, 400)); });
         cluster.at(15, [&cluster] {
           ASSERT_EQ(cluster.tasks_on("run-1"), 6u);
           for (const auto& id : cluster.machines_of("run-1")) cluster.freeze_machine(id, true);
           cluster.cancel("run-1");
         });
         cluster.at(22, [&cluster] {
           ASSERT_EQ(cluster.cancel_confirmation("run-1").node >= 0, true);
           ASSERT_EQ(cluster.tasks_on("run-1"),
                     6u);  // hanging with their machines
           for (int i = 0; i < 6; ++i) cluster.freeze_machine(machine_id(i), false);
         });
         cluster.at(24, [&cluster] { EXPECT_EQ(cluster.tasks_on("run-1"), 0u); });
       },
       [](SimulatedCluster& cluster) { EXPECT_GE(cluster.count_trace_lines("goes on"), 1u); }},
      {"MachinesReachNoControllerButReceiveCommands", 45,
       [](SimulatedCluster& cluster, Load& load) {
         submit_usual_load(cluster, load);
         load.cancelled_jobs = {"run-1"};
         cluster.at(6, [&cluster] { cluster.submit(cluster.job("run-1", "blue", 6, 1, 400)); });
         cluster.at(15, [&cluster] {
           for (int i = 0; i < 6; ++i) cluster.block_outbound_requests(machine_id(i), true);
         });
         cluster.at(16, [&cluster] { cluster.cancel("run-1"); });
         // Long before a lease expires: direct commands still arrive.
         cluster.at(18, [&cluster] { EXPECT_EQ(cluster.tasks_on("run-1"), 0u); });
         cluster.at(35, [&cluster] {
           for (int i = 0; i < 6; ++i) cluster.block_outbound_requests(machine_id(i), false);
         });
       },
       [](SimulatedCluster& cluster) { EXPECT_GE(cluster.incarnation_of(machine_id(0)), 2u); }},
      {"TeamAtItsQuotaFailsOverWithUnreachableMachines", 45,
       [](SimulatedCluster& cluster, Load& load) {
         load.cancelled_jobs = {"run-1"};
         load.done_arrays = {"run-2", "run-3"};
         cluster.at(5, [&cluster] {
           cluster.submit(cluster.job("run-1", "blue", 24, 1, 300));
           cluster.submit(cluster.job("run-2", "blue", 24, 1, 20));
         });
         cluster.at(8, [&cluster] { cluster.submit(cluster.job("run-3", "blue", 30, 1, 6)); });
         cluster.at(28, [&cluster] {
           ASSERT_EQ(cluster.tasks_on("run-1"), 24u);
           // The odd machines are unreachable, but for less than their lease.
           cluster.partition_network(worker_addresses(1, 2), {SimulatedCluster::any_address()},
                                     NetworkPartitionMode::hold);
         });
         cluster.at(28.3, [&cluster] { cluster.crash(1, 30); });
         cluster.at(29, [&cluster] { cluster.cancel("run-1"); });
         cluster.at(36.5, [&cluster] { cluster.heal_network(); });
       },
       [](SimulatedCluster& cluster) {
         EXPECT_GE(cluster.cancel_confirmation("run-1").node, 0);
         EXPECT_GE(cluster.count_trace_lines("partition claimed partition=1"), 2u);
       }},
      {"TransactionsLandAfterNewerOnes", 90,
       [](SimulatedCluster& cluster, Load& load) {
         submit_usual_load(cluster, load);
         cluster.at(6, [&cluster] { cluster.set_commit_delays({0.45, 0.5, 12}); });
         for (int i = 1; i <= 12; ++i) {
           const std::string id = "run-" + std::to_string(i);
           cluster.at(6 + 4 * i, [&cluster, id, i] {
             cluster.submit(cluster.job(id, i % 2 ? "red" : "blue", 4, 1, 5));
           });
           if (i % 3) {
             load.done_arrays.push_back(id);
           } else {
             load.cancelled_jobs.push_back(id);
             cluster.at(9 + 4 * i, [&cluster, id] { cluster.cancel(id); });
           }
         }
         for (int i = 0; i < 5; ++i)
           cluster.at(15 + 13 * i, [&cluster, i] { cluster.crash(i % 3, i % 2 ? 0.2 : 4); });
         cluster.at(80, [&cluster] { cluster.set_commit_delays({}); });
       },
       [](SimulatedCluster& cluster) { EXPECT_GE(cluster.delayed_commits(), 6u); }},
      {"LeaderReachesOnlyItsWorkersAndUsers", 40,
       [](SimulatedCluster& cluster, Load& load) {
         submit_usual_load(cluster, load);
         load.cancelled_jobs = {"run-1"};
         cluster.at(6, [&cluster] { cluster.submit(cluster.job("run-1", "blue", 6, 1, 400)); });
         cluster.at(14, [&cluster] {
           cluster.partition_network({"n1"}, {"state", "n0", "n2", "cloud"},
                                     NetworkPartitionMode::reset);
         });
         cluster.at(20, [&cluster] {
           ASSERT_NE(cluster.leader_of(1), 1);
           cluster.cancel("run-1");
         });
         cluster.at(35, [&cluster] { cluster.heal_network(); });
       },
       [](SimulatedCluster& cluster) {
         EXPECT_GE(cluster.cancel_confirmation("run-1").node, 0);
         EXPECT_NE(cluster.cancel_confirmation("run-1").node, 1);
       }},
  };
  return scenarios;
}

class ConcurrentFaults : public testing::TestWithParam<std::tuple<std::size_t, std::uint64_t>> {};

TEST_P(ConcurrentFaults, ViolateNoRule) {
  const auto [index, seed] = GetParam();
  const FaultScenario& scenario = fault_scenarios()[index];
  Options options;
  options.seed = seed;
  SimulatedCluster cluster(options);
  Load load;
  scenario.script(cluster, load);
  cluster.at(scenario.faults_end_s, [&] { cluster.mark_faults_ended(); });
  cluster.run_until(scenario.faults_end_s + 130);
  scenario.expect_faults_met(cluster);
  cluster.checker().on_run_end(cluster.now());
  expect_rules_kept(cluster);
  for (const auto& id : load.done_arrays) EXPECT_EQ(cluster.phase(id), "done") << id;
  for (const auto& id : load.running_services) EXPECT_EQ(cluster.tasks_on(id), 1u) << id;
  for (const auto& id : load.cancelled_jobs) {
    EXPECT_EQ(cluster.phase(id), "cancelled") << id;
    EXPECT_EQ(cluster.tasks_on(id), 0u) << id;
  }
  EXPECT_EQ(cluster.checker().starts_after_cancel(), 0u);
}

INSTANTIATE_TEST_SUITE_P(Scenarios, ConcurrentFaults,
                         testing::Combine(testing::Range<std::size_t>(0, fault_scenarios().size()),
                                          testing::Values(1, 2, 3)),
                         [](const auto& i) {
                           return std::string(fault_scenarios()[std::get<0>(i.param)].name) +
                                  "Seed" + std::to_string(std::get<1>(i.param));
                         });

}  // namespace
