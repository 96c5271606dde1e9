// `eiderreel upgrade`: questions about cluster versions, and the steps between them.
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

// An answer of a controller, and whose it is.
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
  return error.empty() ? fmt::format("answered {}", answer.reply.status) : error;
}

// Asks one controller after the other until one answers; only for requests that change nothing.
// Nothing if none has answered.
std::optional<Answer> read_from_any(const UpgradeCall& call, const std::string& method,
                                    const std::string& path, const std::string& body) {
  for (const std::string& addr : call.addrs) {
    Answer answer = call_controller(addr, method, path, body);
    if (answer.reply.status == http_status::kOk && answer.json.IsObject()) return answer;
    const bool answered = answer.reply.status != http_status::kNoAnswer;
    print_error(kCommand, addr + ": " + (answered ? error_in(answer) : "no answer"));
  }
  return std::nullopt;
}

int print(const UpgradeCall& call, const Answer& answer,
          std::string (*text)(const rapidjson::Document&)) {
  std::cout << (call.json ? answer.reply.body + "\n" : text(answer.json));
  return exit_code::kSuccess;
}

// Reports the first malformed address.
bool addresses_are_good(const UpgradeCall& call) {
  const auto bad = std::find_if_not(call.addrs.begin(), call.addrs.end(), is_address);
  if (bad == call.addrs.end()) return true;
  print_error(kCommand, *bad + ": not an address of the form IP:PORT");
  return false;
}

// A unique name for the request, by which its outcome can be looked up.
std::string new_request(const std::string& who) {
  std::random_device random;
  return fmt::format("{}-{:08x}{:08x}", who, random(), random());
}

upgrade::StepOrder order_of(const UpgradeCall& call, upgrade::ClusterVersion from) {
  upgrade::StepOrder order;
  order.step.action = call.action;
  order.step.without = call.without;
  order.from = from;
  order.request = new_request(call.who);
  order.who = call.who;
  order.reason = call.reason;
  return order;
}

int tell_outcome(const UpgradeCall& call, const Answer& answer, const std::string& request) {
  if (call.json)
    std::cout << answer.reply.body << "\n";
  else
    std::cout << plan_text(answer.json) << "outcome: " << text_in(answer.json, "outcome")
              << " (request " << request << ")\n";
  return answer.reply.status == http_status::kOk ? exit_code::kSuccess : exit_code::kFailure;
}

// Looks for the outcome of a step that got no answer. Nothing while the durable version does not
// show it yet.
std::optional<int> look_up(const UpgradeCall& call, const upgrade::StepOrder& order) {
  const auto status = read_from_any(call, "GET", "/upgrade/status", "");
  if (!status) return std::nullopt;
  if (text_in(status->json, "last_request") == order.request) {
    std::cout << (call.json ? R"({"outcome":"taken"})" : "outcome: taken") << "\n";
    return exit_code::kSuccess;
  }
  const double version = number_in(status->json, "version");
  if (version == 0 || version == number(order.from) || !flag_in(status->json, "current"))
    return std::nullopt;
  return fail(exit_code::kFailure,
              fmt::format("not taken: the cluster is at version {:.0f} by another step", version));
}

// The step is not sent again, because it may still be carried out. It is carried out at most once,
// and the durable version shows whether it was.
int resolve(const UpgradeCall& call, const upgrade::StepOrder& order) {
  print_error(kCommand, "no answer, looking for the outcome of request " + order.request);
  for (Ms waited = 0; waited < k::kUpgradeResolveTimeoutMs;
       waited += k::kUpgradeResolveIntervalMs) {
    if (const auto outcome = look_up(call, order)) return *outcome;
    std::this_thread::sleep_for(std::chrono::milliseconds(k::kUpgradeResolveIntervalMs));
  }
  return fail(exit_code::kOutcomeUnknown,
              "unknown: request " + order.request +
                  " may have been carried out, or may still be; see `upgrade status`");
}

// Reports what the step lacks.
bool step_is_well_formed(const UpgradeCall& call) {
  if (call.reason.empty()) {
    fail(exit_code::kUsage, "--reason: a changing command needs a reason for its record");
    return false;
  }
  if (!call.without.empty() && !call.confirmed) {
    fail(exit_code::kUsage,
         "--without: leaving a controller out needs --yes; first make sure that it is "
         "gone, or will come back as this build");
    return false;
  }
  if (call.action == upgrade::Action::finalize && !call.confirmed) {
    fail(exit_code::kUsage, "finalize: cannot be taken back and needs --yes");
    return false;
  }
  return true;
}

}  // namespace

int upgrade_status(const UpgradeCall& call) {
  if (!addresses_are_good(call)) return exit_code::kUsage;
  const auto answer = read_from_any(call, "GET", "/upgrade/status", "");
  return answer ? print(call, *answer, status_text) : exit_code::kFailure;
}

int upgrade_history(const UpgradeCall& call) {
  if (!addresses_are_good(call)) return exit_code::kUsage;
  const auto answer = read_from_any(call, "GET", "/upgrade/history", "");
  return answer ? print(call, *answer, history_text) : exit_code::kFailure;
}

int upgrade_plan(const UpgradeCall& call) {
  if (!addresses_are_good(call)) return exit_code::kUsage;
  const std::string body = codec::encode(order_of(call, upgrade::kFirstVersion));
  const auto answer = read_from_any(call, "POST", "/upgrade/plan", body);
  if (!answer) return exit_code::kFailure;
  print(call, *answer, plan_text);
  return flag_in(answer->json, "possible") ? exit_code::kSuccess : exit_code::kFailure;
}

int upgrade_step(const UpgradeCall& call) {
  if (!addresses_are_good(call)) return exit_code::kUsage;
  if (call.dry_run) return upgrade_plan(call);
  if (!step_is_well_formed(call)) return exit_code::kUsage;
  const auto status = read_from_any(call, "GET", "/upgrade/status", "");
  if (!status) return exit_code::kFailure;
  const double version = number_in(status->json, "version");
  if (version == 0) return fail(exit_code::kFailure, "the cluster version is unknown");
  const auto from = static_cast<upgrade::ClusterVersion>(static_cast<std::uint32_t>(version));
  const upgrade::StepOrder order = order_of(call, from);
  const Answer answer =
      call_controller(status->addr, "POST", "/upgrade/step", codec::encode(order));
  switch (answer.reply.status) {
    case http_status::kOk:
    case http_status::kConflict:
    case http_status::kServiceUnavailable:
      if (text_in(answer.json, "outcome").empty())
        return fail(exit_code::kFailure, error_in(answer));
      return tell_outcome(call, answer, order.request);
    case http_status::kBadRequest:
      return fail(exit_code::kUsage, error_in(answer));
    default:
      return resolve(call, order);
  }
}

}  // namespace eiderreel::cli
