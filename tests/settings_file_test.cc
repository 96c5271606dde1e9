// The settings file: parsing, and the list of problems.
#include <gtest/gtest.h>
#include <unistd.h>

#include <fstream>

#include "config/settings.h"

using namespace eiderreel;

namespace {

std::string file_with(const std::string& text) {
  const std::string path = testing::TempDir() + "settings_" + std::to_string(getpid()) + ".toml";
  std::ofstream(path) << text;
  return path;
}

const char* const kValidSettings = R"(
node_name = "n0"
area = "a"
api_addr = "10.0.0.1:8080"
mesh_addr = "10.0.0.1:8081"
unknown = 7
[[known]]
node_name = "n1"
area = "a"
endpoint = "10.0.0.2:8081"
[outside]
cloud = "10.2.0.2:8443"
state = "10.2.0.1:2379"
[params]
size = 2
zones = ["a"]
skew_ms = 25.0
[[params.teams]]
name = "red"
cpus = 10.0
cpus_max = 20.0
gpus = 0.0
gpus_max = 0.0
[params.workers]
report_s = 1.0
lease_s = 10.0
cancel_s = 40.0
[params.state]
rps = 60.0
write_rps = 20.0
value_kb = 8.0
txn_ops = 16
[params.cloud]
rps = 4.0
list_lag_s = 5.0
[params.quota]
core_share = 0.1
memory_mb = 56.0
max_sockets = 600
)";

std::string with_replacement(const std::string& from, const std::string& to) {
  std::string text = kValidSettings;
  text.replace(text.find(from), from.size(), to);
  return text;
}

TEST(SettingsFile, ValidFileHasNoProblems) {
  auto loaded = load_settings(file_with(kValidSettings));
  EXPECT_TRUE(loaded.problems.empty());
  EXPECT_EQ(loaded.settings.partition_of_team("red"), 0);
  EXPECT_EQ(loaded.settings.preferred_leader_of(1), "n1");
}

TEST(SettingsFile, ZeroQuotaMeansUnlimited) {
  auto loaded = load_settings(file_with(with_replacement("cpus_max = 20.0", "cpus_max = 0")));
  EXPECT_TRUE(loaded.problems.empty());
  EXPECT_GT(loaded.settings.teams.at(0).quota_cpus, 1e9);
  EXPECT_GT(loaded.settings.teams.at(0).quota_gpus, 1e9);
}

TEST(SettingsFile, FairShareObjectiveIsParsed) {
  EXPECT_EQ(load_settings(file_with(kValidSettings)).settings.fair_share_start_s, 5);
  const std::string objective = "[[params.objectives]]\nkind = \"guarantee\"\nwithin_s = 15.0\n";
  auto loaded = load_settings(
      file_with(with_replacement("[params.workers]", objective + "[params.workers]")));
  EXPECT_TRUE(loaded.problems.empty());
  EXPECT_EQ(loaded.settings.fair_share_start_s, 15);
}

// Writes must fit both the current and the announced state store limits, so the lower of the two
// applies.
TEST(SettingsFile, LowerOfCurrentAndNextLimitsApplies) {
  const std::string next = "[params.state.next]\nrps = 90.0\nvalue_kb = 2.0\ntxn_ops = 5\n";
  auto loaded =
      load_settings(file_with(with_replacement("[params.cloud]", next + "[params.cloud]")));
  EXPECT_TRUE(loaded.problems.empty());
  EXPECT_EQ(loaded.settings.state_rps, 60);
  EXPECT_EQ(loaded.settings.state_write_rps, 20);
  EXPECT_EQ(loaded.settings.state_value_kb, 2);
  EXPECT_EQ(loaded.settings.state_txn_ops, 5);
}

TEST(SettingsFile, EachProblemIsOneLineWithFileAndField) {
  const std::string cloud = "[params.cloud]";
  const std::string next = "[params.state.next]\n";

  struct Case {
    std::string text, field;
  };
  for (const Case& invalid :
       {Case{with_replacement("node_name = \"n0\"", ""), "node_name"},
        Case{with_replacement("area = \"a\"", "area = 7"), "area"},
        Case{with_replacement("10.0.0.1:8080", "10.0.0.1"), "api_addr"},
        Case{with_replacement("\"n1\"", "\"n0\""), "known[0].node_name"},
        Case{with_replacement("size = 2", "size = \"two\""), "params.size"},
        Case{with_replacement("size = 2", "size = 0"), "params.size"},
        Case{with_replacement("cpus = 10.0", "cpus = 30.0"), "params.teams[0].cpus"},
        Case{with_replacement("lease_s = 10.0", "lease_s = 0.9"), "params.workers.lease_s"},
        Case{with_replacement("rps = 60.0", "rps = -1"), "params.state.rps"},
        Case{with_replacement("value_kb = 8.0", "value_kb = 0.5"), "params.state.value_kb"},
        Case{with_replacement(cloud, next + "txn_ops = 1\n" + cloud), "params.state.next.txn_ops"},
        Case{with_replacement(cloud, next + "value_kb = \"two\"\n" + cloud),
             "params.state.next.value_kb"},
        Case{with_replacement("txn_ops = 16", "txn_ops = 16\nnext = 7"), "params.state.next"},
        Case{with_replacement("cloud = \"10.2.0.2:8443\"", ""), "outside.cloud"}}) {
    const std::string path = file_with(invalid.text);
    auto loaded = load_settings(path);
    ASSERT_EQ(loaded.problems.size(), 1u) << invalid.field;
    const std::string line = to_string(loaded.problems[0]);
    EXPECT_EQ(line.find(path + ": " + invalid.field + ": "), 0u) << line;
  }
}

TEST(SettingsFile, AllProblemsAreListedTogether) {
  EXPECT_GT(load_settings(file_with("x = 1")).problems.size(), 5u);
  EXPECT_EQ(load_settings(file_with("x = ")).problems.size(), 1u);
}

}  // namespace
