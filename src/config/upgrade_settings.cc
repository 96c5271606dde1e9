// Reads the operators' upgrade file.
#include "config/upgrade_settings.h"

#include <optional>
#include <utility>

#include "config/toml_reader.h"

namespace eiderreel::upgrade {
namespace {

// Bounds of conversion_share. Below the minimum, a conversion would practically never end; above
// the maximum, too few changes per second would be left for scheduling jobs.
constexpr double kConversionShareMin = 0.001;
constexpr double kConversionShareMax = 0.5;

void read_newest_version(TomlReader& reader, const toml::table& table, VersionRange& range) {
  if (!table.contains("newest_version")) return;
  int newest = static_cast<int>(number(range.newest));
  reader.integer(table, "upgrade.", "newest_version", static_cast<int>(number(range.oldest)),
                 static_cast<int>(number(range.newest)), newest);
  range.newest = static_cast<ClusterVersion>(newest);
}

void read_days(TomlReader& reader, const toml::table& table, const std::string& path,
               MaintenanceWindow& window) {
  const auto* days = table.get_as<toml::array>("days");
  if (!days || days->empty())
    return reader.add_problem(path + "days", "must be a list of weekdays");
  for (const auto& day : *days) {
    const auto weekday = parse_weekday(day.value_or(std::string()));
    if (!weekday)
      return reader.add_problem(path + "days", "must be of mon, tue, wed, thu, fri, sat, sun");
    window.days[*weekday] = true;
  }
}

void read_time(TomlReader& reader, const toml::table& table, const std::string& path,
               const char* name, TimeOfDay& out) {
  const auto time = parse_time_of_day(table[name].value_or(std::string()));
  if (!time) return reader.add_problem(path + name, "must be a time of day, \"HH:MM\"");
  out = *time;
}

std::vector<MaintenanceWindow> read_windows(TomlReader& reader, const toml::table& table) {
  std::vector<MaintenanceWindow> windows;
  const std::string list_path = "upgrade.automatic.windows";
  const auto* entries = table.get_as<toml::array>("windows");
  if (!entries || entries->empty()) {
    reader.add_problem(list_path, "must be a list of tables");
    return windows;
  }
  for (std::size_t i = 0; i < entries->size(); ++i) {
    const std::string path = entry_path(list_path, i);
    const auto* entry = reader.entry(*entries, i, path);
    if (!entry) continue;
    MaintenanceWindow window;
    read_days(reader, *entry, path, window);
    read_time(reader, *entry, path, "from", window.from);
    read_time(reader, *entry, path, "to", window.to);
    windows.push_back(window);
  }
  return windows;
}

void read_automatic(TomlReader& reader, const toml::table& upgrade, UpgradeSettings& out) {
  if (!upgrade.contains("automatic")) return;
  const auto* table = reader.table(upgrade, "upgrade.", "automatic");
  if (!table) return;
  const std::string path = "upgrade.automatic.";
  const auto enabled = (*table)["enabled"].value_exact<bool>();
  if (!enabled) reader.add_problem(path + "enabled", "must be true or false");
  out.automatic = enabled.value_or(false);
  std::string time_zone;
  reader.text(*table, path, "time_zone", time_zone);
  if (!time_zone.empty() && !is_time_zone(time_zone))
    reader.add_problem(path + "time_zone", "is no time zone of this system");
  out.windows = MaintenanceWindows(time_zone, read_windows(reader, *table));
}

}  // namespace

UpgradeSettingsResult load_upgrade_settings(const std::string& file, UpgradeSettings defaults) {
  UpgradeSettingsResult result{std::move(defaults), {}};
  TomlReader reader(file, result.problems);
  const auto parsed = reader.parse();
  if (!parsed) return result;
  const toml::table* table = reader.table(*parsed, "", "upgrade");
  if (!table) return result;
  UpgradeSettings& settings = result.settings;
  settings.enabled = true;
  read_newest_version(reader, *table, settings.range);
  if (table->contains("conversion_share"))
    reader.number(*table, "upgrade.", "conversion_share", kConversionShareMin, kConversionShareMax,
                  settings.conversion_share);
  read_automatic(reader, *table, settings);
  return result;
}

}  // namespace eiderreel::upgrade
