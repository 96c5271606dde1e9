#include "cli/upgrade.h"

#include <fmt/format.h>
#include <rapidjson/document.h>

#include <chrono>
#include <iostream>
#include <random>
#include <thread>

#include "cli/http_call.h"
#include "cli/upgrade_print.h"
#include "constants.h"
#include "upgrade/upgrade_json.h"

namespace eiderreel::cli {
namespace {

namespace k = constants;

constexpr int kDone = 0, kFailed = 1, kMalformed = 2, kNotKnown = 3;
constexpr int kOk = 200, kBadRequest = 400, kConflict = 409, kUnavailable = 503;

int fail(int code, const std::string& what) {
  std::cerr << "eiderreel upgrade: " << what << "\n";
  return code;
}

// An answer of a controller, and whose it is.
struct Answer {
  std::string addr;
  HttpReply reply;
  rapidjson::Document json;
};

void parse(Answer& answer) { answer.json.Parse(answer.reply.body.c_str()); }

std::string error_in(const Answer& answer) {
  const std::string error = text_in(answer.json, "error");
  return error.empty() ? fmt::format("answered {}", answer.reply.status) : error;
}

// Asks one controller after the other, for what changes nothing; nothing: none has answered so.
std::optional<Answer> read_from_any(const UpgradeCall& call, const std::string& method,
                                    const std::string& path, const std::string& body) {
  for (const std::string& addr : call.addrs) {
    Answer answer{addr, http_call(addr, method, path, body, k::kUpgradeCallMs), {}};
    parse(answer);
    if (answer.reply.status == kOk && answer.json.IsObject()) return answer;
    std::cerr << "eiderreel upgrade: " << addr << ": "
              << (answer.reply.status == 0 ? "no answer" : error_in(answer)) << "\n";
  }
  return std::nullopt;
}

int print(const UpgradeCall& call, const Answer& answer,
          std::string (*text)(const rapidjson::Document&)) {
  std::cout << (call.json ? answer.reply.body + "\n" : text(answer.json));
  return kDone;
}

bool addresses_are_good(const UpgradeCall& call) {
  for (const std::string& addr : call.addrs)
    if (!is_address(addr)) {
      fail(kMalformed, addr + ": not an address of the form IP:PORT");
      return false;
    }
  return true;
}

// A name for the request, by which its outcome can be looked up.
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
  return answer.reply.status == kOk ? kDone : kFailed;
}

// What the durable version says of a step that got no answer; nothing: it does not tell yet.
std::optional<int> look_up(const UpgradeCall& call, const upgrade::StepOrder& order) {
  const auto status = read_from_any(call, "GET", "/upgrade/status", "");
  if (!status) return std::nullopt;
  if (text_in(status->json, "last_request") == order.request) {
    std::cout << (call.json ? R"({"outcome":"taken"})" : "outcome: taken") << "\n";
    return kDone;
  }
  const double version = number_in(status->json, "version");
  if (version == 0 || version == number(order.from) || !flag_in(status->json, "current"))
    return std::nullopt;
  return fail(kFailed,
              fmt::format("not taken: the cluster is at version {:.0f} by another step", version));
}

// The step is not sent again. It lands at most once, and the durable version says whether.
int resolve(const UpgradeCall& call, const upgrade::StepOrder& order) {
  std::cerr << "eiderreel upgrade: no answer, looking for the outcome of request " << order.request
            << "\n";
  for (Ms waited = 0; waited < k::kUpgradeResolveMs; waited += k::kUpgradeResolveEveryMs) {
    if (const auto outcome = look_up(call, order)) return *outcome;
    std::this_thread::sleep_for(std::chrono::milliseconds(k::kUpgradeResolveEveryMs));
  }
  return fail(kNotKnown, "unknown: request " + order.request +
                             " may have been carried out, or may still be; see `upgrade status`");
}

bool step_is_well_formed(const UpgradeCall& call) {
  if (call.reason.empty()) {
    fail(kMalformed, "--reason: a changing command needs a reason for its record");
    return false;
  }
  if (!call.without.empty() && !call.confirmed) {
    fail(kMalformed,
         "--without: leaving a controller out needs --yes; first make sure that it is "
         "gone, or will come back as this build");
    return false;
  }
  if (call.action == upgrade::Action::finalize && !call.confirmed) {
    fail(kMalformed, "finalize: cannot be taken back and needs --yes");
    return false;
  }
  return true;
}

}  // namespace

int upgrade_status(const UpgradeCall& call) {
  if (!addresses_are_good(call)) return kMalformed;
  const auto answer = read_from_any(call, "GET", "/upgrade/status", "");
  return answer ? print(call, *answer, status_text) : kFailed;
}

int upgrade_history(const UpgradeCall& call) {
  if (!addresses_are_good(call)) return kMalformed;
  const auto answer = read_from_any(call, "GET", "/upgrade/history", "");
  return answer ? print(call, *answer, history_text) : kFailed;
}

int upgrade_plan(const UpgradeCall& call) {
  if (!addresses_are_good(call)) return kMalformed;
  const std::string body = codec::encode(order_of(call, upgrade::kFirstVersion));
  const auto answer = read_from_any(call, "POST", "/upgrade/plan", body);
  if (!answer) return kFailed;
  print(call, *answer, plan_text);
  return flag_in(answer->json, "possible") ? kDone : kFailed;
}

int upgrade_step(const UpgradeCall& call) {
  if (!addresses_are_good(call)) return kMalformed;
  if (call.dry_run) return upgrade_plan(call);
  if (!step_is_well_formed(call)) return kMalformed;
  const auto status = read_from_any(call, "GET", "/upgrade/status", "");
  if (!status) return kFailed;
  const double version = number_in(status->json, "version");
  if (version == 0) return fail(kFailed, "the cluster version is unknown");
  const auto from = static_cast<upgrade::ClusterVersion>(static_cast<std::uint32_t>(version));
  const upgrade::StepOrder order = order_of(call, from);
  Answer answer{
      status->addr,
      http_call(status->addr, "POST", "/upgrade/step", codec::encode(order), k::kUpgradeCallMs),
      {}};
  parse(answer);
  switch (answer.reply.status) {
    case kOk:
    case kConflict:
    case kUnavailable:
      if (text_in(answer.json, "outcome").empty()) return fail(kFailed, error_in(answer));
      return tell_outcome(call, answer, order.request);
    case kBadRequest:
      return fail(kMalformed, error_in(answer));
    default:
      return resolve(call, order);
  }
}

}  // namespace eiderreel::cli
