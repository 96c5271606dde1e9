// Randomized upgrades: operators request steps forward and back from any controller while
// controllers crash, pause, lose the network or restart with another build, and the state store
// fails. A few runs are part of the test suite; more are started by hand:
//
//   EIDERREEL_UPGRADES=1-500 target/tests/eiderreel_tests --gtest_filter='RandomUpgrades.*'
#include <cstdio>
#include <cstdlib>
#include <random>

#include "upgrade/upgrade_cluster.h"

using namespace eiderreel;
using namespace eiderreel::standin;

namespace {

constexpr double kFirstEventS = 15, kFaultsEndS = 120, kRunEndS = 230;

class RandomUpgrade {
 public:
  explicit RandomUpgrade(std::uint64_t number)
      : random_(number * 6151), cluster_(upgrade_options(number)) {
    submit_arrays(cluster_, {3, 125, 2.5});
    for (double time_s = kFirstEventS; time_s < kFaultsEndS; time_s += random_between(1, 6))
      schedule_request(time_s);
    for (double time_s = kFirstEventS; time_s < kFaultsEndS - 20; time_s += random_between(4, 14))
      schedule_fault(time_s);
    cluster_.at(kFaultsEndS, [this] { end_faults(); });
  }

  UpgradeCluster& cluster() { return cluster_; }
  void run_to_end() { cluster_.run_until(kRunEndS); }

 private:
  double random_between(double lower, double upper) {
    return std::uniform_real_distribution<double>(lower, upper)(random_);
  }
  int pick(int count) { return std::uniform_int_distribution<int>(0, count - 1)(random_); }

  // Half of the requests are `advance`; half exclude the controllers that have no node record at
  // that moment.
  void schedule_request(double time_s) {
    const Action action = std::array{Action::advance, Action::advance, Action::abort,
                                     Action::finalize}[static_cast<std::size_t>(pick(4))];
    const int node = pick(3);
    const bool exclude_absent = pick(2) == 0;
    cluster_.at(time_s, [this, node, action, exclude_absent] {
      std::set<std::string> without;
      for (int n = 0; n < 3 && exclude_absent; ++n)
        if (cluster_.acting(n) == 0) without.insert("n" + std::to_string(n));
      cluster_.request_step(node, action, without);
    });
  }

  void schedule_fault(double time_s) {
    const int node = pick(3);
    const double for_s = random_between(0.05, 15);
    const std::string name = "n" + std::to_string(node);
    switch (pick(8)) {
      case 0:
        return cluster_.at(time_s, [this, node, for_s] { cluster_.crash(node, for_s); });
      case 1:
        return cluster_.at(time_s, [this, node, for_s] { cluster_.freeze(node, for_s); });
      case 2:
        cluster_.at(time_s, [this, node] { cluster_.set_store_unavailable_to(node, true); });
        return cluster_.at(time_s + for_s,
                           [this, node] { cluster_.set_store_unavailable_to(node, false); });
      case 3:
        cluster_.at(time_s, [this] { cluster_.set_store_outage(true); });
        return cluster_.at(time_s + for_s / 2, [this] { cluster_.set_store_outage(false); });
      case 4:
        cluster_.at(time_s, [this] { cluster_.set_commit_delays({0.3, 0.2, 12}); });
        return cluster_.at(time_s + for_s, [this] { cluster_.set_commit_delays({}); });
      case 5:
        cluster_.at(time_s, [this, name] {
          cluster_.partition_network({name}, {SimulatedCluster::any_address()},
                                     NetworkPartitionMode::hold);
        });
        return cluster_.at(time_s + for_s, [this] { cluster_.heal_network(); });
      case 6: {
        const auto newest = static_cast<ClusterVersion>(1 + pick(4));
        return cluster_.at(
            time_s, [this, node, newest, for_s] { cluster_.install_build(node, newest, for_s); });
      }
      default:
        cluster_.at(time_s, [this] { cluster_.set_max_store_latency(1.2); });
        return cluster_.at(time_s + for_s, [this] { cluster_.set_max_store_latency(0); });
    }
  }

  void end_faults() {
    cluster_.heal_network();
    cluster_.set_store_outage(false);
    cluster_.set_commit_delays({});
    cluster_.set_max_store_latency(0);
    for (int node = 0; node < 3; ++node) {
      cluster_.set_store_unavailable_to(node, false);
      cluster_.install_build(node, upgrade::kNewestVersion, 1 + node);
    }
  }

  std::mt19937_64 random_;
  UpgradeCluster cluster_;
};

std::pair<int, int> selected_upgrades() {
  int first = 1, last = 10;
  if (const char* range_text = std::getenv("EIDERREEL_UPGRADES"))
    std::sscanf(range_text, "%d-%d", &first, &last);
  return {first, last};
}

TEST(RandomUpgrades, ViolateNoRule) {
  const auto [first, last] = selected_upgrades();
  std::size_t steps = 0, compact = 0;
  for (int number = first; number <= last; ++number) {
    RandomUpgrade day(static_cast<std::uint64_t>(number));
    day.run_to_end();
    UpgradeCluster& cluster = day.cluster();
    const std::string name = "upgrade day " + std::to_string(number);
    if (std::getenv("EIDERREEL_TRACE"))
      for (const auto& line : cluster.trace()) std::printf("%s\n", line.c_str());
    steps += cluster.version_checker().versions().size() - 1;
    compact += cluster.version_checker().progress_writes(true);
    for (int node = 0; node < 3; ++node)
      EXPECT_EQ(cluster.acting(node), cluster.cluster_version()) << name;
    expect_arrays_ended_and_rules_kept(cluster, {3, 125, 2.5}, name);
    if (testing::Test::HasFailure()) std::printf("failures up to %s\n", name.c_str());
  }
  EXPECT_GT(steps, static_cast<std::size_t>(2 * (last - first + 1))) << "too few steps were taken";
  EXPECT_GT(compact, 0u);
}

}  // namespace
