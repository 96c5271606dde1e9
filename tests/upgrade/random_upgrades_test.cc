// Random upgrades: operators ask any controller for steps forward and back while controllers crash,
// stand still, are cut off or come back as other builds, and the state store fails. A few days
// run with the other tests; more are searched by hand:
//
//   EIDERREEL_UPGRADES=1-500 target/tests/eiderreel_tests --gtest_filter='RandomUpgrades.*'
#include <cstdio>
#include <cstdlib>
#include <random>

#include "upgrade/upgrade_cluster.h"

using namespace eiderreel;
using namespace eiderreel::standin;

namespace {

constexpr double kBegins = 15, kFaultsEnd = 120, kDayEnds = 230;

class RandomUpgrade {
 public:
  explicit RandomUpgrade(std::uint64_t number)
      : random_(number * 6151), world_(upgrade_options(number)) {
    submit_arrays(world_, 3, 125, 2.5);
    for (double t = kBegins; t < kFaultsEnd; t += number_in(1, 6)) add_request(t);
    for (double t = kBegins; t < kFaultsEnd - 20; t += number_in(4, 14)) add_fault(t);
    world_.at(kFaultsEnd, [this] { end_faults(); });
  }

  UpgradeWorld& world() { return world_; }
  void play() { world_.run_until(kDayEnds); }

 private:
  double number_in(double least, double most) {
    return std::uniform_real_distribution<double>(least, most)(random_);
  }
  int pick(int count) { return std::uniform_int_distribution<int>(0, count - 1)(random_); }

  // Mostly forward; sometimes without whoever has no record at that moment.
  void add_request(double t) {
    const Action action = std::array{Action::advance, Action::advance, Action::abort,
                                     Action::finalize}[static_cast<std::size_t>(pick(4))];
    const int node = pick(3);
    const bool leave_out = pick(2) == 0;
    world_.at(t, [this, node, action, leave_out] {
      std::set<std::string> without;
      for (int n = 0; n < 3 && leave_out; ++n)
        if (world_.acting(n) == 0) without.insert("n" + std::to_string(n));
      world_.ask_now(node, action, without);
    });
  }

  void add_fault(double t) {
    const int node = pick(3);
    const double for_s = number_in(0.05, 15);
    const std::string name = "n" + std::to_string(node);
    switch (pick(8)) {
      case 0:
        return world_.at(t, [this, node, for_s] { world_.crash(node, for_s); });
      case 1:
        return world_.at(t, [this, node, for_s] { world_.freeze(node, for_s); });
      case 2:
        world_.at(t, [this, node] { world_.state_refuses(node, true); });
        return world_.at(t + for_s, [this, node] { world_.state_refuses(node, false); });
      case 3:
        world_.at(t, [this] { world_.state_outage(true); });
        return world_.at(t + for_s / 2, [this] { world_.state_outage(false); });
      case 4:
        world_.at(t, [this] { world_.late_writes({0.3, 0.2, 12}); });
        return world_.at(t + for_s, [this] { world_.late_writes({}); });
      case 5:
        world_.at(t, [this, name] { world_.cut({name}, {World::all()}, CutMode::hold); });
        return world_.at(t + for_s, [this] { world_.heal(); });
      case 6: {
        const auto newest = static_cast<ClusterVersion>(1 + pick(4));
        return world_.at(t, [this, node, newest, for_s] { world_.install(node, newest, for_s); });
      }
      default:
        world_.at(t, [this] { world_.state_slow(1.2); });
        return world_.at(t + for_s, [this] { world_.state_slow(0); });
    }
  }

  void end_faults() {
    world_.heal();
    world_.state_outage(false);
    world_.late_writes({});
    world_.state_slow(0);
    for (int node = 0; node < 3; ++node) {
      world_.state_refuses(node, false);
      world_.install(node, upgrade::kNewestVersion, 1 + node);
    }
  }

  std::mt19937_64 random_;
  UpgradeWorld world_;
};

std::pair<int, int> days() {
  int first = 1, last = 10;
  if (const char* asked = std::getenv("EIDERREEL_UPGRADES"))
    std::sscanf(asked, "%d-%d", &first, &last);
  return {first, last};
}

TEST(RandomUpgrades, BreakNoRule) {
  const auto [first, last] = days();
  std::size_t steps = 0, compact = 0;
  for (int number = first; number <= last; ++number) {
    RandomUpgrade day(static_cast<std::uint64_t>(number));
    day.play();
    UpgradeWorld& w = day.world();
    const std::string name = "upgrade day " + std::to_string(number);
    if (std::getenv("EIDERREEL_TRACE"))
      for (const auto& line : w.trace()) std::printf("%s\n", line.c_str());
    steps += w.versions().versions().size() - 1;
    compact += w.versions().progress_written(true);
    for (int node = 0; node < 3; ++node) EXPECT_EQ(w.acting(node), w.cluster_version()) << name;
    expect_arrays_ended(w, 3, 125, 2.5);
    expect_rules_kept(w, name);
    if (testing::Test::HasFailure()) std::printf("failures up to %s\n", name.c_str());
  }
  EXPECT_GT(steps, static_cast<std::size_t>(2 * (last - first + 1))) << "the days meet steps";
  EXPECT_GT(compact, 0u);
}

}  // namespace
