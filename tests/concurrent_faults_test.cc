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

class GapTest : public testing::TestWithParam<Gap> {
 public:
  static constexpr double kAt = 30, kOutageS = 52.8;
  static constexpr int kLeader = 1;  // of the partition of team blue
  Options options() const {
    Options o;
    o.seed = GetParam().seed;
    return o;
  }
  // From a moment before the refusal on, until it, commits get no answer.
  void gap(World& w) const {
    w.at(kAt - 0.3, [&w] { w.late_writes(GetParam().late); });
    w.at(kAt, [&w] {
      w.late_writes({});
      w.state_refuses(kLeader, true);
    });
    w.at(kAt + GetParam().outage_after_s, [&w] { w.state_outage(true); });
    w.at(kAt + GetParam().outage_after_s + kOutageS, [&w] {
      w.state_outage(false);
      w.state_refuses(kLeader, false);
    });
  }
  double outage_at() const { return kAt + GetParam().outage_after_s; }
};

TEST_P(GapTest, CancelledTasksAreGoneInTime) {
  World w(options());
  w.at(5, [&] {
    w.submit(w.job("run-1", "blue", 6, 1, 400));
    w.submit(w.job("run-2", "blue", 4, 1, 400));
  });
  gap(w);
  w.at(kAt - 0.2, [&] {
    ASSERT_EQ(w.leader_of(1), kLeader);
    ASSERT_EQ(w.tasks_on("run-1"), 6u);
    w.cancel("run-1");
  });
  std::size_t before = 0, confirmed = 0;
  w.at(outage_at() + 6,
       [&] { before = w.heartbeats_accepted(kLeader); });  // its lease would be over
  w.at(outage_at() + 50, [&] { confirmed = w.heartbeats_accepted(kLeader); });
  w.run_until(outage_at() + kOutageS - 1);
  // They meet: another controller has confirmed, and the workers stayed with the old leader.
  ASSERT_GE(w.confirmed("run-1").node, 0);
  EXPECT_NE(w.confirmed("run-1").node, kLeader);
  EXPECT_LT(w.confirmed("run-1").at, outage_at());
  EXPECT_GT(confirmed, before + 40);
  EXPECT_EQ(w.tasks_on("run-1"), 0u);
  EXPECT_EQ(w.tasks_on("run-2"), 4u);
  // Whatever node is asked, nobody goes back on it.
  for (int n = 0; n < 3; ++n) w.poll_once(n, "run-1", [](int, const std::string&) {});
  w.run_until(130);
  w.checker().troubles_over(90);
  EXPECT_EQ(w.phase("run-1"), "cancelled");
  expect_rules_kept(w);
}

// The same for a job whose last task ends at that moment: its old leader must not call it running.
TEST_P(GapTest, ADoneJobStaysDone) {
  World w(options());
  w.at(5, [&] {
    w.submit(w.job("run-1", "blue", 2, 1, 22.5));
    w.submit(w.job("run-2", "blue", 2, 1, 400));
  });
  gap(w);
  // Whenever it ends, the commit of its end is without answer.
  w.at(kAt - 2, [&] { w.late_writes(GetParam().late); });
  bool told = false;
  for (double t = kAt; t < outage_at() + 40; t += 0.5)
    w.at(t, [&] {
      for (int n : {0, 2, 1})
        w.poll_once(n, "run-1", [&, n](int, const std::string& phase) {
          told |= phase == "done" && n != kLeader && w.now() < outage_at();
        });
    });
  w.run_until(130);
  ASSERT_TRUE(told);
  EXPECT_EQ(w.phase("run-1"), "done");
  expect_rules_kept(w);
}

// The refusal lasts longer than a lease before the outage begins: the partition has a new leader,
// which confirms and goes on through the outage, though the old one has not seen its claim.
class LongRefusal : public testing::TestWithParam<std::tuple<std::uint64_t, double>> {};

