// A folder under src/ may include headers of its own layer and of lower layers, never of higher
// ones.
#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <cstddef>
#include <filesystem>
#include <fstream>
#include <optional>
#include <regex>
#include <string>

namespace {

namespace fs = std::filesystem;

// From the lowest to the highest; docs/architecture.md describes each layer.
constexpr std::array kLayers = {
    "model",      "versioning",  "runtime",    "config", "observability", "scheduler", "codec",
    "peer_rpc",   "state_store", "leadership", "cloud",  "fleet",         "api",       "upgrade",
    "controller", "net",         "cli"};

std::optional<std::size_t> layer_of(const std::string& folder) {
  const auto* found = std::find(kLayers.begin(), kLayers.end(), folder);
  if (found == kLayers.end()) return std::nullopt;
  return static_cast<std::size_t>(found - kLayers.begin());
}

void expect_includes_from_below(const fs::path& file, std::size_t layer) {
  static const std::regex kInclude("#include \"([a-z_]+)/[^\"]+\"");
  std::ifstream in(file);
  for (std::string line; std::getline(in, line);) {
    std::smatch match;
    if (!std::regex_match(line, match, kInclude)) continue;
    const auto included = layer_of(match[1]);
    ASSERT_TRUE(included) << file << ": no layer: " << line;
    EXPECT_LE(*included, layer) << file << ": " << line;
  }
}

TEST(Layering, IncludesRunOneWay) {
  const fs::path source = fs::path(EIDERREEL_SOURCE_DIR) / "src";
  std::size_t files = 0;
  for (const auto& entry : fs::recursive_directory_iterator(source)) {
    if (!entry.is_regular_file() || entry.path().parent_path() == source) continue;
    const auto layer = layer_of(entry.path().parent_path().filename());
    ASSERT_TRUE(layer) << entry.path() << " is in a folder without a layer";
    expect_includes_from_below(entry.path(), *layer);
    ++files;
  }
  EXPECT_GT(files, kLayers.size());
}

}  // namespace
