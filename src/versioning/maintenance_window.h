// Maintenance windows: when automatic upgrade steps may be taken, in the local time of a named time
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
/// Parses "HH:MM", up to "24:00"; std::nullopt if the text is not of this form.
std::optional<TimeOfDay> parse_time_of_day(const std::string& text);

/// Parses a weekday, "mon" to "sun"; 0 is Sunday. Returns std::nullopt for any other text.
std::optional<unsigned> parse_weekday(const std::string& text);

/// A window that begins on each of its days. If `to` is not after `from`, it ends on the next day.
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
  /// `time_zone` must satisfy is_time_zone() unless `windows` is empty.
  MaintenanceWindows(std::string time_zone, std::vector<MaintenanceWindow> windows)
      : time_zone_(std::move(time_zone)), windows_(std::move(windows)) {}

  /// Whether the time, in milliseconds since the epoch, is in a window. If the change to daylight
  /// saving time skips a local time of a window, the moment of the change is used instead. If a
  /// local time occurs twice, its first occurrence is used.
  bool contains(Ms wall_time) const;

 private:
  std::string time_zone_;
  std::vector<MaintenanceWindow> windows_;
};

/// Whether the system's time zone database contains this zone.
bool is_time_zone(const std::string& name);

}  // namespace eiderreel::upgrade
