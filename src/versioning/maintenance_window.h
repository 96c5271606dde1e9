// Maintenance windows: when automatic upgrade steps may be taken, by the clocks of a named time
// zone.
#pragma once
#include <array>
#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "constants.h"

namespace eiderreel::upgrade {

/// Days in a week.
inline constexpr std::size_t kWeekdayCount = 7;

/// A time of day, from 00:00 to 24:00.
struct TimeOfDay {
  std::chrono::minutes since_midnight{0};
};
/// Parses "HH:MM"; nothing if the text has another form.
std::optional<TimeOfDay> parse_time_of_day(const std::string& text);

/// The weekday of "mon" to "sun", 0 is Sunday; nothing for another text.
std::optional<unsigned> parse_weekday(const std::string& text);

/// A window that begins on each of its days. If its end is not after its beginning, it ends on the
/// next day.
struct MaintenanceWindow {
  std::array<bool, kWeekdayCount> days{};  ///< By weekday, 0 is Sunday.
  TimeOfDay from;
  TimeOfDay to;
};

/// All windows of a cluster.
class MaintenanceWindows {
 public:
  /// No windows.
  MaintenanceWindows() = default;
  /// `time_zone` must be one for which is_time_zone() holds, unless there are no windows.
  MaintenanceWindows(std::string time_zone, std::vector<MaintenanceWindow> windows)
      : time_zone_(std::move(time_zone)), windows_(std::move(windows)) {}

  /// Whether the moment, in milliseconds since the epoch, is in a window. A local time that a
  /// change to daylight saving skips is taken as the moment of the change; of one that comes twice,
  /// the first is meant.
  bool contains(Ms wall) const;

 private:
  std::string time_zone_;
  std::vector<MaintenanceWindow> windows_;
};

/// Whether the system's time zone database has this zone.
bool is_time_zone(const std::string& name);

}  // namespace eiderreel::upgrade
