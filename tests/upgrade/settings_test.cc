// The upgrade settings file: every problem is reported with its file and field.
#include <gtest/gtest.h>
#include <unistd.h>

#include <cstdio>
#include <fstream>

#include "config/upgrade_settings.h"

using namespace eiderreel;
using namespace eiderreel::upgrade;

namespace {

class UpgradeFile : public testing::Test {
 protected:
  std::vector<std::string> load(const std::string& text) {
    std::ofstream(file_) << text;
    return read(file_);
  }
  std::vector<std::string> read(const std::string& file) {
    const UpgradeSettingsResult result = load_upgrade_settings(file, {});
    settings_ = result.settings;
    std::vector<std::string> lines;
    for (const ConfigProblem& problem : result.problems) lines.push_back(to_string(problem));
    return lines;
  }
  void TearDown() override { std::remove(file_.c_str()); }

  std::string file_ =
      testing::TempDir() + "upgrade_settings_test_" + std::to_string(getpid()) + ".toml";
  UpgradeSettings settings_;
};

constexpr char kAutomatic[] =
    "[upgrade]\nconversion_share = 0.25\nnewest_version = 2\n"
    "[upgrade.automatic]\nenabled = true\ntime_zone = \"America/Vancouver\"\n"
    "[[upgrade.automatic.windows]]\ndays = [\"sat\", \"sun\"]\nfrom = \"22:00\"\nto = \"04:00\"\n";

TEST_F(UpgradeFile, ParsesAllFields) {
  EXPECT_EQ(load(kAutomatic), std::vector<std::string>{});
  EXPECT_TRUE(settings_.enabled);
  EXPECT_TRUE(settings_.automatic);
  EXPECT_EQ(settings_.conversion_share, 0.25);
  EXPECT_EQ(settings_.range.newest, ClusterVersion::write_compact);
}

TEST_F(UpgradeFile, RequiresOnlyItsTable) {
  EXPECT_EQ(load("[upgrade]\n"), std::vector<std::string>{});
  EXPECT_TRUE(settings_.enabled);
  EXPECT_FALSE(settings_.automatic);
  EXPECT_EQ(settings_.range, VersionRange{});
}

TEST_F(UpgradeFile, DeployedFileIsValidAndNotAutomatic) {
  EXPECT_EQ(read(std::string(EIDERREEL_SOURCE_DIR) + "/deploy/upgrade.toml"),
            std::vector<std::string>{});
  EXPECT_TRUE(settings_.enabled);
  EXPECT_FALSE(settings_.automatic);
}

TEST_F(UpgradeFile, EachProblemIsNamedByFileAndField) {
  const std::vector<std::pair<std::string, std::string>> invalid_files = {
      {"", "upgrade: is missing"},
      {"upgrade = 1\n", "upgrade: must be a table"},
      {"[upgrade\n", "line 1"},
      {"[upgrade]\nnewest_version = 0\n", "upgrade.newest_version: must be between 1 and 4"},
      {"[upgrade]\nnewest_version = 5\n", "upgrade.newest_version"},
      {"[upgrade]\nnewest_version = 1.5\n", "upgrade.newest_version: must be a whole number"},
      {"[upgrade]\nconversion_share = 0.9\n", "upgrade.conversion_share"},
      {"[upgrade]\nconversion_share = \"much\"\n", "upgrade.conversion_share"},
      {"[upgrade]\nautomatic = true\n", "upgrade.automatic: must be a table"},
      {"[upgrade.automatic]\nenabled = 1\ntime_zone = \"Etc/UTC\"\n", "upgrade.automatic.enabled"},
      {"[upgrade.automatic]\nenabled = true\ntime_zone = \"Mars/Base\"\n",
       "upgrade.automatic.time_zone"},
      {"[upgrade.automatic]\nenabled = true\ntime_zone = \"Etc/UTC\"\n",
       "upgrade.automatic.windows"},
      {"[upgrade.automatic]\nenabled = true\ntime_zone = \"Etc/UTC\"\n"
       "[[upgrade.automatic.windows]]\ndays = [\"saturday\"]\nfrom = \"22:00\"\nto = \"04:00\"\n",
       "upgrade.automatic.windows[0].days"},
      {"[upgrade.automatic]\nenabled = true\ntime_zone = \"Etc/UTC\"\n"
       "[[upgrade.automatic.windows]]\ndays = [\"sat\"]\nfrom = \"22\"\nto = \"04:00\"\n",
       "upgrade.automatic.windows[0].from"},
      {"[upgrade.automatic]\nenabled = true\ntime_zone = \"Etc/UTC\"\n"
       "[[upgrade.automatic.windows]]\ndays = [\"sat\"]\nfrom = \"22:00\"\n",
       "upgrade.automatic.windows[0].to"}};
  for (const auto& [text, expected_problem] : invalid_files) {
    const auto problems = load(text);
    ASSERT_FALSE(problems.empty()) << text;
    EXPECT_NE(problems[0].find(file_ + ": " + expected_problem), std::string::npos) << problems[0];
  }
}

TEST_F(UpgradeFile, MissingFileIsAProblem) {
  EXPECT_EQ(read(testing::TempDir() + "none.toml").size(), 1u);
  EXPECT_FALSE(settings_.enabled);
}

}  // namespace