TEST_P(LongRefusal, TheNewLeaderGoesOnThroughTheOutage) {
  const auto [seed, after] = GetParam();
  Options o;
  o.seed = seed;
  World w(o);
  w.at(5, [&] {
    w.submit(w.job("run-1", "blue", 6, 1, 400));
    w.submit(w.job("run-2", "blue", 4, 1, 400));
  });
  w.at(30, [&] { w.state_refuses(1, true); });
  w.at(30 + after - 0.4, [&] {
    ASSERT_NE(w.leader_of(1), 1);
    w.cancel("run-1");
  });
  w.at(30 + after, [&] { w.state_outage(true); });
  w.run_until(30 + after + 52);
  ASSERT_NE(w.confirmed("run-1").node, -1);
  EXPECT_LT(w.confirmed("run-1").at, 30 + after);
  EXPECT_EQ(w.tasks_on("run-1"), 0u);
  EXPECT_EQ(w.tasks_on("run-2"), 4u);
  EXPECT_EQ(w.lines("lease expired"), 0u);
  w.state_outage(false);
  w.state_refuses(1, false);
  w.run_until(130);
  w.checker().troubles_over(90);
  expect_rules_kept(w);
}

INSTANTIATE_TEST_SUITE_P(Offsets, LongRefusal,
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

INSTANTIATE_TEST_SUITE_P(Offsets, GapTest, testing::ValuesIn(gaps()));

// A service and a short array of each team.
void short_load(World& w) {
  w.at(5, [&w] {
    int n = 800;
    for (const char* team : {"red", "blue", "gold"}) {
      w.submit(w.service("run-" + std::to_string(n++), team, 1, 2));
      w.submit(w.job("run-" + std::to_string(n++), team, 6, 1, 4));
    }
  });
}

// -------------------------------------------------------------- the end of a job's last task
// With no other trouble, a cancellation, a question and a repeated submission come at that moment,
// each some milliseconds later than for the job before.
TEST(TheEndOfAJob, IsMetByACancellationAQuestionAndARepeatedSubmission) {
  World w({});
  constexpr int kJobs = 60;
  std::vector<JobSpec> specs;
  for (int i = 0; i < kJobs; ++i) {
    JobSpec s =
        w.job("run-" + std::to_string(i), std::array{"red", "blue", "gold"}[i % 3], 1, 0.25, 4);
    s.image_gb = 0;
    specs.push_back(s);
  }
  w.at(6, [&] {
    for (const auto& s : specs) w.submit(s);
  });
  for (int i = 0; i < kJobs; ++i)
    w.at(10.0 + 0.025 * i, [&w, &specs, i] {
      const JobSpec& s = specs[static_cast<std::size_t>(i)];
      w.cancel(s.id);
      for (int n = 0; n < 3; ++n) {
        w.poll_once(n, s.id, [](int, const std::string&) {});
        w.repeat(n, s);
      }
      w.at(w.now() + 0.1, [&w, &s] {
        for (int n = 0; n < 3; ++n) w.repeat(n, s);
      });
    });
  w.troubles_over();
  w.run_until(110);
  expect_rules_kept(w);
  std::map<std::string, int> ends;
  for (const auto& s : specs) ++ends[w.phase(s.id)];
  EXPECT_GE(ends["done"], 5);  // both were met
  EXPECT_GE(ends["cancelled"], 5);
  EXPECT_EQ(ends["done"] + ends["cancelled"], kJobs);
}

// Fresh nodes, also in an outage, accept nothing that cannot run or lacks a field.
TEST(OddRequests, AreNeverAccepted) {
  World w({});
  JobSpec nowhere = w.job("run-1", "red", 2), nobody = w.job("run-2", "nobody", 2),
          large = w.job("run-3", "red", 2, 9);
  nowhere.zone = "z";
  const std::string good = codec::encode(w.job("run-4", "red", 2), "user");
  std::string lacking = good;
  lacking.replace(lacking.find("\"shards\""), 8, "\"shard\"");
  const std::vector<std::string> odd = {codec::encode(nowhere, "u"),
                                        codec::encode(nobody, "u"),
                                        codec::encode(large, "u"),
                                        lacking,
                                        good + "x",
                                        "[]"};
  w.at(8, [&] {
    for (int n = 0; n < 3; ++n) w.crash(n, 0.1 + n);
  });
  w.at(14, [&] { w.state_outage(true); });
  w.at(15, [&] { w.crash(1, 0.2); });
  w.at(30, [&] { w.state_outage(false); });
  for (double t = 3; t < 45; t += 0.31)
    w.at(t, [&w, &odd] {
      for (int n = 0; n < 3; ++n)
        for (const auto& body : odd) w.submit_odd(n, body);
    });
  w.at(20, [&w] { w.submit(w.job("run-9", "red", 2)); });
  w.run_until(60);
  EXPECT_GT(w.odd_refused(400), 100u);
  EXPECT_GT(w.odd_refused(422), 100u);
  EXPECT_GT(w.odd_refused(503), 10u);
  EXPECT_EQ(w.phase("run-9"), "done");
  expect_rules_kept(w);
}

// --------------------------------------------------------------------- a move in doubt
// The transaction that gives idle machines away has no answer and lands seconds later; until then
// later tries are refused. The giver must not use the machines meanwhile.
class MoveInDoubt : public testing::TestWithParam<std::tuple<std::uint64_t, double>> {};

TEST_P(MoveInDoubt, TheMachinesAreNotUsedUntilItIsProven) {
  const auto [seed, late_s] = GetParam();
  Options o;
  o.seed = seed;
  o.capacity = 0;
  World w(o);
  short_load(w);
  std::size_t before = 0;
  double moved = 0;
  w.at(11, [&, late_s = late_s] {
    w.late_writes({1, late_s, late_s + 0.1});
    before = w.lines("machine transfer");
  });
  for (double t = 11.01; t < 60; t += 0.05)
    w.at(t, [&] {
      if (moved > 0 || w.lines("machine transfer") == before) return;
      moved = w.now();
      w.late_writes({});
      for (int n = 0; n < 3; ++n) w.state_refuses(n, true);
      w.cloud_outage(true);  // nothing can be returned, so what is on the machines goes on
      w.at(moved + 20, [&w] { w.cloud_outage(false); });
      w.at(moved + 3.6, [&w] {
        for (int n = 0; n < 3; ++n) w.state_refuses(n, false);
      });
      w.at(moved + 3.7, [&w] {
        for (int i = 0; i < 9; ++i)
          w.submit(w.job("run-" + std::to_string(i), std::array{"red", "blue", "gold"}[i % 3], 12));
      });
    });
  w.run_until(60);
  ASSERT_GT(moved, 0);
  ASSERT_GE(w.without_answer(), 1u);
  w.troubles_over();
  w.run_until(190);
  expect_rules_kept(w);
  for (int i = 0; i < 9; ++i) EXPECT_EQ(w.phase("run-" + std::to_string(i)), "done") << i;
}

INSTANTIATE_TEST_SUITE_P(Delays, MoveInDoubt,
                         testing::Combine(testing::Values(1, 2, 3),
                                          testing::Values(4.2, 5.0, 7.0)));

// ------------------------------------------------------------------- more work than room
// Guests without a fair share among teams whose queues never end, over slow links: idle-time work
// begins all the same, and so does a task that needs a whole machine.
TEST(MoreWorkThanRoom, IdleTimeWorkAndTheLargestTasksBeginInTime) {
  Options o;
  o.machines = 4;
  o.capacity = 0;
  o.latency_ms = 150;
  o.teams.push_back({"guest", 0, 1e9, 0, 0});
  World w(o);
  w.at(5, [&] {
    JobSpec idle = w.job("run-900", "guest", 40, 1, 60),
            whole = w.job("run-901", "guest", 3, 8, 30);
    for (JobSpec* j : {&idle, &whole}) {
      j->priority = Priority::best_effort;
      j->deadline_s.reset();
      j->jobclass = j->id;
      w.submit(*j);
    }
    for (int i = 0; i < 3; ++i)
      w.submit(
          w.service("run-80" + std::to_string(i), o.teams[static_cast<std::size_t>(i)].name, 1, 2));
  });
  for (int i = 0; i < 110; ++i)
    w.at(4 + 3 * i, [&w, i] {
      JobSpec s =
          w.job("run-" + std::to_string(i + 1), std::array{"red", "blue", "gold"}[i % 3], 14, 1, 8);
      s.deadline_s = 20;
      w.submit(s);
    });
  w.run_until(320);
  w.checker().day_over(320);
  expect_rules_kept(w);
}

// Machines that failed everything for minutes are well again: nobody waits beside them for the rest
// of a pause that has doubled and doubled.
TEST(MoreWorkThanRoom, MachinesThatAreWellAgainTakeWorkInTime) {
  Options o;
  o.machines = 2;
  o.nodes = 1;
  o.capacity = 0;
  World w(o);
  for (int i = 0; i < 2; ++i) {
    w.at(4, [&w, i] { w.set_sick(machine(i), true); });
    w.at(150, [&w, i] { w.set_sick(machine(i), false); });
  }
  for (int i = 0; i < 7; ++i)
    w.at(5 + 20 * i, [&w, i] {
      w.submit(w.job("run-" + std::to_string(i), std::array{"red", "blue", "gold"}[i % 3], 2));
    });
  w.at(150, [&w] { w.troubles_over(); });
  w.run_until(250);
  expect_rules_kept(w);
  for (int i = 0; i < 7; ++i) EXPECT_EQ(w.phase("run-" + std::to_string(i)), "done") << i;
}

// A job that failed on machines which are well again does not avoid them for ever: the third is
// full.
TEST(MoreWorkThanRoom, AJobReturnsToMachinesOnWhichItFailed) {
  Options o;
  o.machines = 3;
  o.capacity = 0;
  o.nodes = 1;
  World w(o);
  w.at(4, [&w] { w.submit(w.service("run-800", "red", 1, 8)); });
  std::string full;
  w.at(8, [&] {
    full = w.machines_of("run-800").at(0);
    for (int i = 0; i < 3; ++i)
      if (machine(i) != full) w.set_sick(machine(i), true);
    JobSpec s = w.job("run-1", "blue", 1, 1, 10);
    s.deadline_s = 11;  // no slack: idle machines are kept
    w.submit(s);
  });
  w.at(60, [&] {
    EXPECT_GE(w.checker().starts(), 3u);  // it has failed
    for (int i = 0; i < 3; ++i) w.set_sick(machine(i), false);
    w.troubles_over();
  });
  w.run_until(200);
  expect_rules_kept(w);
  EXPECT_EQ(w.phase("run-1"), "done");
}

// Nothing more can be provisioned, and every machine of the other partitions runs a service, so
// none is idle: work that waits gets its room all the same.
TEST(MoreWorkThanRoom, RoomBesideServicesOfOtherPartitionsIsUsed) {
  Options o;
  o.capacity = 0;
  World w(o);
  w.at(5, [&] {
    for (int i = 0; i < 6; ++i) {
      JobSpec s = w.service("run-80" + std::to_string(i), std::array{"blue", "gold"}[i % 2], 1, 5);
      w.submit(s);
    }
  });
  w.at(12, [&] {
    for (int i = 0; i < 4; ++i) w.cancel("run-80" + std::to_string(i));
  });
  w.at(16, [&] {
    for (int i = 0; i < 4; ++i)
      w.submit(w.service("run-81" + std::to_string(i), std::array{"blue", "gold"}[i % 2], 1, 1.5));
    for (int i = 0; i < 5; ++i) {
      JobSpec s = w.job("run-" + std::to_string(i), "red", 8, 1, 400);
      s.spot = false;
      w.submit(s);
    }
  });
  w.troubles_over();
  w.run_until(200);
  expect_rules_kept(w);
}

// -------------------------------------------------------------------- the other concurrent faults
// Each case is a day in the world: a load, its troubles, and what shows that they met. The troubles
// are over at `over`; from then on every rule holds.

struct Load {
  std::vector<std::string> end;  // arrays that must be done at the end
  std::vector<std::string> run;  // services that must run
  std::vector<std::string> off;  // cancelled
};

struct FaultDay {
  const char* name;
  double over;
  std::function<void(World&, Load&)> script;
  std::function<void(World&)> reached;
};

// A service, a short and a long array of each team.
void usual(World& w, Load& load, double t = 5) {
  int n = 100;
  for (const char* team : {"red", "blue", "gold"}) {
    const std::string a = "run-" + std::to_string(++n), b = "run-" + std::to_string(++n),
                      c = "run-" + std::to_string(++n);
    w.at(t, [&w, a, b, c, team] {
      w.submit(w.service(a, team, 1, 2));
      w.submit(w.job(b, team, 8, 1, 8));
      w.submit(w.job(c, team, 3, 1, 60));
    });
    load.run.push_back(a);
    load.end.insert(load.end.end(), {b, c});
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
       [](World& w, Load& load) {
         w.at(5, [&w] {
           JobSpec bound = w.job("run-1", "blue", 4, 1, 12);
           bound.zone = "a";
           JobSpec together = w.job("run-2", "gold", 4, 1, 12);
           together.one_zone = true;
           w.submit(bound);
           w.submit(together);
         });
         load.end = {"run-1", "run-2"};
         w.at(10, [&w] {
           for (int i = 0; i < 6; i += 2) w.kill_machine(machine(i));
         });
         w.at(11.9, [&w] { EXPECT_EQ(w.tasks_on("run-1"), 0u); });
       },
       [](World& w) { EXPECT_EQ(w.lines("is dead"), 3u); }},
      {"JobsOfOneZoneLoseItsMachinesWhileOthersAreKeptIdle", 12,
       [](World& w, Load& load) {
         load.end = {"run-1", "run-2", "run-3"};
         w.at(5, [&w] {
           for (int i = 1; i <= 3; ++i) {
             JobSpec bound = w.job("run-" + std::to_string(i), i % 2 ? "blue" : "gold", 4, 1, 12);
             bound.zone = "a";
             bound.deadline_s = 14;  // no slack: idle machines are kept for minutes
             w.submit(bound);
           }
         });
         w.at(10, [&w] {
           for (int i = 0; i < 6; i += 2) w.kill_machine(machine(i));
         });
       },
       [](World& w) {
         EXPECT_EQ(w.lines("is dead"), 3u);
         EXPECT_EQ(w.lines("machine terminated machine=m-000001"), 0u);
       }},
      {"AllAreAwayForLongerThanALease", 31,
       [](World& w, Load& load) {
         usual(w, load);
         w.at(12, [&w] {
           for (int i = 0; i < 3; ++i) w.crash(i, 15 + i);
         });
       },
       [](World& w) { EXPECT_GE(w.lines("lease expired"), 3u); }},
      {"LeadersChangeTenTimesInTwoMinutesAlsoInAnOutage", 135,
       [](World& w, Load& load) {
         usual(w, load);
         for (int i = 0; i < 12; ++i)
           w.at(12 + 9.7 * i, [&w, i] {
             if (const int leader = w.leader_of(0); leader >= 0) w.crash(leader, i % 3 ? 4 : 0.3);
           });
         w.at(60, [&w] { w.state_outage(true); });
         w.at(75, [&w] { w.state_outage(false); });
       },
       [](World& w) {
         EXPECT_GE(w.lines("partition claimed partition=0"), 10u);
         EXPECT_GE(w.lines("crashes"), 10u);
       }},
      {"OldReportsOfEarlierSessionsArriveAfterNewerOnes", 60,
       [](World& w, Load& load) {
         usual(w, load);
         w.duplicate_heartbeats(true);
         w.at(10, [&w] {
           for (int i = 0; i < 3; ++i) w.freeze_machine(machine(i), true);
         });
         w.at(23, [&w] {
           for (int i = 0; i < 3; ++i) w.freeze_machine(machine(i), false);
         });
         w.at(26, [&w] { w.crash(1); });
         w.at(45, [&w] { w.crash(0, 0.2); });
         w.at(60, [&w] { w.duplicate_heartbeats(false); });
       },
       [](World& w) {
         EXPECT_GT(w.copies(), 200u);
         EXPECT_GE(w.incarnation_of(machine(0)), 2u);
       }},
      {"HandedOverAndBackThenAllEndAndOneReturns", 50,
       [](World& w, Load& load) {
         usual(w, load);
         w.at(10, [&w] { w.crash(1, 6); });
         for (double t = 16; t < 30; t += 0.05)
           w.at(t, [&w] {
             if (w.lines("world all end") || w.lines("reason=failback") < 3) return;
             w.note("world all end");
             for (int i : {1, 2}) w.crash(i, 20);
             w.crash(0, 0.4);
           });
       },
       [](World& w) { EXPECT_EQ(w.lines("world all end"), 1u); }},
      {"TheStateServiceIsSlowWhileUsersCancelAndAsk", 50,
       [](World& w, Load& load) {
         usual(w, load);
         w.at(10, [&w] { w.state_slow(2.2); });
         for (double t = 10; t < 40; t += 3)
           w.at(t, [&w, t] {
             const std::string id = "run-" + std::to_string(static_cast<int>(t));
             w.submit(w.job(id, "blue", 2, 1, 200));
             w.at(t + 6, [&w, id] { w.cancel(id); });
           });
         for (int t = 10; t < 40; t += 3) load.off.push_back("run-" + std::to_string(t));
         w.at(50, [&w] { w.state_slow(0); });
       },
       [](World& w) { EXPECT_GE(w.lines("cancel says cancelled"), 10u); }},
      {"CancelledAsTheLeaderIsRefusedAndThenAll", 90,
       [](World& w, Load& load) {
         usual(w, load);
         load.off = {"run-1", "run-2"};
         w.at(6, [&w] {
           for (const char* id : {"run-1", "run-2"}) w.submit(w.job(id, "blue", 4, 1, 400));
         });
         w.at(30, [&w] {
           w.cancel("run-1");
           w.state_refuses(1, true);
           w.cancel("run-2");
         });
         w.at(31, [&w] { w.state_outage(true); });
         w.at(84, [&w] {
           w.state_outage(false);
           w.state_refuses(1, false);
         });
       },
       [](World& w) { EXPECT_GE(w.confirmed("run-2").node, 0); }},
      {"AReportIsHeldUntilItsAddresseeLeads", 40,
       [](World& w, Load& load) {
         usual(w, load);
         // The workers of n1's partition cannot get through to n0, which will lead them.
         w.at(9.6, [&w] { w.cut(workers(0, 1), {"n0"}, CutMode::hold); });
         w.at(10, [&w] { w.crash(1, 25); });
         w.at(19, [&w] {
           EXPECT_GE(w.held(), 6u);
           EXPECT_NE(w.leader_of(1), 1);
           w.heal();
         });
       },
       [](World& w) { EXPECT_EQ(w.lines("world healed"), 1u); }},
      {"AZoneWithAControllerIsCutOff", 26,
       [](World& w, Load& load) {
         usual(w, load);
         w.at(10, [&w] {
           std::set<std::string> zone = workers(1, 2), rest = workers(0, 2);
           zone.insert("n1");
           rest.insert({"n0", "n2", "state", "cloud", "user"});
           w.cut(zone, rest, CutMode::hold);
         });
         w.at(14, [&w] { w.cancel("run-106"); });
         load.off.push_back("run-106");
         load.end.erase(std::find(load.end.begin(), load.end.end(), "run-106"));
         w.at(26, [&w] { w.heal(); });
       },
       [](World& w) { EXPECT_GE(w.lines("lease expired"), 1u); }},
      {"JobsOfThreeTasksEndFarApartAcrossLeaders", 60,
       [](World& w, Load& load) {
         w.at(5, [&w] {
           for (int i = 0; i < 6; ++i) {
             const std::string id = "run-" + std::to_string(i);
             w.set_run_s(id, {2.0 + i, 20.0 + i, 42.0 + i});
             w.submit(w.job(id, i % 2 ? "blue" : "gold", 3, 1, 20));
           }
         });
         for (int i = 0; i < 6; ++i) load.end.push_back("run-" + std::to_string(i));
         w.at(14, [&w] { w.crash(1); });
         w.at(33, [&w] {
           for (int i = 0; i < 3; ++i) w.crash(i, 2 + i);
         });
         w.at(50, [&w] { w.crash(2, 0.2); });
       },
       // What was done once is not done again.
       [](World& w) { EXPECT_EQ(w.checker().starts(), 18u); }},
      {"ALeaderEndsWhileMachinesCannotBeReached", 40,
       [](World& w, Load& load) {
         usual(w, load);
         w.at(12, [&w] { w.cut(workers(0, 2, 6), {World::all()}, CutMode::hold); });
         w.at(12.4, [&w] { w.crash(1, 12); });
         w.at(20.4, [&w] { w.heal(); });  // within their lease
       },
       [](World& w) {
         EXPECT_GE(w.lines("partition claimed partition=1"), 2u);
         EXPECT_EQ(w.lines("world healed"), 1u);
       }},
      {"ALeaderEndsAndMachinesDoNotHearTheNextOne", 45,
       [](World& w, Load& load) {
         usual(w, load);
         w.at(12, [&w] { w.crash(1, 20); });
         w.at(12.5, [&w] {
           for (int i = 0; i < 4; ++i) w.deafen(machine(i), true);
         });
         w.at(34, [&w] {
           for (int i = 0; i < 4; ++i) w.deafen(machine(i), false);
         });
       },
       [](World& w) { EXPECT_GE(w.incarnation_of(machine(0)), 2u); }},
      {"ACommandIsHeldUpAndTheMachineGoesOn", 40,
       [](World& w, Load& load) {
         usual(w, load);
         load.off = {"run-1"};
         w.at(6, [&w] { w.submit(w.job("run-1", "blue", 6, 1, 400)); });
         w.at(15, [&w] {
           ASSERT_EQ(w.tasks_on("run-1"), 6u);
           for (const auto& id : w.machines_of("run-1")) w.freeze_machine(id, true);
           w.cancel("run-1");
         });
         w.at(22, [&w] {
           ASSERT_EQ(w.confirmed("run-1").node >= 0, true);
           ASSERT_EQ(w.tasks_on("run-1"), 6u);  // they hang, with their tasks
           for (int i = 0; i < 6; ++i) w.freeze_machine(machine(i), false);
         });
         w.at(24, [&w] { EXPECT_EQ(w.tasks_on("run-1"), 0u); });
       },
       [](World& w) { EXPECT_GE(w.lines("goes on"), 1u); }},
      {"MachinesReachNoControllerButHearCommands", 45,
       [](World& w, Load& load) {
         usual(w, load);
         load.off = {"run-1"};
         w.at(6, [&w] { w.submit(w.job("run-1", "blue", 6, 1, 400)); });
         w.at(15, [&w] {
           for (int i = 0; i < 6; ++i) w.mute(machine(i), true);
         });
         w.at(16, [&w] { w.cancel("run-1"); });
         // Long before a lease ends: commands reach them.
         w.at(18, [&w] { EXPECT_EQ(w.tasks_on("run-1"), 0u); });
         w.at(35, [&w] {
           for (int i = 0; i < 6; ++i) w.mute(machine(i), false);
         });
       },
       [](World& w) { EXPECT_GE(w.incarnation_of(machine(0)), 2u); }},
      {"ATeamAtItsLimitChangesLeaderAndSomeMachinesCannotBeAsked", 45,
       [](World& w, Load& load) {
         load.off = {"run-1"};
         load.end = {"run-2", "run-3"};
         w.at(5, [&w] {
           w.submit(w.job("run-1", "blue", 24, 1, 300));
           w.submit(w.job("run-2", "blue", 24, 1, 20));
         });
         w.at(8, [&w] { w.submit(w.job("run-3", "blue", 30, 1, 6)); });
         w.at(28, [&w] {
           ASSERT_EQ(w.tasks_on("run-1"), 24u);
           // The odd ones are silent for a while, within their lease.
           w.cut(workers(1, 2), {World::all()}, CutMode::hold);
         });
         w.at(28.3, [&w] { w.crash(1, 30); });
         w.at(29, [&w] { w.cancel("run-1"); });
         w.at(36.5, [&w] { w.heal(); });
       },
       [](World& w) {
         EXPECT_GE(w.confirmed("run-1").node, 0);
         EXPECT_GE(w.lines("partition claimed partition=1"), 2u);
       }},
      {"TransactionsAreCarriedOutLateAfterNewerOnes", 90,
       [](World& w, Load& load) {
         usual(w, load);
         w.at(6, [&w] { w.late_writes({0.45, 0.5, 12}); });
         for (int i = 1; i <= 12; ++i) {
           const std::string id = "run-" + std::to_string(i);
           w.at(6 + 4 * i, [&w, id, i] { w.submit(w.job(id, i % 2 ? "red" : "blue", 4, 1, 5)); });
           if (i % 3) {
             load.end.push_back(id);
           } else {
             load.off.push_back(id);
             w.at(9 + 4 * i, [&w, id] { w.cancel(id); });
           }
         }
         for (int i = 0; i < 5; ++i)
           w.at(15 + 13 * i, [&w, i] { w.crash(i % 3, i % 2 ? 0.2 : 4); });
         w.at(80, [&w] { w.late_writes({}); });
       },
       [](World& w) { EXPECT_GE(w.landed_late(), 6u); }},
      {"ALeaderHasItsWorkersAndUsersAlone", 40,
       [](World& w, Load& load) {
         usual(w, load);
         load.off = {"run-1"};
         w.at(6, [&w] { w.submit(w.job("run-1", "blue", 6, 1, 400)); });
         w.at(14, [&w] { w.cut({"n1"}, {"state", "n0", "n2", "cloud"}, CutMode::reset); });
         w.at(20, [&w] {
           ASSERT_NE(w.leader_of(1), 1);
           w.cancel("run-1");
         });
         w.at(35, [&w] { w.heal(); });
       },
       [](World& w) {
         EXPECT_GE(w.confirmed("run-1").node, 0);
         EXPECT_NE(w.confirmed("run-1").node, 1);
       }},
  };
  return all;
}

