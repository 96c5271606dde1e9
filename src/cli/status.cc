// `eiderreel status`: prints the status of a running controller.
#include "cli/status.h"

#include <fmt/format.h>
#include <rapidjson/document.h>

#include <array>
#include <iostream>

#include "cli/exit_code.h"
#include "cli/http_call.h"
#include "cli/json_fields.h"
#include "constants.h"
#include "runtime/http_status.h"

namespace eiderreel::cli {
namespace {

constexpr std::array kColumns = {"part",         "owner",         "term",       "jobs",
                                 "queued_tasks", "running_tasks", "total_cpus", "used_cpus",
                                 "waiting_cpus", "idle_machines"};

int fail_at(const std::string& addr, const std::string& message) {
  return fail(exit_code::kFailure, "status", addr + ": " + message);
}

// Formats one field of a table row. "-" stands for a missing field: a controller reports the load
// and task counts only of some partitions, all of them for those that it leads.
std::string format_cell(const rapidjson::Value& row, const char* name) {
  const auto member = row.FindMember(name);
  if (member == row.MemberEnd()) return "-";
  const rapidjson::Value& value = member->value;
  if (!value.IsString()) return fmt::format("{:.0f}", value.GetDouble());
  return value.GetStringLength() == 0 ? "none" : value.GetString();
}

std::string join_names(const rapidjson::Value& row, const char* name) {
  std::string names;
  if (!row.HasMember(name) || !row[name].IsArray()) return names;
  for (const auto& id : row[name].GetArray())
    if (id.IsString()) names += std::string(id.GetString()) + " ";
  return names;
}

// Prints the jobs that wait for prerequisites, with the first few prerequisites of each. Earlier
// builds do not report these jobs.
void print_waiting_jobs(const rapidjson::Document& status) {
  if (!status.HasMember("waiting") || !status["waiting"].IsArray()) return;
  if (status["waiting"].Empty()) return;
  std::cout << fmt::format("\n{:<15}{:<15}{}\n", "waiting job", "prerequisites", "first");
  for (const auto& row : status["waiting"].GetArray())
    std::cout << fmt::format("{:<15}{:<15}{}\n", format_cell(row, "job"),
                             format_cell(row, "prerequisites"), join_names(row, "first"));
}

void print_partitions(const rapidjson::Value& partitions) {
  for (const char* column : kColumns) std::cout << fmt::format("{:<15}", column);
  std::cout << "\n";
  for (const auto& row : partitions.GetArray()) {
    for (const char* column : kColumns)
      std::cout << fmt::format("{:<15}", format_cell(row, column));
    std::cout << "\n";
  }
}

// Returns whether the reply has the fields that the tables require.
bool has_table_fields(const rapidjson::Document& status) {
  return status.IsObject() && status.HasMember("node") && status["node"].IsString() &&
         status.HasMember("ready") && status["ready"].IsBool() && status.HasMember("parts") &&
         status["parts"].IsArray() && status.HasMember("open_jobs") &&
         status["open_jobs"].IsUint64() && status.HasMember("machines") &&
         status["machines"].IsUint64();
}

void print_tables(const rapidjson::Document& status) {
  std::cout << fmt::format("node {}  {}  open jobs {}  machines {}\n\n", status["node"].GetString(),
                           status["ready"].GetBool() ? "ready" : "not ready",
                           status["open_jobs"].GetUint64(), status["machines"].GetUint64());
  if (const std::string reason = text_in(status, "stands_aside"); !reason.empty())
    std::cout << "in standby: " << reason << "\n\n";
  print_partitions(status["parts"]);
  print_waiting_jobs(status);
}

}  // namespace

int status(const std::string& addr, bool json) {
  if (!is_address(addr)) return fail_at(addr, "not an address of the form IP:PORT");
  const HttpReply reply = http_call(addr, "GET", "/status", "", constants::kStatusCommandTimeoutMs);
  if (reply.status == http_status::kNoAnswer) return fail_at(addr, "no answer");
  if (reply.status != http_status::kOk)
    return fail_at(addr, fmt::format("HTTP status {}", reply.status));
  rapidjson::Document status;
  status.Parse(reply.body.c_str());
  if (status.HasParseError())
    return fail_at(addr, "the reply is not JSON; is this an eiderreel node?");
  if (json) {
    std::cout << reply.body << "\n";
    return exit_code::kSuccess;
  }
  if (!has_table_fields(status))
    return fail_at(addr, "the reply is not a status report; is this an eiderreel node?");
  print_tables(status);
  return exit_code::kSuccess;
}

}  // namespace eiderreel::cli
