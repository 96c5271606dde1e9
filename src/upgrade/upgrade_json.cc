#include "upgrade/upgrade_json.h"

#include <fmt/format.h>

#include "codec/json_fields.h"

namespace eiderreel::codec {

using namespace fields;

namespace {

using upgrade::ClusterVersion;

constexpr std::size_t kNameMost = 100;    // characters of a name or a request
constexpr std::size_t kReasonMost = 300;  // characters of a reason or an obstacle

void put_texts(Writer& w, const char* name, const auto& texts) {
  w.Key(name);
  w.StartArray();
  for (const std::string& text : texts)
    w.String(text.data(), static_cast<rapidjson::SizeType>(text.size()));
  w.EndArray();
}

bool get_texts(const Value& v, const char* name, std::vector<std::string>& out) {
  const Value* list = field(v, name);
  if (!list) return true;
  if (!list->IsArray()) return false;
  for (const auto& text : list->GetArray()) {
    if (!text.IsString() || text.GetStringLength() > kReasonMost) return false;
    out.emplace_back(text.GetString(), text.GetStringLength());
  }
  return true;
}

void put_version(Writer& w, const char* name, ClusterVersion version) {
  put(w, name, std::uint64_t{upgrade::number(version)});
}

bool get_version(const Value& v, const char* name, ClusterVersion& out) {
  std::uint64_t number = 0;
  if (!get(v, name, number) || number == 0 || number > kAmountMax) return false;
  out = static_cast<ClusterVersion>(number);
  return true;
}

bool get_text(const Value& v, const char* name, std::size_t most, std::string& out) {
  return get(v, name, out) && !out.empty() && out.size() <= most;
}

// The name of the first field that is missing or invalid; empty: none is.
std::string read_order(const Value& v, upgrade::StepOrder& order) {
  std::string action;
  std::vector<std::string> without;
  if (!get(v, "action", action)) return "action";
  const auto known = upgrade::parse_action(action);
  if (!known) return "action";
  order.step.action = *known;
  if (!get_version(v, "from", order.from)) return "from";
  if (!get_text(v, "request", kNameMost, order.request)) return "request";
  if (!get_text(v, "who", kNameMost, order.who)) return "who";
  if (!get_text(v, "reason", kReasonMost, order.reason)) return "reason";
  if (!get_texts(v, "without", without)) return "without";
  order.step.without = {without.begin(), without.end()};
  return "";
}

void put_plan(Writer& w, const upgrade::StepPlan& plan) {
  put(w, "action", std::string(upgrade::to_string(plan.action)));
  put_version(w, "from", plan.from);
  if (plan.to) put_version(w, "to", *plan.to);
  put(w, "effect", plan.effect);
  put(w, "possible", plan.possible());
  w.Key("obstacles");
  w.StartArray();
  for (const upgrade::Obstacle& obstacle : plan.obstacles) {
    w.StartObject();
    put(w, "controller", obstacle.controller);
    put(w, "what", obstacle.what);
    w.EndObject();
  }
  w.EndArray();
}

const char* state_name(const upgrade::ControllerFacts& controller) {
  if (!controller.present()) return "away";
  return controller.versions ? "acting" : "earlier-build";
}

void put_controllers(Writer& w, const upgrade::StatusReport& report) {
  w.Key("controllers");
  w.StartArray();
  for (const upgrade::ControllerFacts& controller : report.controllers) {
    w.StartObject();
    put(w, "name", controller.name);
    put(w, "configured", controller.configured);
    put(w, "state", std::string(state_name(controller)));
    if (controller.versions) {
      put(w, "build", controller.versions->build);
      put_version(w, "oldest", controller.versions->range.oldest);
      put_version(w, "newest", controller.versions->range.newest);
      put_version(w, "acting", controller.versions->acting);
    }
    w.EndObject();
  }
  w.EndArray();
}

void put_conversion(Writer& w, const upgrade::ConversionReport& conversion) {
  w.Key("conversion");
  w.StartObject();
  const char* to = !conversion.to                                     ? "none"
                   : *conversion.to == upgrade::ProgressForm::compact ? "compact"
                                                                      : "bits";
  put(w, "to", std::string(to));
  put(w, "left", conversion.sum.values_left);
  put(w, "converted", conversion.sum.values_converted);
  put(w, "unreadable", conversion.sum.unreadable);
  put(w, "per_s", conversion.sum.values_per_s);
  w.Key("unknown_partitions");
  w.StartArray();
  for (const int partition : conversion.unknown_partitions) w.Int(partition);
  w.EndArray();
  w.EndObject();
}

void put_record(Writer& w, const upgrade::StepRecord& record) {
  put(w, "at_ms", static_cast<std::uint64_t>(record.at));
  put(w, "who", record.who);
  put(w, "action", std::string(upgrade::to_string(record.action)));
  put_version(w, "from", record.from);
  if (record.to) put_version(w, "to", *record.to);
  put(w, "outcome", std::string(upgrade::to_string(record.outcome)));
  put(w, "reason", record.reason);
  put(w, "request", record.request);
  put(w, "controller", record.controller);
  put_texts(w, "without", record.without);
  put_texts(w, "obstacles", record.obstacles);
}

}  // namespace

ParsedStepOrder parse_step_order(const std::string& body) {
  Doc d;
  if (!parse(d, body)) return {std::nullopt, "the body is not a JSON object"};
  upgrade::StepOrder order;
  const std::string wrong = read_order(d, order);
  if (!wrong.empty()) return {std::nullopt, wrong + ": is missing or invalid"};
  return {std::move(order), ""};
}

std::string encode(const upgrade::StepOrder& order) {
  return object([&](Writer& w) {
    put(w, "action", std::string(upgrade::to_string(order.step.action)));
    put_version(w, "from", order.from);
    put(w, "request", order.request);
    put(w, "who", order.who);
    put(w, "reason", order.reason);
    put_texts(w, "without", order.step.without);
  });
}

std::string encode(const upgrade::StepPlan& plan) {
  return object([&](Writer& w) { put_plan(w, plan); });
}

std::string encode(const upgrade::StepAnswer& answer) {
  return object([&](Writer& w) {
    put(w, "outcome", std::string(upgrade::to_string(answer.outcome)));
    put_plan(w, answer.plan);
  });
}

std::string encode(const upgrade::StatusReport& report) {
  return object([&](Writer& w) {
    put(w, "controller", report.controller);
    put(w, "enabled", report.enabled);
    put(w, "stands_aside", report.standby_reason);
    put(w, "current", report.current);
    if (report.cluster.version) put_version(w, "version", *report.cluster.version);
    put(w, "changed_by", report.changed_by);
    put(w, "changed_at_ms", static_cast<std::uint64_t>(report.changed_at));
    put(w, "last_request", report.last_request);
    if (report.step_in_doubt) put(w, "step_in_doubt", *report.step_in_doubt);
    put(w, "automatic", report.automatic);
    put(w, "in_maintenance_window", report.in_maintenance_window);
    put_controllers(w, report);
    put_conversion(w, report.conversion);
  });
}

std::string history_prefix() { return "u/history/"; }

std::string history_key(Ms at, const std::string& nonce) {
  return fmt::format("{}{:015}-{}", history_prefix(), at, nonce);
}

std::string encode(const upgrade::StepRecord& record, const std::string& nonce) {
  return object([&](Writer& w) {
    put(w, "n", nonce);
    put_record(w, record);
  });
}

std::optional<upgrade::StepRecord> parse_step_record(const std::string& value) {
  Doc d;
  if (!parse(d, value)) return std::nullopt;
  upgrade::StepRecord record;
  std::string action, outcome;
  std::uint64_t at = 0;
  if (!get(d, "at_ms", at) || !get(d, "who", record.who) || !get(d, "action", action) ||
      !get_version(d, "from", record.from) || !get(d, "outcome", outcome))
    return std::nullopt;
  const auto known_action = upgrade::parse_action(action);
  const auto known_outcome = upgrade::parse_outcome(outcome);
  if (!known_action || !known_outcome) return std::nullopt;
  record.at = static_cast<Ms>(at);
  record.action = *known_action;
  record.outcome = *known_outcome;
  if (ClusterVersion to; get_version(d, "to", to)) record.to = to;
  get(d, "reason", record.reason);
  get(d, "request", record.request);
  get(d, "controller", record.controller);
  get_texts(d, "without", record.without);
  get_texts(d, "obstacles", record.obstacles);
  return record;
}

std::string encode(const std::vector<upgrade::StepRecord>& records) {
  return object([&](Writer& w) {
    w.Key("history");
    w.StartArray();
    for (const auto& record : records) {
      w.StartObject();
      put_record(w, record);
      w.EndObject();
    }
    w.EndArray();
  });
}

}  // namespace eiderreel::codec
