// Maintenance windows in the local time of a time zone: windows that span midnight, and both
// changes of daylight saving time.
#include "versioning/maintenance_window.h"

#include <gtest/gtest.h>

using namespace eiderreel;
using namespace eiderreel::upgrade;

namespace {

using namespace std::chrono;

Ms utc(int year, unsigned month, unsigned day, int hour, int minute) {
  const auto days =
      sys_days{std::chrono::year{year} / std::chrono::month{month} / std::chrono::day{day}};
  return duration_cast<milliseconds>(days.time_since_epoch() + hours{hour} + minutes{minute})
      .count();
}

MaintenanceWindows window(const std::string& zone, const std::string& day, const std::string& from,
                          const std::string& to) {
  MaintenanceWindow w;
  w.days[*parse_weekday(day)] = true;
  w.from = *parse_time_of_day(from);
  w.to = *parse_time_of_day(to);
  return {zone, {w}};
}

TEST(MaintenanceWindow, IncludesItsStartAndExcludesItsEnd) {
  const auto w = window("Etc/UTC", "wed", "10:00", "12:00");  // 2026-12-02 is a Wednesday
  EXPECT_FALSE(w.contains(utc(2026, 12, 2, 9, 59)));
  EXPECT_TRUE(w.contains(utc(2026, 12, 2, 10, 0)));
  EXPECT_TRUE(w.contains(utc(2026, 12, 2, 11, 59)));
  EXPECT_FALSE(w.contains(utc(2026, 12, 2, 12, 0)));
  EXPECT_FALSE(w.contains(utc(2026, 12, 3, 11, 0)));
}

TEST(MaintenanceWindow, SpansMidnight) {
  const auto w = window("America/Bogota", "sat", "22:00", "04:00");  // UTC-5, no daylight saving
  EXPECT_FALSE(w.contains(utc(2026, 12, 6, 2, 59)));                 // Saturday, 21:59
  EXPECT_TRUE(w.contains(utc(2026, 12, 6, 3, 0)));
  EXPECT_TRUE(w.contains(utc(2026, 12, 6, 8, 59)));  // Sunday, 03:59
  EXPECT_FALSE(w.contains(utc(2026, 12, 6, 9, 0)));
  EXPECT_FALSE(w.contains(utc(2026, 12, 7, 4, 0)));  // Sunday, 23:00
  EXPECT_FALSE(w.contains(utc(2026, 12, 5, 7, 0)));  // Saturday, 02:00
}

TEST(MaintenanceWindow, OfAWholeDayEndsWithThatDay) {
  const auto w = window("Asia/Jakarta", "sun", "00:00", "24:00");
  EXPECT_FALSE(w.contains(utc(2026, 12, 5, 16, 59)));
  EXPECT_TRUE(w.contains(utc(2026, 12, 5, 17, 0)));
  EXPECT_TRUE(w.contains(utc(2026, 12, 6, 16, 59)));
  EXPECT_FALSE(w.contains(utc(2026, 12, 6, 17, 0)));
}

// Berlin, 2026-03-29: at 02:00 (01:00 UTC) the clocks go forward to 03:00.
TEST(MaintenanceWindow, SkipsTheMissingHourWhenDaylightSavingBegins) {
  const auto spanning_change = window("Europe/Berlin", "sun", "01:30", "03:30");
  EXPECT_FALSE(spanning_change.contains(utc(2026, 3, 29, 0, 29)));
  EXPECT_TRUE(spanning_change.contains(utc(2026, 3, 29, 0, 30)));
  EXPECT_TRUE(spanning_change.contains(utc(2026, 3, 29, 1, 29)));
  EXPECT_FALSE(spanning_change.contains(utc(2026, 3, 29, 1, 30)));  // lasts 1 h

  const auto from_missing_hour = window("Europe/Berlin", "sun", "02:30", "03:30");
  EXPECT_FALSE(from_missing_hour.contains(utc(2026, 3, 29, 0, 59)));
  EXPECT_TRUE(from_missing_hour.contains(utc(2026, 3, 29, 1, 0)));
  EXPECT_FALSE(from_missing_hour.contains(utc(2026, 3, 29, 1, 30)));

  const auto within_changed_hour = window("Europe/Berlin", "sun", "02:10", "02:50");
  for (int minute = 0; minute < 180; ++minute)
    EXPECT_FALSE(within_changed_hour.contains(utc(2026, 3, 29, 0, 0) + minute * 60000)) << minute;
}

// Berlin, 2026-10-25: at 03:00 (01:00 UTC) the clocks go back to 02:00.
TEST(MaintenanceWindow, TakesTheFirstRepeatedHourWhenDaylightSavingEnds) {
  const auto spanning_change = window("Europe/Berlin", "sun", "01:30", "03:30");
  EXPECT_FALSE(spanning_change.contains(utc(2026, 10, 24, 23, 29)));
  EXPECT_TRUE(spanning_change.contains(utc(2026, 10, 24, 23, 30)));
  EXPECT_TRUE(spanning_change.contains(utc(2026, 10, 25, 2, 29)));  // lasts 3 h
  EXPECT_FALSE(spanning_change.contains(utc(2026, 10, 25, 2, 30)));

  const auto within_changed_hour = window("Europe/Berlin", "sun", "02:10", "02:50");
  EXPECT_FALSE(within_changed_hour.contains(utc(2026, 10, 25, 0, 9)));
  EXPECT_TRUE(within_changed_hour.contains(utc(2026, 10, 25, 0, 10)));
  EXPECT_FALSE(within_changed_hour.contains(utc(2026, 10, 25, 0, 50)));
  EXPECT_FALSE(
      within_changed_hour.contains(utc(2026, 10, 25, 1, 30)));  // 02:30 for the second time
}

TEST(MaintenanceWindow, EmptySetContainsNothing) {
  EXPECT_FALSE(MaintenanceWindows().contains(utc(2026, 12, 2, 12, 0)));
}

TEST(MaintenanceWindow, MalformedTimesAndDaysAreRejected) {
  for (const char* text : {"", "1:00", "24:01", "25:00", "10:60", "10-00", "aa:bb", "10:000"})
    EXPECT_FALSE(parse_time_of_day(text)) << text;
  EXPECT_TRUE(parse_time_of_day("24:00"));
  EXPECT_FALSE(parse_weekday("monday"));
  EXPECT_TRUE(is_time_zone("America/Vancouver"));
  EXPECT_FALSE(is_time_zone("America/Tofino"));
}

}  // namespace
