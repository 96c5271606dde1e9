// Days in the stand-in world, written down as traces and compared in full. Each checks the rules
// of the protocol; the traces in tests/traces/ are for reading. To write them anew after a change
// of behaviour: EIDERREEL_WRITE_TRACES=1 target/tests/eiderreel_tests, then read the difference.
#include <array>
#include <cstdlib>
#include <fstream>
#include <sstream>

#include "standin/expectations.h"

using namespace eiderreel;
using namespace eiderreel::standin;

namespace {

void expect_no_lease_ends(const World& w) {
  for (const auto& line : w.trace())
    EXPECT_EQ(line.find("lease expired"), std::string::npos) << line;
}

struct Trace : testing::Test {
  void compare(World& w, const std::string& name) {
    expect_rules_kept(w);
    std::string text;
    for (const auto& line : w.trace()) text += line + "\n";
    const std::string path = std::string(EIDERREEL_SOURCE_DIR) + "/tests/traces/" + name + ".txt";
    if (std::getenv("EIDERREEL_WRITE_TRACES")) {
      std::ofstream(path) << text;
      return;
    }
    std::ifstream in(path);
    std::stringstream kept;
    kept << in.rdbuf();
    EXPECT_EQ(kept.str(), text) << "the trace differs from " << path;
  }
  // A service and an array for each team.
  static void usual_load(World& w, double t) {
    int n = 100;
    for (const char* team : {"red", "blue", "gold"}) {
      const std::string a = "run-" + std::to_string(++n), b = "run-" + std::to_string(++n);
      w.at(t, [&w, a, b, team] {
        w.submit(w.service(a, team, 1, 2));
        w.submit(w.job(b, team, 12, 1, 8));
      });
    }
  }
  static void expect_usual_load_ends(World& w) {
    for (const char* id : {"run-102", "run-104", "run-106"}) EXPECT_EQ(w.phase(id), "done") << id;
    for (const char* id : {"run-101", "run-103", "run-105"}) EXPECT_EQ(w.tasks_on(id), 1u) << id;
  }
};

TEST_F(Trace, QuietDay) {
  World w({});
  usual_load(w, 5);
  w.at(30, [&] { w.cancel("run-101"); });
  w.run_until(60);
  EXPECT_EQ(w.phase("run-101"), "cancelled");
  EXPECT_EQ(w.tasks_on("run-101"), 0u);
  EXPECT_EQ(w.phase("run-104"), "done");
  compare(w, "quiet_day");
}

TEST_F(Trace, OneLeaderCrashes) {
  World w({});
  usual_load(w, 5);
  w.at(9, [&] { w.crash(1); });
  w.run_until(70);
  expect_usual_load_ends(w);
  EXPECT_EQ(w.leader_of(1), 1);  // given back to its preferred leader
  compare(w, "one_leader_crashes");
}

TEST_F(Trace, AllCrashAtOnce) {
  World w({});
  usual_load(w, 5);
  w.at(9, [&] {
    for (int i = 0; i < 3; ++i) w.crash(i);
  });
  w.run_until(70);
  expect_usual_load_ends(w);
  compare(w, "all_crash_at_once");
}

TEST_F(Trace, ALeaderIsBackWithinAFractionOfASecond) {
  World w({});
  usual_load(w, 5);
  w.at(9, [&] { w.crash(0, 0.2); });
  w.run_until(60);
  expect_usual_load_ends(w);
  compare(w, "a_leader_is_back_at_once");
}

TEST_F(Trace, RollingRestart) {
  World w({});
  usual_load(w, 5);
  for (int i = 0; i < 3; ++i) w.at(9 + 10 * i, [&w, i] { w.crash(i); });
  w.run_until(90);
  expect_usual_load_ends(w);
  compare(w, "rolling_restart");
}

TEST_F(Trace, StateOutage) {
  World w({});
  usual_load(w, 5);
  w.at(9, [&] { w.state_outage(true); });
  w.at(24, [&] { w.state_outage(false); });
  w.run_until(70);
  expect_usual_load_ends(w);
  compare(w, "state_outage");
}

// The state store refuses one node: it must step aside before its partition has a new leader.
TEST_F(Trace, OneNodeIsRefusedByTheStateService) {
  World w({});
  usual_load(w, 5);
  w.at(9, [&] { w.state_refuses(1, true); });
  w.at(40, [&] { w.state_refuses(1, false); });
  w.run_until(80);
  expect_usual_load_ends(w);
  compare(w, "one_node_is_refused");
}

// A partition is given back to its preferred leader just when the state store refuses its holder:
// the key must go all the same. Once it stayed, and the partition was without leader for as long as
// that process lived.
TEST_F(Trace, AFailbackIsRefused) {
  World w({});
  usual_load(w, 5);
  w.at(9, [&] { w.crash(1, 8); });
  w.at(20, [&] {
    EXPECT_NE(w.leader_of(1), 1);
    for (int n : {0, 2}) w.state_refuses(n, true);
  });
  w.at(22.5, [&] {
    for (int n : {0, 2}) w.state_refuses(n, false);
  });
  w.run_until(60);
  EXPECT_EQ(w.leader_of(1), 1);
  expect_usual_load_ends(w);
  compare(w, "a_failback_is_refused");
}

// The claims of a vacant partition are lost and never land: it is claimed again all the same.
TEST_F(Trace, AClaimIsLostForEver) {
  World w({});
  usual_load(w, 5);
  w.at(9, [&] { w.crash(1, 60); });
  bool cut = false;
  for (double t = 10; t < 20; t += 0.05)
    w.at(t, [&] {
      if (cut || w.leader_of(1) >= 0) return;
      cut = true;
      w.at(w.now() + 0.25, [&] { w.cut({"n0", "n2"}, {"state"}, CutMode::reset); });
      w.at(w.now() + 2.75, [&] { w.heal(); });
    });
  w.run_until(30);
  EXPECT_NE(w.leader_of(1), -1);
  w.run_until(60);
  for (const char* id : {"run-102", "run-104", "run-106"}) EXPECT_EQ(w.phase(id), "done") << id;
  compare(w, "a_claim_is_lost");
}

class CutTrace : public Trace, public testing::WithParamInterface<CutMode> {
 public:
  std::string mode() const { return GetParam() == CutMode::hold ? "hold" : "reset"; }
};

TEST_P(CutTrace, ALeaderIsCutFromEverything) {
  World w({});
  usual_load(w, 5);
  w.at(9, [&] { w.cut({"n1"}, {World::all()}, GetParam()); });
  w.at(40, [&] { w.heal(); });
  w.run_until(90);
  expect_usual_load_ends(w);
  compare(w, "leader_cut_" + mode());
}

TEST_P(CutTrace, ALeaderIsCutFromTheStateService) {
  World w({});
  usual_load(w, 5);
  w.at(9, [&] { w.cut({"n1"}, {"state"}, GetParam()); });
  w.at(12, [&] { w.cancel("run-103"); });
  w.at(40, [&] { w.heal(); });
  w.run_until(90);
  EXPECT_EQ(w.phase("run-103"), "cancelled");
  EXPECT_EQ(w.phase("run-104"), "done");
  compare(w, "leader_cut_from_state_" + mode());
}

// The peer links is down: users are still answered correctly by every node.
TEST_P(CutTrace, PeerLinksAreDown) {
  World w({});
  w.at(3, [&] { w.cut({"n0", "n1", "n2"}, {"n0", "n1", "n2"}, GetParam()); });
  usual_load(w, 5);
  w.at(20, [&] { w.cancel("run-101"); });
  w.at(40, [&] { w.heal(); });
  w.run_until(70);
  EXPECT_EQ(w.phase("run-101"), "cancelled");
  EXPECT_EQ(w.phase("run-104"), "done");
  compare(w, "peer_links_down_" + mode());
}

// Heartbeats and commands held for longer than a lease arrive at last, and change nothing.
TEST_P(CutTrace, MachinesAreCutForLongerThanTheirLease) {
  World w({});
  usual_load(w, 5);
  w.at(9, [&] { w.cut({"w-m-000000", "w-m-000001", "w-m-000002"}, {World::all()}, GetParam()); });
  w.at(30, [&] { w.heal(); });
  w.run_until(90);
  expect_usual_load_ends(w);
  compare(w, "machines_cut_" + mode());
}

INSTANTIATE_TEST_SUITE_P(Modes, CutTrace, testing::Values(CutMode::hold, CutMode::reset),
                         [](const auto& i) { return i.param == CutMode::hold ? "Hold" : "Reset"; });

TEST_F(Trace, AMachineStopsWithAllThatIsOnIt) {
  World w({});
  usual_load(w, 5);
  w.at(9, [&] { w.kill_machine(w.machines_of("run-101").at(0)); });
  w.run_until(70);
  expect_usual_load_ends(w);
  compare(w, "a_machine_stops");
}

TEST_F(Trace, AMachineHangsAndGoesOn) {
  World w({});
  usual_load(w, 5);
  w.at(9, [&] { w.freeze_machine(w.machines_of("run-101").at(0), true); });
  w.at(30, [&] {
    for (int i = 0; i < 6; ++i) w.freeze_machine(machine(i), false);
  });
  w.run_until(70);
  expect_usual_load_ends(w);
  compare(w, "a_machine_hangs");
}

TEST_F(Trace, AMachineFailsEveryTask) {
  World w({});
  w.at(1, [&] { w.set_sick("m-000000", true); });
  usual_load(w, 5);
  w.run_until(70);
  expect_usual_load_ends(w);
  compare(w, "a_sick_machine");
}

// A job that fails everywhere must neither condemn machines nor spin.
TEST_F(Trace, AJobFailsEverywhere) {
  World w({});
  w.set_failing("run-50");
  w.at(4, [&] { w.submit(w.job("run-50", "red", 4)); });
  usual_load(w, 8);
  w.at(60, [&] { w.cancel("run-50"); });
  w.run_until(80);
  expect_usual_load_ends(w);
  EXPECT_EQ(w.phase("run-50"), "cancelled");
  EXPECT_LT(w.checker().starts(), 150u);
  compare(w, "a_job_fails_everywhere");
}

TEST_F(Trace, ABurstProvisionsMachinesAndReturnsThem) {
  World w({});
  w.at(5, [&] {
    for (int i = 1; i <= 6; ++i)
      w.submit(w.job("run-" + std::to_string(i), i % 2 ? "red" : "blue", 100, 1, 8));
  });
  w.run_until(40);
  EXPECT_GT(w.machines_up(), 6u);
  w.run_until(240);
  for (int i = 1; i <= 6; ++i) EXPECT_EQ(w.phase("run-" + std::to_string(i)), "done");
  EXPECT_LT(w.machines_up(), 6u);
  compare(w, "a_burst");
}

TEST_F(Trace, TheCloudRefusesIsDownAndBootsNothing) {
  World w({});
  w.no_capacity(true);
  w.at(5, [&] { w.submit(w.job("run-1", "red", 200, 1, 4)); });
  w.at(20, [&] { w.cloud_outage(true); });
  w.at(35, [&] {
    w.cloud_outage(false);
    w.no_capacity(false);
    w.stuck_boots(true);
  });
  w.at(60, [&] { w.stuck_boots(false); });
  w.run_until(140);
  EXPECT_EQ(w.phase("run-1"), "done");
  compare(w, "cloud_troubles");
}

// A node that missed more changes than the state store keeps reads the keys again, and then
// knows what was accepted and what ended meanwhile.
TEST_F(Trace, ANodeMissesMoreChangesThanAreKept) {
  Options o;
  o.changes_kept = 4;
  World w(o);
  usual_load(w, 5);
  w.at(9, [&] { w.cut({"n1"}, {"state"}, CutMode::reset); });
  w.at(12, [&] { w.cancel("run-101"); });
  for (int i = 1; i <= 6; ++i)
    w.at(12 + i, [&w, i] { w.submit(w.job("run-" + std::to_string(i), "gold", 1, 1, 2)); });
  w.at(40, [&] { w.heal(); });
  w.run_until(60);
  int status = 0;
  std::string phase;
  w.poll_once(1, "run-101", [&](int s, std::string p) {
    status = s;
    phase = p;
  });
  w.run_until(62);
  EXPECT_EQ(status, 200);
  EXPECT_EQ(phase, "cancelled");
  EXPECT_EQ(w.node(1)->state_store().counters().replies.count(410), 1u);
  for (int i = 1; i <= 6; ++i) EXPECT_EQ(w.phase("run-" + std::to_string(i)), "done");
  compare(w, "changes_missed");
}

// Overlapping: an outage, a crash within it, machines lost, and a cancellation.
TEST_F(Trace, TroublesOverlap) {
  World w({});
  usual_load(w, 5);
  w.at(8, [&] { w.state_outage(true); });
  w.at(11, [&] { w.crash(2); });
  w.at(12, [&] { w.kill_machine("m-000003"); });
  w.at(13, [&] { w.cancel("run-105"); });
  w.at(22, [&] { w.state_outage(false); });
  w.at(25, [&] { w.crash(0); });
  w.at(26, [&] { w.crash(1, 0.3); });
  w.run_until(100);
  EXPECT_EQ(w.phase("run-105"), "cancelled");
  for (const char* id : {"run-102", "run-104", "run-106"}) EXPECT_EQ(w.phase(id), "done") << id;
  compare(w, "troubles_overlap");
}

// What everybody must hear once the troubles are over, from every node, in seconds.
void expect_all_answered(World& w, const std::vector<std::string>& ids) {
  std::size_t answered = 0;
  for (const auto& id : ids)
    for (int n = 0; n < 3; ++n)
      w.poll_once(n, id, [&](int status, const std::string&) { answered += status == 200; });
  w.run_until(w.now() + 2);
  EXPECT_EQ(answered, ids.size() * 3);
}

const std::vector<std::string> kUsual = {"run-101", "run-102", "run-103",
                                         "run-104", "run-105", "run-106"};

// A machine's heartbeats arrive, but nothing reaches it; meanwhile its leader crashes. Its tasks go
// on elsewhere, and it is not fed tasks that it cannot hear of.
TEST_F(Trace, AMachineIsHeardButDoesNotHear) {
  World w({});
  usual_load(w, 5);
  std::string deaf;
  w.at(9, [&] {
    deaf = w.machines_of("run-101").at(0);
    w.deafen(deaf, true);
  });
  w.at(20, [&] { w.crash(1); });
  for (int i = 1; i <= 6; ++i)
    w.at(20 + 4 * i, [&w, i] { w.submit(w.job("run-" + std::to_string(i), "red", 6, 1, 3)); });
  w.at(80, [&] { w.deafen(deaf, false); });
  w.run_until(140);
  w.checker().troubles_over(80);
  expect_usual_load_ends(w);
  for (int i = 1; i <= 6; ++i) EXPECT_EQ(w.phase("run-" + std::to_string(i)), "done");
  EXPECT_LT(w.launches_to(deaf), 16u);
  expect_all_answered(w, kUsual);
  compare(w, "a_deaf_machine");
}

// Every heartbeat arrives again, 2 s and 25 s later, before and after a failover, a move and a
// return.
TEST_F(Trace, CopiesOfHeartbeatsComeLate) {
  World w({});
  w.duplicate_heartbeats(true);
  usual_load(w, 5);
  w.at(7, [&] { w.submit(w.job("run-1", "red", 100, 1, 8)); });
  w.at(15, [&] { w.crash(0); });
  w.at(40, [&] { w.kill_machine("m-000004"); });
  w.at(90, [&] { w.crash(2, 0.3); });
  w.run_until(260);
  w.checker().troubles_over(100);
  expect_usual_load_ends(w);
  EXPECT_EQ(w.phase("run-1"), "done");
  // No phantom: what the service counts as machines are those that are there.
  EXPECT_LE(w.node(0)->state_store().view().machines.size(), w.machines_up());
  expect_all_answered(w, kUsual);
  compare(w, "late_copies");
}

// A controller reaches its workers alone: it stops in time, they find the new leader before their
// lease ends, and it comes back.
TEST_P(CutTrace, ALeaderHasOnlyItsWorkers) {
  World w({});
  usual_load(w, 5);
  w.at(9, [&] { w.cut({"n1"}, {"state", "cloud", "n0", "n2", "user"}, GetParam()); });
  w.at(50, [&] { w.heal(); });
  w.run_until(90);
  w.checker().troubles_over(50);
  expect_usual_load_ends(w);
  expect_no_lease_ends(w);
  expect_all_answered(w, kUsual);
  compare(w, "only_workers_" + mode());
}

// A controller loses its workers alone. They are served by a peer before their leases end, and by
// it again once it hears them.
TEST_P(CutTrace, ALeaderLosesItsWorkers) {
  World w({});
  usual_load(w, 5);
  std::set<std::string> workers;
  for (int i = 0; i < 20; ++i) {
    const std::string n = std::to_string(i);
    workers.insert("w-m-" + std::string(6 - n.size(), '0') + n);
  }
  w.at(9, [&] { w.cut({"n1"}, workers, GetParam()); });
  w.at(30, [&] { EXPECT_NE(w.leader_of(1), 1); });
  w.at(50, [&] { w.heal(); });
  w.run_until(90);
  EXPECT_EQ(w.leader_of(1), 1);
  w.checker().troubles_over(50);
  expect_usual_load_ends(w);
  expect_no_lease_ends(w);
  expect_all_answered(w, kUsual);
  compare(w, "workers_lost_" + mode());
}

// A controller stands still for longer than its lease, then wakes with all that came meanwhile in
// its buffers. It must not act for its partition, which has another leader by then.
TEST_F(Trace, AControllerStandsStill) {
  World w({});
  usual_load(w, 5);
  w.at(9, [&] { w.freeze(1, 17); });
  w.at(14, [&] { w.cancel("run-103"); });
  w.at(25, [&] { EXPECT_NE(w.leader_of(1), 1); });
  w.run_until(90);
  EXPECT_EQ(w.leader_of(1), 1);
  EXPECT_EQ(w.phase("run-103"), "cancelled");
  EXPECT_EQ(w.phase("run-104"), "done");
  expect_no_lease_ends(w);
  compare(w, "a_controller_stands_still");
}

// Workers that leave a silent leader are not sent back to it: their leases would end meanwhile.
TEST_F(Trace, WorkersOfASilentControllerFindTheNextInTime) {
  for (std::uint64_t seed = 1; seed <= 8; ++seed) {
    Options o;
    o.seed = seed;
    o.machines = 24;
    World w(o);
    usual_load(w, 5);
    w.at(9 + 0.13 * static_cast<double>(seed), [&] { w.freeze(1, 30); });
    w.at(25, [&] { EXPECT_NE(w.leader_of(1), 1); });
    w.run_until(60);
    expect_no_lease_ends(w);
    EXPECT_TRUE(w.checker().broken().empty());
  }
}

// Processes back within a fraction of a second: while a partition is claimed, while votes are out,
// while a partition is given back to its preferred leader; late copies of heartbeats follow.
TEST_F(Trace, ProcessesAreBackInMidElection) {
  World w({});
  w.duplicate_heartbeats(true);
  usual_load(w, 5);
  w.at(9, [&] { w.crash(1, 8); });
  for (double t : {14.0, 14.3, 14.6}) w.at(t, [&w] { w.crash(0, 0.2); });
  w.at(14.45, [&] { w.crash(2, 0.3); });
  w.at(30, [&] { w.state_outage(true); });
  w.at(33, [&] { w.crash(2, 0.2); });
  w.at(36, [&] { w.crash(0, 0.1); });
  w.at(40, [&] { w.state_outage(false); });
  for (double t : {44.0, 44.4, 44.9, 45.5}) w.at(t, [&w] { w.crash(1, 0.15); });
  w.run_until(140);
  w.checker().troubles_over(50);
  expect_usual_load_ends(w);
  expect_all_answered(w, kUsual);
  compare(w, "back_in_mid_election");
}

// More is asked than there is, for minutes: a large array with a far deadline and a small team's
// job begin in time all the same.
TEST_F(Trace, OverloadStarvesNoOne) {
  Options o;
  o.machines = 2;
  o.capacity = 0;
  o.nodes = 1;
  World w(o);
  w.at(5, [&] {
    JobSpec large = w.job("run-900", "red", 60, 1, 20);
    large.jobclass = "large";
    large.deadline_s = 4000;
    w.submit(large);
    w.submit(w.job("run-901", "gold", 2, 8, 10));
  });
  for (int i = 0; i < 100; ++i)
    w.at(4 + 3 * i, [&w, i] {
      JobSpec s = w.job("run-" + std::to_string(i + 1), i % 2 ? "red" : "blue", 8, 1, 8);
      s.deadline_s = 20;
      w.submit(s);
    });
  w.run_until(320);
  w.checker().day_over(320);
  compare(w, "overload");
}

// At size: all controllers end at once, and a single one is back for a while; then a rack falls
// with all that is on it, and new machines come up together. No lease ends but those of the rack,
// and nobody is forgotten.
TEST(AtSize, OneControllerServesAllAndARackFalls) {
  Options o;
  o.machines = 120;
  o.capacity = 40;
  o.limits = true;
  o.state_rps = 180;
  o.state_write_rps = 60;
  o.teams = {{"red", 320, 640, 0, 0}, {"blue", 320, 640, 0, 0}, {"gold", 320, 640, 0, 0}};
  World w(o);
  std::vector<std::string> ids;
  for (int i = 0; i < 90; ++i) {
    ids.push_back("run-" + std::to_string(i));
    const char* team = std::array{"red", "blue", "gold"}[static_cast<std::size_t>(i % 3)];
    w.at(15 + i * 0.5, [&w, id = ids.back(), team] { w.submit(w.job(id, team, 20, 1, 10)); });
  }
  w.at(25, [&] {
    w.crash(0, 20);
    w.crash(1, 20);
    w.crash(2, 0.3);
  });
  w.run_until(50);
  expect_no_lease_ends(w);
  for (int i = 0; i < 40; ++i) w.kill_machine(machine(i));
  w.run_until(150);
  w.checker().troubles_over(60);
  expect_rules_kept(w);
  for (const auto& id : ids) EXPECT_EQ(w.phase(id), "done") << id;
  expect_all_answered(w, ids);
}

// At size: machines that come up together cost few transactions, and users are not kept waiting by
// the progress of arrays, within a state store that refuses what is over its rate.
struct Strain {
  double changes_a_second, slowest_acceptance_s;
  std::size_t refused;
};

class TokenBucket : public testing::TestWithParam<Strain> {};

TEST_P(TokenBucket, UsersGoBeforeProgress) {
  Options o;
  o.machines = 90;
  o.limits = true;
  o.state_write_rps = GetParam().changes_a_second;
  o.state_rps = 60;
  o.teams = {{"red", 160, 240, 0, 0}, {"blue", 160, 240, 0, 0}, {"gold", 160, 240, 0, 0}};
  World w(o);
  w.run_until(25);
  EXPECT_LT(w.commits(), 60u);  // for 90 machines, 3 partitions and 3 nodes
  int n = 0;
  for (int t = 25; t < 85; ++t)
    for (const char* team : {"red", "blue", "gold"}) {
      const std::string id = "run-" + std::to_string(++n);
      if (n % 4 == 0) w.at(t, [&w, id, team] { w.submit(w.job(id, team, 40, 1, 10)); });
    }
  w.run_until(140);
  expect_rules_kept(w);
  EXPECT_LT(w.slowest_acceptance(), GetParam().slowest_acceptance_s);
  EXPECT_LT(w.refused_over_limit(), GetParam().refused);
  for (int i = 4; i <= n; i += 4) EXPECT_EQ(w.phase("run-" + std::to_string(i)), "done") << i;
}

// At 12 changes a second progress alone would take more than there is: 1.2 s when it goes first.
INSTANTIATE_TEST_SUITE_P(Rates, TokenBucket,
                         testing::Values(Strain{20, 0.3, 30}, Strain{12, 0.9, 60}));

}  // namespace
