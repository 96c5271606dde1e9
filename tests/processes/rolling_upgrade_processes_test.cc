// A rolling upgrade of three real controllers on loopback, under load and while controllers are
// killed, driven only by the command line. In CI the older build is the current source with a lower
// newest cluster version; upgrade_from_production.sh uses the build that runs in production.
//
//   EIDERREEL_SEED=N              seeds the order of the upgrades and the times of the kills
//   EIDERREEL_OLDER_BUILD=PROGRAM another older build, without support for the upgrade file
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <random>

#include "processes/process_cluster.h"

using namespace eiderreel;
using namespace eiderreel::standin;

namespace {

constexpr double kSubmitIntervalS = 0.4;
constexpr double kStepTimeoutS = 40;   // a step is requested repeatedly until it is taken
constexpr double kReadyTimeoutS = 20;  // a started controller has written its node record by then
constexpr double kDrainTimeoutS = 90;  // all jobs have finished by then

class RollingUpgradeProcesses : public testing::Test {
 protected:
  RollingUpgradeProcesses()
      : seed_(std::getenv("EIDERREEL_SEED")
                  ? std::strtoull(std::getenv("EIDERREEL_SEED"), nullptr, 10)
                  : 1),
        random_(seed_),
        newer_{EIDERREEL_PROGRAM, true},
        older_{EIDERREEL_LOWER_CEILING_PROGRAM, true},
        cluster_(cluster_options(),
                 testing::TempDir() + "eiderreel_processes_" + std::to_string(getpid())) {
    if (const char* program = std::getenv("EIDERREEL_OLDER_BUILD")) older_ = {program, false};
    std::printf("seed %llu, logs in %s\n", static_cast<unsigned long long>(seed_),
                cluster_.directory().c_str());
  }
  ~RollingUpgradeProcesses() override {
    if (!HasFailure()) std::filesystem::remove_all(cluster_.directory());
  }

  Options cluster_options() const {
    Options options = upgrade_options(seed_);
    options.teams = {{"red", 16, 48, 0, 0}, {"blue", 16, 48, 0, 0}, {"gold", 16, 48, 0, 0}};
    return options;
  }

  // Submits jobs continuously and cancels some; the simulated users poll each job.
  void submit_while_running() {
    SimulatedCluster& cluster = cluster_.simulated_cluster();
    cluster.at(cluster.now() + kSubmitIntervalS, [this, &cluster] {
      if (!submitting_) return;
      const std::string id = "run-" + std::to_string(++jobs_);
      const char* team = std::array{"red", "blue", "gold"}[static_cast<std::size_t>(jobs_ % 3)];
      std::vector<double> run_s;
      for (int task = 0; task < 6; ++task) run_s.push_back(1 + (task * 5 + jobs_) % 11);
      cluster.submit(cluster.job(id, team, 6, 1, 5));
      cluster.set_run_s(id, run_s);
      if (jobs_ % 5 == 0) cluster.at(cluster.now() + 3, [&cluster, id] { cluster.cancel(id); });
      submit_while_running();
    });
  }
  bool all_ended() {
    for (int n = 1; n <= jobs_; ++n) {
      const std::string phase = cluster_.simulated_cluster().phase("run-" + std::to_string(n));
      if (phase != "done" && phase != "cancelled") return false;
    }
    return true;
  }

  double random_between(double lower, double upper) {
    return std::uniform_real_distribution<double>(lower, upper)(random_);
  }
  int pick(int count) { return std::uniform_int_distribution<int>(0, count - 1)(random_); }

