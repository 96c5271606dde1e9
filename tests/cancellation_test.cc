// Cancellations under faults: whatever happens to controllers, machines and messages, the tasks of
// a cancelled job are gone within the time the protocol allows.
#include "standin/expectations.h"

using namespace eiderreel;
using namespace eiderreel::standin;

namespace {

// A deployment whose machines heartbeat so seldom that two leases outlast a cancellation.
Options slow_heartbeats(std::uint64_t seed) {
  Options o;
  o.seed = seed;
  o.heartbeat_interval_s = 5;
  o.lease_s = 26;
  o.cancel_s = 44;
  return o;
}

class CancelledWhileMachinesAreCutOff : public testing::TestWithParam<std::uint64_t> {
 public:
  static constexpr double kCancelled = 30;
  static constexpr double kHealed = kCancelled + 18.5;  // within the leases of most machines
};

// Machines are cut off when a job of theirs is cancelled, and its leader ends. They are back within
// their leases, and the next leader tells them its fencing token, which renews the lease. before
// they send a heartbeat again they are cut off once more, for longer than that lease lasts.
TEST_P(CancelledWhileMachinesAreCutOff, TheAnswerThatTellsANewFencingTokenKills) {
  World w(slow_heartbeats(GetParam()));
  std::map<std::string, std::uint64_t> tokens;
  std::size_t cut_off = 0;
  w.at(5, [&] { w.submit(w.job("run-1", "blue", 24, 1, 400)); });
  w.at(kCancelled - 0.1, [&] {
    const auto machines = w.machines_of("run-1");
    ASSERT_EQ(machines.size(), 24u);
    for (const auto& machine : machines) {
      w.cut({address(machine)}, {World::all()}, CutMode::reset);
      tokens[machine] = w.token_of(machine);
    }
  });
  w.at(kCancelled, [&] { w.cancel("run-1"); });
  w.at(kCancelled + 2, [&] {
    ASSERT_GE(w.confirmed("run-1").node, 0);
    w.crash(w.leader_of(1), 60);
  });
  w.at(kHealed, [&] { w.heal(); });
  for (double t = kHealed; t < kHealed + 15; t += 0.05)
    w.at(t, [&] {
      for (auto& [machine, token] : tokens) {
        if (w.token_of(machine) == token) continue;
        token = w.token_of(machine);
        ++cut_off;
        w.cut({address(machine)}, {World::all()}, CutMode::reset);
      }
    });
  w.run_until(kCancelled + 60);
  EXPECT_GE(cut_off, 2u);
  EXPECT_EQ(w.tasks_on("run-1"), 0u);
  expect_rules_kept(w);
}

INSTANTIATE_TEST_SUITE_P(Seeds, CancelledWhileMachinesAreCutOff, testing::Values(1, 2, 3));

// An leader stands still until its lease is over. What it finds first when it goes on, before its
// own pace, is a job that was accepted meanwhile: no reason to answer the workers that still wait.
TEST(AnOwnerStandsStill, AndAnswersNoWorkerAfterItsLease) {
  std::size_t met = 0;
  for (int offset = 0; offset < 40; ++offset) {
    World w({});
    const double at = 20 + 0.05 * offset;
    w.at(at, [&w] { w.freeze(1, 3.9); });
    w.at(at + 0.01, [&w] {  // one at each controller
      for (const char* id : {"run-1", "run-2", "run-3"}) w.submit(w.job(id, "blue", 6, 1, 5));
    });
    w.at(at + 3.89, [&] { met += !w.node(1)->partition_leader().acting(1); });
    w.run_until(60);
    for (const char* id : {"run-1", "run-2", "run-3"}) EXPECT_EQ(w.phase(id), "done");
    expect_rules_kept(w, std::to_string(at));
  }
  EXPECT_GE(met, 5u);
}

// A controller that does not reach the leader asks the state store, which is slow. What it hears
// may be older than the end of the job, which another controller has told the user meanwhile.
TEST(TheStateServiceIsSlow, NoOlderAnswerIsGivenAfterACancellationWasTold) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    Options o;
    o.seed = seed;
    World w(o);
    w.at(5, [&w] { w.submit(w.service("run-1", "blue", 1, 1)); });
    w.at(19, [&w] {
      w.state_slow(1.2);
      w.cut({"n0"}, {"n1"}, CutMode::reset);
    });
    w.at(22, [&w] { w.cancel("run-1"); });
    for (double t = 20; t < 30; t += 0.05)
      w.at(t, [&w] { w.poll_once(0, "run-1", [](int, const std::string&) {}); });
    w.run_until(40);
    EXPECT_EQ(w.phase("run-1"), "cancelled");
    expect_rules_kept(w, std::to_string(seed));
  }
}

// A controller stands still between a question and its answer. What it finds when it goes on is
// older than the cancellation that another controller has told meanwhile.
TEST(AControllerStoodStill, AndTellsNoAnswerFromBefore) {
  std::size_t met = 0;
  for (int offset = 0; offset < 30; ++offset) {
    Options o;
    o.seed = static_cast<std::uint64_t>(offset);
    World w(o);
    w.at(5, [&w] { w.submit(w.job("run-1", "blue", 1, 1, 200)); });
    for (int n = 0; n < 12; ++n)
      w.at(20 + 0.001 * n, [&w] { w.poll_once(0, "run-1", [](int, const std::string&) {}); });
    w.at(20.008 + 0.0005 * offset, [&w] { w.freeze(0, 2.5); });
    w.at(20.1, [&w] { w.cancel_at(2, "run-1"); });
    w.at(22, [&] { met += w.confirmed("run-1").node >= 0; });
    w.run_until(40);
    EXPECT_EQ(w.phase("run-1"), "cancelled");
    expect_rules_kept(w, std::to_string(offset));
  }
  EXPECT_GE(met, 10u);
}

// Every direct command is held up: the kills that come with answers to heartbeats are enough, also
// for tasks that were told to save, for longer than a cancellation may take.
TEST(CommandsAreHeldUp, KillsOfACancelledJobComeWithTheAnswersToHeartbeats) {
  Options o;
  o.machines = 2;
  o.capacity = 0;
  o.nodes = 1;
  o.cancel_s = 15;
  World w(o);
  w.at(5, [&w] {
    JobSpec array = w.job("run-1", "red", 16, 1, 400);
    array.checkpoint_s = 5;
    array.save_s = 40;
    w.submit(array);
    w.late_commands({1, 60, 61});  // beyond what a cancellation may take
  });
  w.at(12, [&w] {
    EXPECT_EQ(w.tasks_on("run-1"), 16u);
    w.submit(w.service("run-800", "blue", 1, 8));  // some of the array have to make room
  });
  w.at(20, [&w] {
    EXPECT_GE(w.lines(" saves run-1/"), 8u);
    w.cancel("run-1");
  });
  w.run_until(60);
  EXPECT_EQ(w.phase("run-1"), "cancelled");
  EXPECT_EQ(w.tasks_on("run-800"), 1u);
  EXPECT_GE(w.commands_late(), 1u);
  expect_rules_kept(w);
}

}  // namespace
