// Days on which two faults meet. Each brings that about for several seeds and offsets,
// asserts that it was reached, and then that no rule was broken.
#include <array>

#include "standin/expectations.h"

using namespace eiderreel;
using namespace eiderreel::standin;

namespace {

// ------------------------------------------------------------------------------- the gap
// The state store refuses the leading controller alone; what it committed last has landed
// without an answer, and another controller tells users so. Then the state store is down for all,
// for longer than a cancellation has, while the workers go on reporting to the old leader.

struct Gap {
  std::uint64_t seed;
  Delays late;            // of the commits just before the refusal
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
    cluster.at(kAt - 0.3, [&cluster] { cluster.late_writes(GetParam().late); });
    cluster.at(kAt, [&cluster] {
      cluster.late_writes({});
      cluster.state_refuses(kLeader, true);
    });
    cluster.at(kAt + GetParam().outage_after_s, [&cluster] { cluster.state_outage(true); });
    cluster.at(kAt + GetParam().outage_after_s + kOutageS, [&cluster] {
      cluster.state_outage(false);
      cluster.state_refuses(kLeader, false);
    });
  }
  double outage_at() const { return kAt + GetParam().outage_after_s; }
};

TEST_P(LeaderRejectedThenOutage, CancelledTasksAreKilledInTime) {
  SimulatedCluster cluster(seeded_options());
  cluster.at(5, [&] {
    cluster.submit(cluster.job("run-1", "blue", 6, 1, 400));
    cluster.submit(cluster.job("run-2", "blue", 4, 1, 400));
  });
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
  ASSERT_GE(cluster.confirmed("run-1").node, 0);
  EXPECT_NE(cluster.confirmed("run-1").node, kLeader);
  EXPECT_LT(cluster.confirmed("run-1").at, outage_at());
  EXPECT_GT(confirmed, before + 40);
  EXPECT_EQ(cluster.tasks_on("run-1"), 0u);
  EXPECT_EQ(cluster.tasks_on("run-2"), 4u);
  // Whatever node is asked, nobody goes back on it.
  for (int n = 0; n < 3; ++n) cluster.poll_once(n, "run-1", [](int, const std::string&) {});
  cluster.run_until(130);
  cluster.checker().faults_over(90);
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
  cluster.at(kAt - 2, [&] { cluster.late_writes(GetParam().late); });
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

// The refusal lasts longer than a lease before the outage begins: the partition has a new leader,
// which confirms and goes on through the outage, though the old one has not seen its claim.
class LeaderRejectedBeyondItsLease
    : public testing::TestWithParam<std::tuple<std::uint64_t, double>> {};

TEST_P(LeaderRejectedBeyondItsLease, NewLeaderContinuesThroughTheOutage) {
  const auto [seed, after] = GetParam();
  Options options;
  options.seed = seed;
  SimulatedCluster cluster(options);
  cluster.at(5, [&] {
    cluster.submit(cluster.job("run-1", "blue", 6, 1, 400));
    cluster.submit(cluster.job("run-2", "blue", 4, 1, 400));
  });
  cluster.at(30, [&] { cluster.state_refuses(1, true); });
  cluster.at(30 + after - 0.4, [&] {
    ASSERT_NE(cluster.leader_of(1), 1);
    cluster.cancel("run-1");
  });
  cluster.at(30 + after, [&] { cluster.state_outage(true); });
  cluster.run_until(30 + after + 52);
  ASSERT_NE(cluster.confirmed("run-1").node, -1);
  EXPECT_LT(cluster.confirmed("run-1").at, 30 + after);
  EXPECT_EQ(cluster.tasks_on("run-1"), 0u);
  EXPECT_EQ(cluster.tasks_on("run-2"), 4u);
  EXPECT_EQ(cluster.lines("lease expired"), 0u);
  cluster.state_outage(false);
  cluster.state_refuses(1, false);
  cluster.run_until(130);
  cluster.checker().faults_over(90);
  expect_rules_kept(cluster);
}

INSTANTIATE_TEST_SUITE_P(Offsets, LeaderRejectedBeyondItsLease,
                         testing::Combine(testing::Values(1, 2, 3), testing::Values(7.0, 9.5)));

std::vector<Gap> gaps() {
  std::vector<Gap> out;
  const Delays lost{1, 0.005, 0.01}, late{1, 0.6, 1.6};
  for (std::uint64_t seed : {1, 2, 3, 4})
    for (double after : {2.2, 3.0, 3.6}) {
      out.push_back({seed, lost, after});
      out.push_back({seed, late, after});
    }
  return out;
}

INSTANTIATE_TEST_SUITE_P(Offsets, LeaderRejectedThenOutage, testing::ValuesIn(gaps()));

// A service and a short array of each team.
void short_load(SimulatedCluster& cluster) {
  cluster.at(5, [&cluster] {
    int n = 800;
    for (const char* team : {"red", "blue", "gold"}) {
      cluster.submit(cluster.service("run-" + std::to_string(n++), team, 1, 2));
      cluster.submit(cluster.job("run-" + std::to_string(n++), team, 6, 1, 4));
    }
  });
}

// -------------------------------------------------------------- the end of a job's last task
// With no other fault, a cancellation, a question and a repeated submission come at that moment,
// each some milliseconds later than for the job before.
TEST(JobCompletion, RacesWithCancellationPollAndResubmission) {
  SimulatedCluster cluster({});
  constexpr int kJobs = 60;
  std::vector<JobSpec> specs;
  for (int i = 0; i < kJobs; ++i) {
    JobSpec spec = cluster.job("run-" + std::to_string(i), std::array{"red", "blue", "gold"}[i % 3],
                               1, 0.25, 4);
    spec.image_gb = 0;
    specs.push_back(spec);
  }
  cluster.at(6, [&] {
    for (const auto& spec : specs) cluster.submit(spec);
  });
  for (int i = 0; i < kJobs; ++i)
    cluster.at(10.0 + 0.025 * i, [&cluster, &specs, i] {
      const JobSpec& spec = specs[static_cast<std::size_t>(i)];
      cluster.cancel(spec.id);
      for (int n = 0; n < 3; ++n) {
        cluster.poll_once(n, spec.id, [](int, const std::string&) {});
        cluster.repeat(n, spec);
      }
      cluster.at(cluster.now() + 0.1, [&cluster, &spec] {
        for (int n = 0; n < 3; ++n) cluster.repeat(n, spec);
      });
    });
  cluster.faults_over();
  cluster.run_until(110);
  expect_rules_kept(cluster);
  std::map<std::string, int> ends;
  for (const auto& spec : specs) ++ends[cluster.phase(spec.id)];
  EXPECT_GE(ends["done"], 5);  // both were met
  EXPECT_GE(ends["cancelled"], 5);
  EXPECT_EQ(ends["done"] + ends["cancelled"], kJobs);
}

// Fresh nodes, also in an outage, accept nothing that cannot run or lacks a field.
TEST(InvalidSubmissions, AreNeverAccepted) {
  SimulatedCluster cluster({});
  JobSpec nowhere = cluster.job("run-1", "red", 2), nobody = cluster.job("run-2", "nobody", 2),
          large = cluster.job("run-3", "red", 2, 9);
  nowhere.zone = "z";
  const std::string good = codec::encode(cluster.job("run-4", "red", 2), "user");
  std::string lacking = good;
  lacking.replace(lacking.find("\"shards\""), 8, "\"shard\"");
  const std::vector<std::string> odd = {codec::encode(nowhere, "u"),
                                        codec::encode(nobody, "u"),
                                        codec::encode(large, "u"),
                                        lacking,
                                        good + "x",
                                        "[]"};
  cluster.at(8, [&] {
    for (int n = 0; n < 3; ++n) cluster.crash(n, 0.1 + n);
  });
  cluster.at(14, [&] { cluster.state_outage(true); });
  cluster.at(15, [&] { cluster.crash(1, 0.2); });
  cluster.at(30, [&] { cluster.state_outage(false); });
  for (double time_s = 3; time_s < 45; time_s += 0.31)
    cluster.at(time_s, [&cluster, &odd] {
      for (int n = 0; n < 3; ++n)
        for (const auto& body : odd) cluster.submit_invalid(n, body);
    });
  cluster.at(20, [&cluster] { cluster.submit(cluster.job("run-9", "red", 2)); });
  cluster.run_until(60);
  EXPECT_GT(cluster.invalid_rejected(400), 100u);
  EXPECT_GT(cluster.invalid_rejected(422), 100u);
  EXPECT_GT(cluster.invalid_rejected(503), 10u);
  EXPECT_EQ(cluster.phase("run-9"), "done");
  expect_rules_kept(cluster);
}

// --------------------------------------------------------------------- a move in doubt
// The transaction that gives idle machines away has no answer and lands seconds later; until then
// later tries are refused. The giver must not use the machines meanwhile.
class TransferWithUnknownOutcome
    : public testing::TestWithParam<std::tuple<std::uint64_t, double>> {};

TEST_P(TransferWithUnknownOutcome, MachinesAreNotUsedUntilItIsProven) {
  const auto [seed, late_s] = GetParam();
  Options options;
  options.seed = seed;
  options.capacity = 0;
  SimulatedCluster cluster(options);
  short_load(cluster);
  std::size_t before = 0;
  double moved = 0;
  cluster.at(11, [&, late_s = late_s] {
    cluster.late_writes({1, late_s, late_s + 0.1});
    before = cluster.lines("machine transfer");
  });
  for (double time_s = 11.01; time_s < 60; time_s += 0.05)
    cluster.at(time_s, [&] {
      if (moved > 0 || cluster.lines("machine transfer") == before) return;
      moved = cluster.now();
      cluster.late_writes({});
      for (int n = 0; n < 3; ++n) cluster.state_refuses(n, true);
      cluster.cloud_outage(true);  // nothing can be returned, so what is on the machines goes on
      cluster.at(moved + 20, [&cluster] { cluster.cloud_outage(false); });
      cluster.at(moved + 3.6, [&cluster] {
        for (int n = 0; n < 3; ++n) cluster.state_refuses(n, false);
      });
      cluster.at(moved + 3.7, [&cluster] {
        for (int i = 0; i < 9; ++i)
          cluster.submit(cluster.job("run-" + std::to_string(i),
                                     std::array{"red", "blue", "gold"}[i % 3], 12));
      });
    });
  cluster.run_until(60);
  ASSERT_GT(moved, 0);
  ASSERT_GE(cluster.without_answer(), 1u);
  cluster.faults_over();
  cluster.run_until(190);
  expect_rules_kept(cluster);
  for (int i = 0; i < 9; ++i) EXPECT_EQ(cluster.phase("run-" + std::to_string(i)), "done") << i;
}

INSTANTIATE_TEST_SUITE_P(Delays, TransferWithUnknownOutcome,
                         testing::Combine(testing::Values(1, 2, 3),
                                          testing::Values(4.2, 5.0, 7.0)));

// ------------------------------------------------------------------- more work than room
// Guests without a fair share among teams whose queues never end, over slow links: idle-time work
// begins all the same, and so does a task that needs a whole machine.
TEST(Overload, BestEffortJobsAndTheLargestTasksStartInTime) {
  Options options;
  options.machines = 4;
  options.capacity = 0;
  options.latency_ms = 150;
  options.teams.push_back({"guest", 0, 1e9, 0, 0});
  SimulatedCluster cluster(options);
  cluster.at(5, [&] {
    JobSpec idle = cluster.job("run-900", "guest", 40, 1, 60),
            whole = cluster.job("run-901", "guest", 3, 8, 30);
    for (JobSpec* spec : {&idle, &whole}) {
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
  cluster.checker().day_over(320);
  expect_rules_kept(cluster);
}

// Machines that failed everything for minutes are well again: nobody waits beside them for the rest
// of a pause that has doubled and doubled.
TEST(Overload, RecoveredMachinesTakeWorkInTime) {
  Options options;
  options.machines = 2;
  options.nodes = 1;
  options.capacity = 0;
  SimulatedCluster cluster(options);
  for (int i = 0; i < 2; ++i) {
    cluster.at(4, [&cluster, i] { cluster.set_sick(machine(i), true); });
    cluster.at(150, [&cluster, i] { cluster.set_sick(machine(i), false); });
  }
  for (int i = 0; i < 7; ++i)
    cluster.at(5 + 20 * i, [&cluster, i] {
      cluster.submit(
          cluster.job("run-" + std::to_string(i), std::array{"red", "blue", "gold"}[i % 3], 2));
    });
  cluster.at(150, [&cluster] { cluster.faults_over(); });
  cluster.run_until(250);
  expect_rules_kept(cluster);
  for (int i = 0; i < 7; ++i) EXPECT_EQ(cluster.phase("run-" + std::to_string(i)), "done") << i;
}

// A job that failed on machines which are well again does not avoid them for ever: the third is
// full.
TEST(Overload, JobReturnsToMachinesOnWhichItFailed) {
  Options options;
  options.machines = 3;
  options.capacity = 0;
  options.nodes = 1;
  SimulatedCluster cluster(options);
  cluster.at(4, [&cluster] { cluster.submit(cluster.service("run-800", "red", 1, 8)); });
  std::string full;
  cluster.at(8, [&] {
    full = cluster.machines_of("run-800").at(0);
    for (int i = 0; i < 3; ++i)
      if (machine(i) != full) cluster.set_sick(machine(i), true);
    JobSpec spec = cluster.job("run-1", "blue", 1, 1, 10);
    spec.deadline_s = 11;  // no slack: idle machines are kept
    cluster.submit(spec);
  });
  cluster.at(60, [&] {
    EXPECT_GE(cluster.checker().starts(), 3u);  // it has failed
    for (int i = 0; i < 3; ++i) cluster.set_sick(machine(i), false);
    cluster.faults_over();
  });
  cluster.run_until(200);
  expect_rules_kept(cluster);
  EXPECT_EQ(cluster.phase("run-1"), "done");
}

// Nothing more can be provisioned, and every machine of the other partitions runs a service, so
// none is idle: work that waits gets its room all the same.
TEST(Overload, CapacityBesideServicesOfOtherPartitionsIsUsed) {
  Options options;
  options.capacity = 0;
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
  cluster.faults_over();
  cluster.run_until(200);
  expect_rules_kept(cluster);
}

// -------------------------------------------------------------------- the other concurrent faults
// Each case is a day in the simulated cluster: a load, its faults, and what shows that they met.
// The faults are over at `over`; from then on every rule holds.

struct Load {
  std::vector<std::string> end;  // arrays that must be done at the end
  std::vector<std::string> run;  // services that must run
  std::vector<std::string> off;  // cancelled
};

struct FaultDay {
  const char* name;
  double over;
  std::function<void(SimulatedCluster&, Load&)> script;
  std::function<void(SimulatedCluster&)> reached;
};

// A service, a short and a long array of each team.
void usual(SimulatedCluster& cluster, Load& load, double time_s = 5) {
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
    load.run.push_back(service);
    load.end.insert(load.end.end(), {short_array, long_array});
  }
}

std::set<std::string> workers(int first, int step, int most = 40) {
  std::set<std::string> out;
  for (int i = first; i < most; i += step) out.insert(address(machine(i)));
  return out;
}

const std::vector<FaultDay>& fault_days() {
  static const std::vector<FaultDay> all = {
      {"JobsOfOneZoneLoseItsMachines", 12,
       [](SimulatedCluster& cluster, Load& load) {
         cluster.at(5, [&cluster] {
           JobSpec bound = cluster.job("run-1", "blue", 4, 1, 12);
           bound.zone = "a";
           JobSpec together = cluster.job("run-2", "gold", 4, 1, 12);
           together.one_zone = true;
           cluster.submit(bound);
           cluster.submit(together);
         });
         load.end = {"run-1", "run-2"};
         cluster.at(10, [&cluster] {
           for (int i = 0; i < 6; i += 2) cluster.kill_machine(machine(i));
         });
         cluster.at(11.9, [&cluster] { EXPECT_EQ(cluster.tasks_on("run-1"), 0u); });
       },
       [](SimulatedCluster& cluster) { EXPECT_EQ(cluster.lines("is dead"), 3u); }},
      {"JobsOfOneZoneLoseItsMachinesWhileOthersStayIdle", 12,
       [](SimulatedCluster& cluster, Load& load) {
         load.end = {"run-1", "run-2", "run-3"};
         cluster.at(5, [&cluster] {
           for (int i = 1; i <= 3; ++i) {
             JobSpec bound =
                 cluster.job("run-" + std::to_string(i), i % 2 ? "blue" : "gold", 4, 1, 12);
             bound.zone = "a";
             bound.deadline_s = 14;  // no slack: idle machines are kept for minutes
             cluster.submit(bound);
           }
         });
         cluster.at(10, [&cluster] {
           for (int i = 0; i < 6; i += 2) cluster.kill_machine(machine(i));
         });
       },
       [](SimulatedCluster& cluster) {
         EXPECT_EQ(cluster.lines("is dead"), 3u);
         EXPECT_EQ(cluster.lines("machine terminated machine=m-000001"), 0u);
       }},
      {"AllControllersAreDownBeyondALease", 31,
       [](SimulatedCluster& cluster, Load& load) {
         usual(cluster, load);
         cluster.at(12, [&cluster] {
           for (int i = 0; i < 3; ++i) cluster.crash(i, 15 + i);
         });
       },
       [](SimulatedCluster& cluster) { EXPECT_GE(cluster.lines("lease expired"), 3u); }},
      {"TenFailoversInTwoMinutesAndAnOutage", 135,
       [](SimulatedCluster& cluster, Load& load) {
         usual(cluster, load);
         for (int i = 0; i < 12; ++i)
           cluster.at(12 + 9.7 * i, [&cluster, i] {
             if (const int leader = cluster.leader_of(0); leader >= 0)
               cluster.crash(leader, i % 3 ? 4 : 0.3);
           });
         cluster.at(60, [&cluster] { cluster.state_outage(true); });
         cluster.at(75, [&cluster] { cluster.state_outage(false); });
       },
       [](SimulatedCluster& cluster) {
         EXPECT_GE(cluster.lines("partition claimed partition=0"), 10u);
         EXPECT_GE(cluster.lines("crashes"), 10u);
       }},
      {"HeartbeatsOfEarlierIncarnationsArriveLate", 60,
       [](SimulatedCluster& cluster, Load& load) {
         usual(cluster, load);
         cluster.duplicate_heartbeats(true);
         cluster.at(10, [&cluster] {
           for (int i = 0; i < 3; ++i) cluster.freeze_machine(machine(i), true);
         });
         cluster.at(23, [&cluster] {
           for (int i = 0; i < 3; ++i) cluster.freeze_machine(machine(i), false);
         });
         cluster.at(26, [&cluster] { cluster.crash(1); });
         cluster.at(45, [&cluster] { cluster.crash(0, 0.2); });
         cluster.at(60, [&cluster] { cluster.duplicate_heartbeats(false); });
       },
       [](SimulatedCluster& cluster) {
         EXPECT_GT(cluster.copies(), 200u);
         EXPECT_GE(cluster.incarnation_of(machine(0)), 2u);
       }},
      {"FailoverAndFailbackThenAllCrashAndOneRestarts", 50,
       [](SimulatedCluster& cluster, Load& load) {
         usual(cluster, load);
         cluster.at(10, [&cluster] { cluster.crash(1, 6); });
         for (double time_s = 16; time_s < 30; time_s += 0.05)
           cluster.at(time_s, [&cluster] {
             if (cluster.lines("world all end") || cluster.lines("reason=failback") < 3) return;
             cluster.note("world all end");
             for (int i : {1, 2}) cluster.crash(i, 20);
             cluster.crash(0, 0.4);
           });
       },
       [](SimulatedCluster& cluster) { EXPECT_EQ(cluster.lines("world all end"), 1u); }},
      {"SlowStateStoreWhileUsersCancelAndPoll", 50,
       [](SimulatedCluster& cluster, Load& load) {
         usual(cluster, load);
         cluster.at(10, [&cluster] { cluster.state_slow(2.2); });
         for (double time_s = 10; time_s < 40; time_s += 3)
           cluster.at(time_s, [&cluster, time_s] {
             const std::string id = "run-" + std::to_string(static_cast<int>(time_s));
             cluster.submit(cluster.job(id, "blue", 2, 1, 200));
             cluster.at(time_s + 6, [&cluster, id] { cluster.cancel(id); });
           });
         for (int time_s = 10; time_s < 40; time_s += 3)
           load.off.push_back("run-" + std::to_string(time_s));
         cluster.at(50, [&cluster] { cluster.state_slow(0); });
       },
       [](SimulatedCluster& cluster) { EXPECT_GE(cluster.lines("cancel says cancelled"), 10u); }},
      {"CancelledAsTheLeaderIsRejectedThenOutage", 90,
       [](SimulatedCluster& cluster, Load& load) {
         usual(cluster, load);
         load.off = {"run-1", "run-2"};
         cluster.at(6, [&cluster] {
           for (const char* id : {"run-1", "run-2"})
             cluster.submit(cluster.job(id, "blue", 4, 1, 400));
         });
         cluster.at(30, [&cluster] {
           cluster.cancel("run-1");
           cluster.state_refuses(1, true);
           cluster.cancel("run-2");
         });
         cluster.at(31, [&cluster] { cluster.state_outage(true); });
         cluster.at(84, [&cluster] {
           cluster.state_outage(false);
           cluster.state_refuses(1, false);
         });
       },
       [](SimulatedCluster& cluster) { EXPECT_GE(cluster.confirmed("run-2").node, 0); }},
      {"HeartbeatsAreHeldUntilTheirReceiverLeads", 40,
       [](SimulatedCluster& cluster, Load& load) {
         usual(cluster, load);
         // The workers of n1's partition cannot get through to n0, which will lead them.
         cluster.at(9.6, [&cluster] { cluster.cut(workers(0, 1), {"n0"}, CutMode::hold); });
         cluster.at(10, [&cluster] { cluster.crash(1, 25); });
         cluster.at(19, [&cluster] {
           EXPECT_GE(cluster.held(), 6u);
           EXPECT_NE(cluster.leader_of(1), 1);
           cluster.heal();
         });
       },
       [](SimulatedCluster& cluster) { EXPECT_EQ(cluster.lines("world healed"), 1u); }},
      {"ZoneWithAControllerIsPartitioned", 26,
       [](SimulatedCluster& cluster, Load& load) {
         usual(cluster, load);
         cluster.at(10, [&cluster] {
           std::set<std::string> zone = workers(1, 2), rest = workers(0, 2);
           zone.insert("n1");
           rest.insert({"n0", "n2", "state", "cloud", "user"});
           cluster.cut(zone, rest, CutMode::hold);
         });
         cluster.at(14, [&cluster] { cluster.cancel("run-106"); });
         load.off.push_back("run-106");
         load.end.erase(std::find(load.end.begin(), load.end.end(), "run-106"));
         cluster.at(26, [&cluster] { cluster.heal(); });
       },
       [](SimulatedCluster& cluster) { EXPECT_GE(cluster.lines("lease expired"), 1u); }},
      {"TasksOfAJobEndUnderDifferentLeaders", 60,
       [](SimulatedCluster& cluster, Load& load) {
         cluster.at(5, [&cluster] {
           for (int i = 0; i < 6; ++i) {
             const std::string id = "run-" + std::to_string(i);
             cluster.set_run_s(id, {2.0 + i, 20.0 + i, 42.0 + i});
             cluster.submit(cluster.job(id, i % 2 ? "blue" : "gold", 3, 1, 20));
           }
         });
         for (int i = 0; i < 6; ++i) load.end.push_back("run-" + std::to_string(i));
         cluster.at(14, [&cluster] { cluster.crash(1); });
         cluster.at(33, [&cluster] {
           for (int i = 0; i < 3; ++i) cluster.crash(i, 2 + i);
         });
         cluster.at(50, [&cluster] { cluster.crash(2, 0.2); });
       },
       // What was done once is not done again.
       [](SimulatedCluster& cluster) { EXPECT_EQ(cluster.checker().starts(), 18u); }},
      {"LeaderCrashesWhileMachinesAreUnreachable", 40,
       [](SimulatedCluster& cluster, Load& load) {
         usual(cluster, load);
         cluster.at(12, [&cluster] {
           cluster.cut(workers(0, 2, 6), {SimulatedCluster::all()}, CutMode::hold);
         });
         cluster.at(12.4, [&cluster] { cluster.crash(1, 12); });
         cluster.at(20.4, [&cluster] { cluster.heal(); });  // within their lease
       },
       [](SimulatedCluster& cluster) {
         EXPECT_GE(cluster.lines("partition claimed partition=1"), 2u);
         EXPECT_EQ(cluster.lines("world healed"), 1u);
       }},
      {"LeaderCrashesAndMachinesDoNotReceiveFromTheNext", 45,
       [](SimulatedCluster& cluster, Load& load) {
         usual(cluster, load);
         cluster.at(12, [&cluster] { cluster.crash(1, 20); });
         cluster.at(12.5, [&cluster] {
           for (int i = 0; i < 4; ++i) cluster.deafen(machine(i), true);
         });
         cluster.at(34, [&cluster] {
           for (int i = 0; i < 4; ++i) cluster.deafen(machine(i), false);
         });
       },
       [](SimulatedCluster& cluster) { EXPECT_GE(cluster.incarnation_of(machine(0)), 2u); }},
      {"DelayedCommandsReachAResumedMachine", 40,
       [](SimulatedCluster& cluster, Load& load) {
         usual(cluster, load);
         load.off = {"run-1"};
         cluster.at(6, [&cluster] { cluster.submit(cluster.job("run-1", "blue", 6, 1, 400)); });
         cluster.at(15, [&cluster] {
           ASSERT_EQ(cluster.tasks_on("run-1"), 6u);
           for (const auto& id : cluster.machines_of("run-1")) cluster.freeze_machine(id, true);
           cluster.cancel("run-1");
         });
         cluster.at(22, [&cluster] {
           ASSERT_EQ(cluster.confirmed("run-1").node >= 0, true);
           ASSERT_EQ(cluster.tasks_on("run-1"), 6u);  // they hang, with their tasks
           for (int i = 0; i < 6; ++i) cluster.freeze_machine(machine(i), false);
         });
         cluster.at(24, [&cluster] { EXPECT_EQ(cluster.tasks_on("run-1"), 0u); });
       },
       [](SimulatedCluster& cluster) { EXPECT_GE(cluster.lines("goes on"), 1u); }},
      {"MachinesReachNoControllerButReceiveCommands", 45,
       [](SimulatedCluster& cluster, Load& load) {
         usual(cluster, load);
         load.off = {"run-1"};
         cluster.at(6, [&cluster] { cluster.submit(cluster.job("run-1", "blue", 6, 1, 400)); });
         cluster.at(15, [&cluster] {
           for (int i = 0; i < 6; ++i) cluster.mute(machine(i), true);
         });
         cluster.at(16, [&cluster] { cluster.cancel("run-1"); });
         // Long before a lease ends: commands reach them.
         cluster.at(18, [&cluster] { EXPECT_EQ(cluster.tasks_on("run-1"), 0u); });
         cluster.at(35, [&cluster] {
           for (int i = 0; i < 6; ++i) cluster.mute(machine(i), false);
         });
       },
       [](SimulatedCluster& cluster) { EXPECT_GE(cluster.incarnation_of(machine(0)), 2u); }},
      {"TeamAtItsQuotaFailsOverWithUnreachableMachines", 45,
       [](SimulatedCluster& cluster, Load& load) {
         load.off = {"run-1"};
         load.end = {"run-2", "run-3"};
         cluster.at(5, [&cluster] {
           cluster.submit(cluster.job("run-1", "blue", 24, 1, 300));
           cluster.submit(cluster.job("run-2", "blue", 24, 1, 20));
         });
         cluster.at(8, [&cluster] { cluster.submit(cluster.job("run-3", "blue", 30, 1, 6)); });
         cluster.at(28, [&cluster] {
           ASSERT_EQ(cluster.tasks_on("run-1"), 24u);
           // The odd ones are silent for a while, within their lease.
           cluster.cut(workers(1, 2), {SimulatedCluster::all()}, CutMode::hold);
         });
         cluster.at(28.3, [&cluster] { cluster.crash(1, 30); });
         cluster.at(29, [&cluster] { cluster.cancel("run-1"); });
         cluster.at(36.5, [&cluster] { cluster.heal(); });
       },
       [](SimulatedCluster& cluster) {
         EXPECT_GE(cluster.confirmed("run-1").node, 0);
         EXPECT_GE(cluster.lines("partition claimed partition=1"), 2u);
       }},
      {"TransactionsLandAfterNewerOnes", 90,
       [](SimulatedCluster& cluster, Load& load) {
         usual(cluster, load);
         cluster.at(6, [&cluster] { cluster.late_writes({0.45, 0.5, 12}); });
         for (int i = 1; i <= 12; ++i) {
           const std::string id = "run-" + std::to_string(i);
           cluster.at(6 + 4 * i, [&cluster, id, i] {
             cluster.submit(cluster.job(id, i % 2 ? "red" : "blue", 4, 1, 5));
           });
           if (i % 3) {
             load.end.push_back(id);
           } else {
             load.off.push_back(id);
             cluster.at(9 + 4 * i, [&cluster, id] { cluster.cancel(id); });
           }
         }
         for (int i = 0; i < 5; ++i)
           cluster.at(15 + 13 * i, [&cluster, i] { cluster.crash(i % 3, i % 2 ? 0.2 : 4); });
         cluster.at(80, [&cluster] { cluster.late_writes({}); });
       },
       [](SimulatedCluster& cluster) { EXPECT_GE(cluster.landed_late(), 6u); }},
      {"LeaderReachesOnlyItsWorkersAndUsers", 40,
       [](SimulatedCluster& cluster, Load& load) {
         usual(cluster, load);
         load.off = {"run-1"};
         cluster.at(6, [&cluster] { cluster.submit(cluster.job("run-1", "blue", 6, 1, 400)); });
         cluster.at(14, [&cluster] {
           cluster.cut({"n1"}, {"state", "n0", "n2", "cloud"}, CutMode::reset);
         });
         cluster.at(20, [&cluster] {
           ASSERT_NE(cluster.leader_of(1), 1);
           cluster.cancel("run-1");
         });
         cluster.at(35, [&cluster] { cluster.heal(); });
       },
       [](SimulatedCluster& cluster) {
         EXPECT_GE(cluster.confirmed("run-1").node, 0);
         EXPECT_NE(cluster.confirmed("run-1").node, 1);
       }},
  };
  return all;
}

class ConcurrentFaults : public testing::TestWithParam<std::tuple<std::size_t, std::uint64_t>> {};

TEST_P(ConcurrentFaults, ViolateNoRule) {
  const auto [index, seed] = GetParam();
  const FaultDay& day = fault_days()[index];
  Options options;
  options.seed = seed;
  SimulatedCluster cluster(options);
  Load load;
  day.script(cluster, load);
  cluster.at(day.over, [&] { cluster.faults_over(); });
  cluster.run_until(day.over + 130);
  day.reached(cluster);
  cluster.checker().day_over(cluster.now());
  expect_rules_kept(cluster);
  for (const auto& id : load.end) EXPECT_EQ(cluster.phase(id), "done") << id;
  for (const auto& id : load.run) EXPECT_EQ(cluster.tasks_on(id), 1u) << id;
  for (const auto& id : load.off) {
    EXPECT_EQ(cluster.phase(id), "cancelled") << id;
    EXPECT_EQ(cluster.tasks_on(id), 0u) << id;
  }
  EXPECT_EQ(cluster.checker().starts_after_cancel(), 0u);
}

INSTANTIATE_TEST_SUITE_P(Days, ConcurrentFaults,
                         testing::Combine(testing::Range<std::size_t>(0, fault_days().size()),
                                          testing::Values(1, 2, 3)),
                         [](const auto& i) {
                           return std::string(fault_days()[std::get<0>(i.param)].name) + "Seed" +
                                  std::to_string(std::get<1>(i.param));
                         });

}  // namespace
