#include "cli/status.h"

#include <fmt/format.h>
#include <rapidjson/document.h>

#include <iostream>

#include "cli/http_call.h"
#include "constants.h"

namespace eiderreel::cli {
namespace {

constexpr int kFailed = 1;

int fail(const std::string& addr, const std::string& what) {
  std::cerr << "eiderreel status: " << addr << ": " << what << "\n";
  return kFailed;
}

std::string cell(const rapidjson::Value& row, const char* name) {
  auto it = row.FindMember(name);
  if (it == row.MemberEnd()) return "-";  // another node's to tell
  if (it->value.IsString()) return it->value.GetStringLength() ? it->value.GetString() : "none";
  return fmt::format("{:.0f}", it->value.GetDouble());
}

// Jobs that wait for other jobs, and the first few of those; earlier builds do not tell.
void print_waiting(const rapidjson::Document& d) {
  if (!d.HasMember("waiting") || !d["waiting"].IsArray() || d["waiting"].Empty()) return;
  std::cout << fmt::format("\n{:<15}{:<15}{}\n", "waiting job", "prerequisites", "first");
  for (const auto& row : d["waiting"].GetArray()) {
    std::string first;
    if (row.HasMember("first") && row["first"].IsArray())
      for (const auto& id : row["first"].GetArray())
        if (id.IsString()) first += std::string(id.GetString()) + " ";
    std::cout << fmt::format("{:<15}{:<15}{}\n", cell(row, "job"), cell(row, "prerequisites"),
                             first);
  }
}

bool print_table(const rapidjson::Document& d) {
  if (!d.IsObject() || !d.HasMember("node") || !d["node"].IsString() || !d.HasMember("ready") ||
      !d["ready"].IsBool() || !d.HasMember("parts") || !d["parts"].IsArray() ||
      !d.HasMember("open_jobs") || !d["open_jobs"].IsUint64() || !d.HasMember("machines") ||
      !d["machines"].IsUint64())
    return false;
  std::cout << fmt::format("node {}  {}  open jobs {}  machines {}\n\n", d["node"].GetString(),
                           d["ready"].GetBool() ? "ready" : "not ready", d["open_jobs"].GetUint64(),
                           d["machines"].GetUint64());
  if (d.HasMember("stands_aside") && d["stands_aside"].IsString() &&
      d["stands_aside"].GetStringLength() > 0)
    std::cout << "stands aside: " << d["stands_aside"].GetString() << "\n\n";
  const char* const columns[] = {"part",         "owner",         "term",       "jobs",
                                 "queued_tasks", "running_tasks", "total_cpus", "used_cpus",
                                 "waiting_cpus", "idle_machines"};
  for (const char* c : columns) std::cout << fmt::format("{:<15}", c);
  std::cout << "\n";
  for (const auto& row : d["parts"].GetArray()) {
    for (const char* c : columns) std::cout << fmt::format("{:<15}", cell(row, c));
    std::cout << "\n";
  }
  print_waiting(d);
  return true;
}

}  // namespace

int status(const std::string& addr, bool json) {
  if (!is_address(addr)) return fail(addr, "not an address of the form IP:PORT");
  const HttpReply reply = http_call(addr, "GET", "/status", "", constants::kStatusTimeoutMs);
  if (reply.status == 0) return fail(addr, "no answer");
  if (reply.status != 200) return fail(addr, fmt::format("answered {}", reply.status));
  rapidjson::Document d;
  d.Parse(reply.body.c_str());
  if (d.HasParseError()) return fail(addr, "the answer is not JSON; is this an eiderreel node?");
  if (json) {
    std::cout << reply.body << "\n";
    return 0;
  }
  return print_table(d) ? 0 : fail(addr, "the answer is not a status; is this an eiderreel node?");
}

}  // namespace eiderreel::cli