class ConcurrentFaultsTest : public testing::TestWithParam<std::tuple<std::size_t, std::uint64_t>> {
};

TEST_P(ConcurrentFaultsTest, KeepsTheRules) {
  const auto [index, seed] = GetParam();
  const FaultDay& m = fault_days()[index];
  Options o;
  o.seed = seed;
  World w(o);
  Load load;
  m.script(w, load);
  w.at(m.over, [&] { w.troubles_over(); });
  w.run_until(m.over + 130);
  m.reached(w);
  w.checker().day_over(w.now());
  expect_rules_kept(w);
  for (const auto& id : load.end) EXPECT_EQ(w.phase(id), "done") << id;
  for (const auto& id : load.run) EXPECT_EQ(w.tasks_on(id), 1u) << id;
  for (const auto& id : load.off) {
    EXPECT_EQ(w.phase(id), "cancelled") << id;
    EXPECT_EQ(w.tasks_on(id), 0u) << id;
  }
  EXPECT_EQ(w.checker().starts_after_cancel(), 0u);
}

INSTANTIATE_TEST_SUITE_P(Days, ConcurrentFaultsTest,
                         testing::Combine(testing::Range<std::size_t>(0, fault_days().size()),
                                          testing::Values(1, 2, 3)),
                         [](const auto& i) {
                           return std::string(fault_days()[std::get<0>(i.param)].name) + "Seed" +
                                  std::to_string(std::get<1>(i.param));
                         });

}  // namespace
