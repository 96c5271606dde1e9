// `eiderreel upgrade`: queries of cluster versions, and the steps between versions.
#include "cli/upgrade.h"

#include <fmt/format.h>
#include <rapidjson/document.h>

#include <algorithm>
#include <chrono>
#include <iostream>
#include <optional>
#include <random>
#include <thread>

#include "cli/exit_code.h"
#include "cli/http_call.h"
#include "cli/json_fields.h"
#include "cli/upgrade_print.h"
#include "constants.h"
#include "runtime/http_status.h"
#include "upgrade/upgrade_json.h"

namespace eiderreel::cli {
namespace {

namespace k = constants;

constexpr const char* kCommand = "upgrade";

int fail(int code, const std::string& what) { return cli::fail(code, kCommand, what); }

// A reply, with the address of the controller that sent it.
struct Answer {
  std::string addr;
  HttpReply reply;
  rapidjson::Document json;  // null if the body is not JSON
};

Answer call_controller(const std::string& addr, const std::string& method, const std::string& path,
                       const std::string& body) {
  Answer answer{addr, http_call(addr, method, path, body, k::kUpgradeCallTimeoutMs), {}};
  answer.json.Parse(answer.reply.body.c_str());
  return answer;
}

std::string error_in(const Answer& answer) {
  const std::string error = text_in(answer.json, "error");
  return error.empty() ? fmt::format("HTTP status {}", answer.reply.status) : error;
}

// Tries the controllers in order until one replies with 200 and a JSON object, and reports each
// failure. Returns nullopt if all fail. Only for requests without side effects: a failed request
// may still have been executed.
std::optional<Answer> query_first_available(const UpgradeOptions& options,
                                            const std::string& method, const std::string& path,
                                            const std::string& body) {
  for (const std::string& addr : options.addrs) {
    Answer answer = call_controller(addr, method, path, body);
    if (answer.reply.status == http_status::kOk && answer.json.IsObject()) return answer;
    const bool answered = answer.reply.status != http_status::kNoAnswer;
    print_error(kCommand, addr + ": " + (answered ? error_in(answer) : "no answer"));
  }
  return std::nullopt;
}

int print_answer(const UpgradeOptions& options, const Answer& answer,
                 std::string (*format_answer)(const rapidjson::Document&)) {
  std::cout << (options.json ? answer.reply.body + "\n" : format_answer(answer.json));
  return exit_code::kSuccess;
}

// Reports the first malformed address.
bool addresses_are_valid(const UpgradeOptions& options) {
  const auto malformed = std::find_if_not(options.addrs.begin(), options.addrs.end(), is_address);
  if (malformed == options.addrs.end()) return true;
  print_error(kCommand, *malformed + ": not an address of the form IP:PORT");
  return false;
}

// Returns a unique request id, by which the outcome of the request can be queried.
std::string new_request_id(const std::string& requested_by) {
  std::random_device random;
  return fmt::format("{}-{:08x}{:08x}", requested_by, random(), random());
}

upgrade::StepOrder make_step_order(const UpgradeOptions& options, upgrade::ClusterVersion from) {
  upgrade::StepOrder order;
  order.step.action = options.action;
  order.step.without = options.excluded_controllers;
  order.from = from;
  order.request = new_request_id(options.requested_by);
  order.who = options.requested_by;
  order.reason = options.reason;
  return order;
}

int print_outcome(const UpgradeOptions& options, const Answer& answer, const std::string& request) {
  if (options.json)
    std::cout << answer.reply.body << "\n";
  else
    std::cout << plan_text(answer.json) << "outcome: " << text_in(answer.json, "outcome")
              << " (request " << request << ")\n";
  return answer.reply.status == http_status::kOk ? exit_code::kSuccess : exit_code::kFailure;
}

// Queries the outcome of a step whose reply is missing. Returns nullopt while the durable version
// does not yet show the outcome.
std::optional<int> query_outcome(const UpgradeOptions& options, const upgrade::StepOrder& order) {
  const auto status = query_first_available(options, "GET", "/upgrade/status", "");
  if (!status) return std::nullopt;
  if (text_in(status->json, "last_request") == order.request) {
    std::cout << (options.json ? R"({"outcome":"taken"})" : "outcome: taken") << "\n";
    return exit_code::kSuccess;
  }
  const double version = number_in(status->json, "version");
  if (version == 0 || version == number(order.from) || !flag_in(status->json, "current"))
    return std::nullopt;
  return fail(
      exit_code::kFailure,
      fmt::format("not taken: another step has changed the cluster to version {:.0f}", version));
}

// Polls for the outcome of a step whose reply is missing. The step is not retried, because the
// first request may still be executed. It is executed at most once, and the durable version shows
// whether it was.
int resolve_unknown_outcome(const UpgradeOptions& options, const upgrade::StepOrder& order) {
  print_error(kCommand, "no answer; querying the outcome of request " + order.request);
  for (Ms waited = 0; waited < k::kUpgradeResolveTimeoutMs;
       waited += k::kUpgradeResolveIntervalMs) {
    if (const auto outcome = query_outcome(options, order)) return *outcome;
    std::this_thread::sleep_for(std::chrono::milliseconds(k::kUpgradeResolveIntervalMs));
  }
  return fail(exit_code::kOutcomeUnknown,
              "outcome unknown: request " + order.request +
                  " may have been executed or may still be executed; see `upgrade status`");
}

// Checks that all options which the step requires are set, and reports the first missing one.
bool step_is_well_formed(const UpgradeOptions& options) {
  if (options.reason.empty()) {
    fail(exit_code::kUsage, "--reason: required; the history records the reason of every step");
    return false;
  }
  if (!options.excluded_controllers.empty() && !options.confirmed) {
    fail(exit_code::kUsage,
         "--without: excluding a controller requires --yes; first make sure that it is "
         "gone, or will restart with this build");
    return false;
  }
  if (options.action == upgrade::Action::finalize && !options.confirmed) {
    fail(exit_code::kUsage, "finalize: cannot be undone once taken and requires --yes");
    return false;
  }
  return true;
}

}  // namespace

int upgrade_status(const UpgradeOptions& options) {
  if (!addresses_are_valid(options)) return exit_code::kUsage;
  const auto answer = query_first_available(options, "GET", "/upgrade/status", "");
  return answer ? print_answer(options, *answer, status_text) : exit_code::kFailure;
}

int upgrade_history(const UpgradeOptions& options) {
  if (!addresses_are_valid(options)) return exit_code::kUsage;
  const auto answer = query_first_available(options, "GET", "/upgrade/history", "");
  return answer ? print_answer(options, *answer, history_text) : exit_code::kFailure;
}

int upgrade_plan(const UpgradeOptions& options) {
  if (!addresses_are_valid(options)) return exit_code::kUsage;
  const std::string body = codec::encode(make_step_order(options, upgrade::kFirstVersion));
  const auto answer = query_first_available(options, "POST", "/upgrade/plan", body);
  if (!answer) return exit_code::kFailure;
  print_answer(options, *answer, plan_text);
  return flag_in(answer->json, "possible") ? exit_code::kSuccess : exit_code::kFailure;
}

int upgrade_step(const UpgradeOptions& options) {
  if (!addresses_are_valid(options)) return exit_code::kUsage;
  if (options.dry_run) return upgrade_plan(options);
  if (!step_is_well_formed(options)) return exit_code::kUsage;
  const auto status = query_first_available(options, "GET", "/upgrade/status", "");
  if (!status) return exit_code::kFailure;
  const double version = number_in(status->json, "version");
  if (version == 0) return fail(exit_code::kFailure, "the cluster version is unknown");
  const auto from = static_cast<upgrade::ClusterVersion>(static_cast<std::uint32_t>(version));
  const upgrade::StepOrder order = make_step_order(options, from);
  const Answer answer =
      call_controller(status->addr, "POST", "/upgrade/step", codec::encode(order));
  switch (answer.reply.status) {
    case http_status::kOk:
    case http_status::kConflict:
    case http_status::kServiceUnavailable:
      if (text_in(answer.json, "outcome").empty())
        return fail(exit_code::kFailure, error_in(answer));
      return print_outcome(options, answer, order.request);
    case http_status::kBadRequest:
      return fail(exit_code::kUsage, error_in(answer));
    default:
      return resolve_unknown_outcome(options, order);
  }
}

}  // namespace eiderreel::cli
