// Maintenance windows: when the cluster may be changed without being asked, by the clocks of a
// named time zone.
#pragma once
#include <array>
#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "constants.h"

namespace eiderreel::upgrade {

// A time of day, from 00:00 to 24:00.
struct TimeOfDay {
  std::chrono::minutes since_midnight{0};
};
std::optional<TimeOfDay> parse_time_of_day(const std::string& text);

// The weekday of "mon" to "sun", 0 is Sunday.
std::optional<unsigned> parse_weekday(const std::string& text);

// Begins on each of its days. A window whose end is not after its beginning ends on the next day.
struct MaintenanceWindow {
  std::array<bool, 7> days{};  // by weekday, 0 is Sunday
  TimeOfDay from, to;
};

class MaintenanceWindows {
 public:
  MaintenanceWindows() = default;
  MaintenanceWindows(std::string time_zone, std::vector<MaintenanceWindow> windows)
      : time_zone_(std::move(time_zone)), windows_(std::move(windows)) {}

  // Whether the moment, a time of day in milliseconds since the epoch, lies in a window. A local
  // time that a change of daylight saving skips is taken as the moment of the change; of one that
  // comes twice, the first is meant.
  bool contains(Ms wall) const;

 private:
  std::string time_zone_;
  std::vector<MaintenanceWindow> windows_;
};

// Whether the system's time zone database has this zone.
bool is_time_zone(const std::string& name);

}  // namespace eiderreel::upgrade
