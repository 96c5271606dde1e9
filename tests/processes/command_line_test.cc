// The upgrade commands of the real program: exit codes, error messages for invalid input, and
// replies while controllers and the state store fail.
#include <unistd.h>

#include <chrono>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>

#include "processes/process_cluster.h"

using namespace eiderreel;
using namespace eiderreel::standin;

namespace {

constexpr int kSuccess = 0, kFailed = 1, kInvalidUsage = 2, kOutcomeUnknown = 3;

std::string new_directory(const char* name) {
  const std::string directory =
      testing::TempDir() + "eiderreel_" + name + "_" + std::to_string(getpid());
  std::filesystem::create_directories(directory);
  return directory;
}

// ----------------------------------------------------------------------------- without a cluster

class CommandLine : public testing::Test {
 protected:
  ~CommandLine() override { std::filesystem::remove_all(directory_); }

  int run(std::vector<std::string> words) {
    words.insert(words.begin(), EIDERREEL_PROGRAM);
    std::filesystem::remove(directory_ + "/output");
    ChildProcess child(words, directory_ + "/output");
    for (int waited_ms = 0; !child.exit_code() && waited_ms < 20000; waited_ms += 10)
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    std::ostringstream text;
    text << std::ifstream(directory_ + "/output").rdbuf();
    output_ = text.str();
    return child.exit_code().value_or(-1);
  }
  std::string file(const std::string& name, const std::string& text) {
    std::ofstream(directory_ + "/" + name) << text;
    return directory_ + "/" + name;
  }
  bool output_contains(const std::string& text) const {
    return output_.find(text) != std::string::npos;
  }

  std::string directory_ = new_directory("command_line"), output_;
};

TEST_F(CommandLine, InvalidOptionsAreNamedAndNothingIsSent) {
  const std::string addr = "127.0.0.1:1";  // no process listens on this port
  EXPECT_EQ(run({"upgrade"}), kInvalidUsage);
  EXPECT_EQ(run({"upgrade", "status"}), kInvalidUsage);
  EXPECT_TRUE(output_contains("--addr")) << output_;
  EXPECT_EQ(run({"upgrade", "status", "--addr", "nowhere"}), kInvalidUsage);
  EXPECT_TRUE(output_contains("nowhere: not an address")) << output_;
  EXPECT_EQ(run({"upgrade", "advance", "--addr", addr}), kInvalidUsage);
  EXPECT_TRUE(output_contains("--reason")) << output_;
  EXPECT_EQ(run({"upgrade", "advance", "--addr", addr, "--reason", "x", "--without", "n2"}),
            kInvalidUsage);
  EXPECT_TRUE(output_contains("--without")) << output_;
  EXPECT_EQ(run({"upgrade", "finalize", "--addr", addr, "--reason", "x"}), kInvalidUsage);
  EXPECT_TRUE(output_contains("--yes")) << output_;
  EXPECT_EQ(run({"upgrade", "plan", "--addr", addr, "--action", "jump"}), kInvalidUsage);
  EXPECT_EQ(run({"upgrade", "plan", "--addr", addr, "--by", ""}), kInvalidUsage);
}

TEST_F(CommandLine, UnreachableControllerIsNamed) {
  for (const char* command : {"status", "plan", "history"}) {
    EXPECT_EQ(run({"upgrade", command, "--addr", "127.0.0.1:1"}), kFailed) << command;
    EXPECT_TRUE(output_contains("127.0.0.1:1: no answer")) << output_;
  }
  EXPECT_EQ(run({"upgrade", "advance", "--reason", "x", "--addr", "127.0.0.1:1"}), kFailed);
}

TEST_F(CommandLine, MalformedUpgradeFileIsNamedWithItsField) {
  const std::string platform = file("platform.toml", "");
  const std::string bad =
      file("bad.toml",
           "[upgrade.automatic]\nenabled = true\ntime_zone = \"Etc/UTC\"\n"
           "[[upgrade.automatic.windows]]\ndays = [\"sat\"]\nfrom = \"late\"\nto = \"04:00\"\n");
  for (const char* command : {"check", "serve"}) {
    EXPECT_EQ(run({command, "--upgrade", bad, "--config", platform}), kInvalidUsage) << command;
    EXPECT_TRUE(output_contains(bad + ": upgrade.automatic.windows[0].from:")) << output_;
  }
}

// -------------------------------------------------------------------------------- with a cluster

class CommandsDuringFailures : public testing::Test {
 protected:
  CommandsDuringFailures() : cluster_(upgrade_options(1), new_directory("commands")) {
    for (int node = 0; node < 3; ++node) cluster_.start(node, build_);
  }
  ~CommandsDuringFailures() override {
    if (!HasFailure()) std::filesystem::remove_all(cluster_.directory());
  }
  // Waits until all controllers have acknowledged the version, and then a second more until each
  // has seen the others' records.
  bool wait_until_all_act_under(std::uint64_t version) {
    const bool all = cluster_.run_until(20, [&] {
      return cluster_.simulated_cluster().acting(0) == version &&
             cluster_.simulated_cluster().acting(1) == version &&
             cluster_.simulated_cluster().acting(2) == version;
    });
    cluster_.run_for(1);
    return all;
  }
  // Runs a command, checks that its exit code is among `codes` and returns its duration in seconds.
  double run_timed_s(const std::vector<std::string>& words, const std::set<int>& codes) {
    const double started_at_s = cluster_.now();
    const int code = cluster_.run_command(build_, words);
    EXPECT_TRUE(codes.count(code)) << code << ": " << cluster_.last_output();
    return cluster_.now() - started_at_s;
  }

