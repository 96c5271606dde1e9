// Human-readable output of the upgrade commands.
#include "cli/upgrade_print.h"

#include <date/date.h>
#include <fmt/format.h>

#include <chrono>
#include <cmath>

#include "cli/json_fields.h"

namespace eiderreel::cli {
namespace {

using rapidjson::Value;

constexpr const char* kUnknown = "unknown";
constexpr double kMinValuesPerS = 0.01;  // below this rate an estimate is not useful

// Formats a version field; "unknown" if it is missing or 0.
std::string version_in(const Value& object, const char* name) {
  const double version = number_in(object, name);
  return version > 0 ? fmt::format("{:.0f}", version) : kUnknown;
}

std::string time_in(const Value& object, const char* name) {
  const auto ms = static_cast<std::int64_t>(number_in(object, name));
  if (ms <= 0) return "-";
  const date::sys_time<std::chrono::milliseconds> time_point{std::chrono::milliseconds(ms)};
  return date::format("%FT%TZ", date::floor<std::chrono::seconds>(time_point));
}

std::string join_entries(const Value* list) {
  std::string out;
  if (!list) return out;
  for (const auto& entry : list->GetArray()) {
    if (!out.empty()) out += ", ";
    out += entry.IsString() ? std::string(entry.GetString()) : fmt::format("{}", entry.GetDouble());
  }
  return out;
}

std::string controllers_text(const Value& status) {
  std::string out = fmt::format("{:<20}{:<16}{:<12}{:<12}{}\n", "controller", "state", "build",
                                "versions", "acting version");
  const Value* controllers = list_in(status, "controllers");
  if (!controllers) return out;
  for (const auto& row : controllers->GetArray()) {
    const bool has_versions = number_in(row, "newest") > 0;
    const std::string versions =
        has_versions ? version_in(row, "oldest") + " to " + version_in(row, "newest") : kUnknown;
    const std::string build = text_in(row, "build");
    out += fmt::format("{:<20}{:<16}{:<12}{:<12}{}\n", text_in(row, "name"), text_in(row, "state"),
                       build.empty() ? kUnknown : build, versions, version_in(row, "acting"));
  }
  return out;
}

// Formats the estimated time until a conversion ends.
std::string format_time_left(double values_left, double values_per_s) {
  if (values_left == 0) return "none left";
  if (values_per_s < kMinValuesPerS) return fmt::format("end {}", kUnknown);
  return fmt::format("about {:.0f} s left", std::ceil(values_left / values_per_s));
}

std::string conversion_text(const Value& status) {
  const Value* conversion = field_in(status, "conversion");
  if (!conversion) return "";
  const std::string target_form = text_in(*conversion, "to");
  std::string out;
  if (target_form == "none") {
    out = "no conversion in progress\n";
  } else {
    const double values_left = number_in(*conversion, "left");
    const double values_per_s = number_in(*conversion, "per_s");
    out =
        fmt::format("conversion to {}: {:.0f} values left, {:.0f} converted, {:.2f} a second, {}\n",
                    target_form, values_left, number_in(*conversion, "converted"), values_per_s,
                    format_time_left(values_left, values_per_s));
  }
  if (const double unreadable = number_in(*conversion, "unreadable"); unreadable > 0)
    out += fmt::format("{:.0f} values cannot be read\n", unreadable);
  const std::string partitions = join_entries(list_in(*conversion, "unknown_partitions"));
  if (!partitions.empty())
    out += "unknown: partitions " + partitions +
           ", no recent report from the controllers who lead them\n";
  return out;
}

// Formats a requested step, followed by one line for each obstacle.
std::string history_row(const Value& row) {
  std::string out =
      fmt::format("{}  {}  {}", time_in(row, "at_ms"), text_in(row, "who"), text_in(row, "action"));
  out +=
      fmt::format(" from {} to {}: {}", version_in(row, "from"),
                  number_in(row, "to") > 0 ? version_in(row, "to") : "-", text_in(row, "outcome"));
  out += fmt::format("  (sent to {}, request {}, reason: {})\n", text_in(row, "controller"),
                     text_in(row, "request"), text_in(row, "reason"));
  if (const std::string without = join_entries(list_in(row, "without")); !without.empty())
    out += "    without " + without + "\n";
  if (const Value* obstacles = list_in(row, "obstacles"))
    for (const auto& obstacle : obstacles->GetArray())
      out += fmt::format("    obstacle: {}\n", obstacle.GetString());
  return out;
}

}  // namespace

std::string status_text(const rapidjson::Document& status) {
  std::string out = fmt::format("cluster version {}", version_in(status, "version"));
  if (const std::string who = text_in(status, "changed_by"); !who.empty())
    out += fmt::format(", since {} by {} (request {})", time_in(status, "changed_at_ms"), who,
                       text_in(status, "last_request"));
  out += fmt::format("\nreported by {}", text_in(status, "controller"));
  if (!flag_in(status, "current")) out += "; it cannot reach the state store, so this may be stale";
  out += "\n";
  if (const std::string standby_reason = text_in(status, "stands_aside"); !standby_reason.empty())
    out += "it is in standby: " + standby_reason + "\n";
  if (const std::string request_in_doubt = text_in(status, "step_in_doubt");
      !request_in_doubt.empty())
    out += "unknown: whether the step of request " + request_in_doubt + " was taken\n";
  out += fmt::format("automatic steps {}{}\n", flag_in(status, "automatic") ? "on" : "off",
                     flag_in(status, "in_maintenance_window") ? ", in a maintenance window" : "");
  return out + "\n" + controllers_text(status) + "\n" + conversion_text(status);
}

std::string plan_text(const rapidjson::Document& plan) {
  const std::string action = text_in(plan, "action");
  const std::string effect = text_in(plan, "effect");
  std::string out = fmt::format("{} from version {}", action, version_in(plan, "from"));
  if (number_in(plan, "to") > 0) out += " to version " + version_in(plan, "to");
  out += "\n";
  if (!effect.empty()) out += "effect: " + effect + "\n";
  const Value* obstacles = list_in(plan, "obstacles");
  if (!obstacles || obstacles->Empty()) return out + "no obstacles\n";
  for (const auto& obstacle : obstacles->GetArray()) {
    const std::string controller = text_in(obstacle, "controller");
    out += fmt::format("obstacle: {}: {}\n", controller.empty() ? "cluster" : controller,
                       text_in(obstacle, "what"));
  }
  return out;
}

std::string history_text(const rapidjson::Document& history) {
  const Value* rows = list_in(history, "history");
  if (!rows || rows->Empty()) return "no step has been requested\n";
  std::string out;
  for (const auto& row : rows->GetArray()) out += history_row(row);
  return out;
}

}  // namespace eiderreel::cli
