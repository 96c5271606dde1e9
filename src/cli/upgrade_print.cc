// Answers to the upgrade commands as tables for people.
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
constexpr double kRateMin = 0.01;  // values a second; a slower conversion has no useful estimate

// A version, or that it is not known.
std::string version_in(const Value& object, const char* name) {
  const double version = number_in(object, name);
  return version > 0 ? fmt::format("{:.0f}", version) : kUnknown;
}

std::string time_in(const Value& object, const char* name) {
  const auto ms = static_cast<std::int64_t>(number_in(object, name));
  if (ms <= 0) return "-";
  const date::sys_time<std::chrono::milliseconds> moment{std::chrono::milliseconds(ms)};
  return date::format("%FT%TZ", date::floor<std::chrono::seconds>(moment));
}

std::string joined(const Value* list) {
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
                                "versions", "acts under");
  const Value* controllers = list_in(status, "controllers");
  if (!controllers) return out;
  for (const auto& row : controllers->GetArray()) {
    const bool known = number_in(row, "newest") > 0;
    const std::string versions =
        known ? version_in(row, "oldest") + " to " + version_in(row, "newest") : kUnknown;
    const std::string build = text_in(row, "build");
    out += fmt::format("{:<20}{:<16}{:<12}{:<12}{}\n", text_in(row, "name"), text_in(row, "state"),
                       build.empty() ? kUnknown : build, versions, version_in(row, "acting"));
  }
  return out;
}

// When a conversion will end, given the values left and the values converted a second.
std::string estimate(double left, double per_s) {
  if (left == 0) return "none left";
  if (per_s < kRateMin) return fmt::format("end {}", kUnknown);
  return fmt::format("about {:.0f} s left", std::ceil(left / per_s));
}

std::string conversion_text(const Value& status) {
  const Value* conversion = field_in(status, "conversion");
  if (!conversion) return "";
  const std::string to = text_in(*conversion, "to");
  std::string out;
  if (to == "none") {
    out = "no conversion goes on\n";
  } else {
    const double left = number_in(*conversion, "left");
    const double per_s = number_in(*conversion, "per_s");
    out =
        fmt::format("conversion to {}: {:.0f} values left, {:.0f} converted, {:.2f} a second, {}\n",
                    to, left, number_in(*conversion, "converted"), per_s, estimate(left, per_s));
  }
  if (const double unreadable = number_in(*conversion, "unreadable"); unreadable > 0)
    out += fmt::format("{:.0f} values cannot be read\n", unreadable);
  const std::string partitions = joined(list_in(*conversion, "unknown_partitions"));
  if (!partitions.empty())
    out += "unknown: partitions " + partitions + ", nobody who owns them is heard\n";
  return out;
}

// A step that was asked for, and below it what stood in its way.
std::string history_row(const Value& row) {
  std::string out =
      fmt::format("{}  {}  {}", time_in(row, "at_ms"), text_in(row, "who"), text_in(row, "action"));
  out +=
      fmt::format(" from {} to {}: {}", version_in(row, "from"),
                  number_in(row, "to") > 0 ? version_in(row, "to") : "-", text_in(row, "outcome"));
  out += fmt::format("  (asked {}, request {}, reason: {})\n", text_in(row, "controller"),
                     text_in(row, "request"), text_in(row, "reason"));
  if (const std::string without = joined(list_in(row, "without")); !without.empty())
    out += "    without " + without + "\n";
  if (const Value* obstacles = list_in(row, "obstacles"))
    for (const auto& obstacle : obstacles->GetArray())
      out += fmt::format("    missing: {}\n", obstacle.GetString());
  return out;
}

}  // namespace

std::string status_text(const rapidjson::Document& status) {
  std::string out = fmt::format("cluster version {}", version_in(status, "version"));
  if (const std::string who = text_in(status, "changed_by"); !who.empty())
    out += fmt::format(", since {} by {} (request {})", time_in(status, "changed_at_ms"), who,
                       text_in(status, "last_request"));
  out += fmt::format("\ntold by {}", text_in(status, "controller"));
  if (!flag_in(status, "current"))
    out += "; it does not reach the state service, so this may be old";
  out += "\n";
  if (const std::string aside = text_in(status, "stands_aside"); !aside.empty())
    out += "it stands aside: " + aside + "\n";
  if (const std::string doubt = text_in(status, "step_in_doubt"); !doubt.empty())
    out += "unknown: whether the step of request " + doubt + " was taken\n";
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
  if (!obstacles || obstacles->Empty()) return out + "nothing stands in its way\n";
  for (const auto& obstacle : obstacles->GetArray()) {
    const std::string controller = text_in(obstacle, "controller");
    out += fmt::format("missing: {}: {}\n", controller.empty() ? "cluster" : controller,
                       text_in(obstacle, "what"));
  }
  return out;
}

std::string history_text(const rapidjson::Document& history) {
  const Value* rows = list_in(history, "history");
  if (!rows || rows->Empty()) return "no step was asked for\n";
  std::string out;
  for (const auto& row : rows->GetArray()) out += history_row(row);
  return out;
}

}  // namespace eiderreel::cli
