// The upgrade from the build that knows no prerequisites: both builds serve side by side.
#include <array>

#include "standin/chains.h"
#include "standin/text.h"

using namespace eiderreel;
using namespace eiderreel::standin;

namespace {

// ------------------------------------------------------------------------------------- upgrade

class Upgrade : public Seeds {
 protected:
  static Options old_build(std::uint64_t seed) {
    Options o = seeded(seed);
    o.old_nodes = {0, 1, 2};
    o.next_value_kb = 2;
    o.next_txn_ops = 5;
    o.next_write_rps = 60;
    return o;
  }
  // Jobs before, during and after, some of them cancelled.
  static void submit_ordinary(World& w) {
    for (int n = 0; n < 20; ++n) {
      w.at(5 + 2.5 * n, [&w, n] {
        const char* team = std::array{"red", "blue", "gold"}[static_cast<std::size_t>(n % 3)];
        w.submit(w.job(id(100 + n), team, 6, 1, 3 + n % 7));
      });
      if (n % 5 == 0) w.at(7 + 2.5 * n, [&w, n] { w.cancel(id(100 + n)); });
    }
  }
  static void expect_ordinary_ended(World& w) {
    for (int n = 0; n < 20; ++n) EXPECT_EQ(w.phase(id(100 + n)), n % 5 ? "done" : "cancelled") << n;
  }
};

TEST_P(Upgrade, RollsWhileJobsRunAndThenServesChains) {
  World w(old_build(GetParam()));
  std::map<int, int> mixed;
  submit_ordinary(w);
  w.at(14, [&] { w.crash(1, 3); });  // before its turn: it comes back old
  w.at(20, [&] { w.upgrade(0); });
  w.at(28, [&] {
    w.raw(0, "POST", "/v1/jobs", submission_text(needing(w.job("run-9", "red", 1), {"run-101"})),
          [&](int status, std::string) { ++mixed[status]; });
  });
  w.at(30, [&] { w.upgrade(1); });
  w.at(40, [&] { w.upgrade(2); });
  w.at(50, [&] { w.limit_state(2, 5, 60); });
  w.at(52, [&] { submit_pipeline(w, 5); });
  w.at(60, [&] { w.crash(w.leader_of(1), 4); });
  w.run_until(140);
  EXPECT_EQ(mixed[503], 1);  // a peer is known to be old
  expect_ordinary_ended(w);
  expect_phase(w, {"run-1", "run-2", "run-3"}, "done");
  EXPECT_EQ(w.refused_too_large(), 0u);
  expect_rules_kept(w);
}

TEST_P(Upgrade, MeetsAnEndOfAllAndAnOutage) {
  World w(old_build(GetParam()));
  submit_ordinary(w);
  w.at(20, [&] { w.upgrade(2); });
  w.at(27, [&] { w.state_outage(true); });
  w.at(39, [&] { w.state_outage(false); });
  w.at(42, [&] {  // all at once; one comes back old
    w.upgrade(0, 1);
    w.crash(1, 2);
    w.crash(2, 3);
  });
  w.at(55, [&] { w.upgrade(1, 0.2); });
  w.at(62, [&] { submit_pipeline(w, 5); });
  w.run_until(150);
  expect_ordinary_ended(w);
  expect_phase(w, {"run-1", "run-2", "run-3"}, "done");
  expect_rules_kept(w);
}

// Nothing is known of a controller that is away: that is no reason to refuse.
TEST_P(Upgrade, AControllerThatIsAwayStopsNoChains) {
  World w(seeded(GetParam()));
  w.at(10, [&] { w.crash(2, 500); });
  w.at(20, [&] { submit_pipeline(w, 4); });
  w.run_until(90);
  expect_phase(w, {"run-1", "run-2", "run-3"}, "done");
  expect_rules_kept(w);
}

// An earlier build that comes back finds jobs with prerequisites: it starts none of them.
TEST_P(Upgrade, AnEarlierBuildLeavesJobsWithPrerequisitesAlone) {
  Options o = seeded(GetParam());
  o.old_nodes = {0, 1, 2};
  World w(o);
  for (int n = 0; n < 3; ++n) w.at(1 + n, [&w, n] { w.upgrade(n, 0.5); });
  w.at(15, [&] { submit_pipeline(w, 20); });
  w.at(20, [&] { w.downgrade(w.leader_of(1), 1); });
  w.at(60, [&] {
    EXPECT_EQ(w.tasks_on("run-2"), 0u);
    for (int n = 0; n < 3; ++n) w.upgrade(n, 0.5);
  });
  w.run_until(160);
  expect_phase(w, {"run-1", "run-2", "run-3"}, "done");
  expect_rules_kept(w);
}

INSTANTIATE_TEST_SUITE_P(Seeds, Upgrade, testing::Values(1, 2, 3));

}  // namespace