  const ControllerBuild& build_of(int node) const {
    return upgraded_.count(node) ? newer_ : older_;
  }
  bool has_record(int node) {
    const std::string* record =
        cluster_.simulated_cluster().stored_value("e/node/n" + std::to_string(node));
    const std::string build_marker = upgraded_.count(node) ? "\"newest\":4" : "\"boot\"";
    return record && record->find(build_marker) != std::string::npos;
  }
  void restart(int node) {
    cluster_.kill(node);
    cluster_.run_for(random_between(0.05, 1.5));
    cluster_.start(node, build_of(node));
  }
  // Kills and restarts a random controller, or suspends it, sometimes for longer than its lease.
  void inject_fault() {
    const int node = pick(3);
    if (pick(3) > 0) return restart(node);
    cluster_.set_suspended(node, true);
    cluster_.run_for(random_between(0.5, 7));
    cluster_.set_suspended(node, false);
  }
  // Requests a step until it is taken; a restart may happen during or between the attempts.
  void take_step(std::vector<std::string> words, std::uint64_t version) {
    cluster_.simulated_cluster().at(cluster_.simulated_cluster().now() + random_between(0, 0.4),
                                    [this] {
                                      if (const int node = pick(3); pick(2) == 0)
                                        node_to_restart_ = node;
                                    });
    const double end = cluster_.now() + kStepTimeoutS;
    while (cluster_.simulated_cluster().cluster_version() < version && cluster_.now() < end) {
      const int code = cluster_.run_command(newer_, words);
      EXPECT_TRUE(code == 0 || code == 1 || code == 3) << code << ": " << cluster_.last_output();
      if (node_to_restart_ >= 0) restart(std::exchange(node_to_restart_, -1));
      cluster_.run_for(1);
    }
    EXPECT_EQ(cluster_.simulated_cluster().cluster_version(), version) << cluster_.last_output();
  }

  std::uint64_t seed_;
  std::mt19937_64 random_;
  ControllerBuild newer_, older_;
  ProcessCluster cluster_;
  std::set<int> upgraded_;
  int jobs_ = 0, node_to_restart_ = -1;
  bool submitting_ = true;
};

TEST_F(RollingUpgradeProcesses, LosesNoJobAndPlacesNoneTwice) {
  for (int node = 0; node < 3; ++node) cluster_.start(node, older_);
  ASSERT_TRUE(cluster_.run_until(kReadyTimeoutS,
                                 [&] { return has_record(0) && has_record(1) && has_record(2); }));
  submit_while_running();
  cluster_.run_for(4);

  std::vector<int> order = {0, 1, 2};
  std::shuffle(order.begin(), order.end(), random_);
  for (const int node : order) {
    EXPECT_EQ(cluster_.run_command(newer_, {"advance", "--reason", "too early"}), 1)
        << "a step is refused while an older build runs: " << cluster_.last_output();
    std::printf("upgrading n%d\n", node);
    upgraded_.insert(node);
    restart(node);
    EXPECT_TRUE(cluster_.run_until(kReadyTimeoutS, [&] { return has_record(node); }));
    if (pick(2) == 0) inject_fault();
    EXPECT_EQ(cluster_.run_command(newer_, {"status"}), 0) << cluster_.last_output();
  }

  take_step({"advance", "--reason", "write compact"}, 2);
  inject_fault();
  take_step({"advance", "--reason", "convert"}, 3);
  inject_fault();
  EXPECT_EQ(cluster_.run_command(newer_, {"status"}), 0) << cluster_.last_output();
  cluster_.run_command(newer_, {"plan", "--action", "finalize"});
  take_step({"finalize", "--yes", "--reason", "no older build is left"}, 4);
  EXPECT_EQ(cluster_.run_command(newer_, {"abort", "--reason", "too late"}), 1);
  EXPECT_NE(cluster_.last_output().find("is final"), std::string::npos) << cluster_.last_output();
  EXPECT_EQ(cluster_.run_command(newer_, {"history"}), 0);
  cluster_.run_for(3);

  submitting_ = false;
  cluster_.simulated_cluster().mark_faults_ended();
  EXPECT_TRUE(cluster_.run_until(kDrainTimeoutS, [&] { return all_ended(); }));
  for (int node = 0; node < 3; ++node) {
    EXPECT_FALSE(cluster_.exit_code_of(node)) << "n" << node << " ended by itself";
    EXPECT_EQ(cluster_.simulated_cluster().acting(node), 4u);
  }
  EXPECT_EQ(cluster_.simulated_cluster().progress_values_in_bits(), 0u);
  EXPECT_GT(cluster_.simulated_cluster().version_checker().progress_writes(true), 0u);
  std::printf("%d jobs, %zu starts, %.0f s\n", jobs_,
              cluster_.simulated_cluster().checker().starts(), cluster_.now());
  expect_rules_kept(cluster_.simulated_cluster());
}

}  // namespace
