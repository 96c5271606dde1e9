// Maintenance windows in the local time of a named time zone.
#include "versioning/maintenance_window.h"

#include <date/date.h>
#include <date/tz.h>

#include <algorithm>
#include <stdexcept>

namespace eiderreel::upgrade {
namespace {

using TimePoint = date::sys_time<std::chrono::milliseconds>;

constexpr std::array<const char*, kWeekdayCount> kWeekdays = {"sun", "mon", "tue", "wed",
                                                              "thu", "fri", "sat"};
constexpr std::chrono::minutes kDay{24 * 60};

constexpr int kMinutesMax = 59;

bool is_digit(char character) { return character >= '0' && character <= '9'; }

TimePoint to_time_point(const date::time_zone& zone, date::local_days day, TimeOfDay time) {
  return zone.to_sys(day + time.since_midnight, date::choose::earliest);
}

// Whether the time point is in the occurrence of the window that begins on this local day.
bool is_in_occurrence(const MaintenanceWindow& window, const date::time_zone& zone,
                      date::local_days day, TimePoint time_point) {
  if (!window.days[date::weekday(day).c_encoding()]) return false;
  const bool ends_next_day = window.to.since_midnight <= window.from.since_midnight;
  const date::local_days last_day = day + date::days(ends_next_day ? 1 : 0);
  return to_time_point(zone, day, window.from) <= time_point &&
         time_point < to_time_point(zone, last_day, window.to);
}

}  // namespace

std::optional<TimeOfDay> parse_time_of_day(const std::string& text) {
  const bool has_form = text.size() == 5 && text[2] == ':' && is_digit(text[0]) &&
                        is_digit(text[1]) && is_digit(text[3]) && is_digit(text[4]);
  if (!has_form) return std::nullopt;
  const int hours = std::stoi(text.substr(0, 2));
  const int minutes = std::stoi(text.substr(3, 2));
  const std::chrono::minutes since_midnight =
      std::chrono::hours(hours) + std::chrono::minutes(minutes);
  if (minutes > kMinutesMax || since_midnight > kDay) return std::nullopt;
  return TimeOfDay{since_midnight};
}

std::optional<unsigned> parse_weekday(const std::string& text) {
  const auto* const found = std::find(kWeekdays.begin(), kWeekdays.end(), text);
  if (found == kWeekdays.end()) return std::nullopt;
  return static_cast<unsigned>(found - kWeekdays.begin());
}

bool is_time_zone(const std::string& name) {
  try {
    return date::locate_zone(name) != nullptr;
  } catch (const std::runtime_error&) {
    return false;
  }
}

bool MaintenanceWindows::contains(Ms wall_time) const {
  if (windows_.empty()) return false;
  const date::time_zone& zone = *date::locate_zone(time_zone_);
  const TimePoint time_point{std::chrono::milliseconds(wall_time)};
  const auto today = date::floor<date::days>(zone.to_local(time_point));
  return std::any_of(windows_.begin(), windows_.end(), [&](const MaintenanceWindow& window) {
    return is_in_occurrence(window, zone, today, time_point) ||
           is_in_occurrence(window, zone, today - date::days(1), time_point);
  });
}

}  // namespace eiderreel::upgrade