  ControllerBuild build_{EIDERREEL_PROGRAM, true};
  ProcessCluster cluster_;
};

TEST_F(CommandsDuringFailures, ExitWithinABoundedTimeAndStateUnknownOutcomes) {
  constexpr double kMaxCommandS = 25;
  SimulatedCluster& cluster = cluster_.simulated_cluster();
  ASSERT_TRUE(wait_until_all_act_under(1));
  const std::vector<std::string> advance = {"advance", "--reason", "a test"};

  // A dry run changes nothing.
  EXPECT_LT(run_timed_s({"advance", "--dry-run"}, {kSuccess}), kMaxCommandS);
  EXPECT_EQ(cluster_.simulated_cluster().cluster_version(), 1u);

  // One controller is down: the others reply and name it as an obstacle.
  cluster_.kill(0);
  cluster_.run_for(6);
  EXPECT_LT(run_timed_s(advance, {kFailed}), kMaxCommandS);
  EXPECT_NE(cluster_.last_output().find("obstacle: n0"), std::string::npos);
  cluster_.start(0, build_);
  ASSERT_TRUE(wait_until_all_act_under(1));

  // The state store rejects every request: the command fails or reports an unknown outcome.
  cluster.set_store_outage(true);
  EXPECT_LT(run_timed_s(advance, {kFailed, kOutcomeUnknown}), kMaxCommandS);
  cluster.set_store_outage(false);
  cluster_.run_for(3);
  ASSERT_EQ(cluster_.simulated_cluster().cluster_version(), 1u);

  // The state store applies transactions late and without a reply: the controller reads the outcome
  // instead of retrying the step.
  ASSERT_TRUE(wait_until_all_act_under(1));
  cluster.set_commit_delays({1, 1, 3});
  EXPECT_LT(run_timed_s(advance, {kSuccess, kOutcomeUnknown}), kMaxCommandS);
  cluster.set_commit_delays({});
  cluster_.run_for(5);
  EXPECT_EQ(cluster_.simulated_cluster().cluster_version(), 2u);
  EXPECT_EQ(cluster_.simulated_cluster().version_checker().versions(),
            (std::vector<std::uint64_t>{1, 2}));

  // The state store is slow.
  ASSERT_TRUE(wait_until_all_act_under(2));
  cluster.set_max_store_latency(1.0);
  EXPECT_LT(run_timed_s({"status"}, {kSuccess}), kMaxCommandS);
  EXPECT_LT(run_timed_s({"history"}, {kSuccess, kFailed}), kMaxCommandS);
  EXPECT_LT(run_timed_s({"abort", "--reason", "a test"}, {kSuccess, kFailed, kOutcomeUnknown}),
            kMaxCommandS);
  cluster.set_max_store_latency(0);
  EXPECT_LT(run_timed_s({"history", "--json"}, {kSuccess}), kMaxCommandS);
  rapidjson::Document history;
  history.Parse(cluster_.last_output().c_str());
  EXPECT_TRUE(history.IsObject()) << cluster_.last_output();
}

}  // namespace
