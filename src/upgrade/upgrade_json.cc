// The fields of each message and record, in wire order.
#include "upgrade/upgrade_json.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "codec/json_fields.h"

namespace eiderreel::codec {

using namespace fields;

namespace {

using upgrade::ClusterVersion;
using upgrade::FieldError;

constexpr std::size_t kMaxNameChars = 100;    // characters of a name or a request
constexpr std::size_t kMaxReasonChars = 300;  // characters of a reason or an obstacle

bool get_string_list(const Value& object, const char* name, std::vector<std::string>& out) {
  const Value* list = find_field(object, name);
  if (!list) return true;
  auto strings = parse_strings(*list);
  if (!strings) return false;
  const bool too_long = std::any_of(strings->begin(), strings->end(), [](const std::string& text) {
    return text.size() > kMaxReasonChars;
  });
  if (too_long) return false;
  out = std::move(*strings);
  return true;
}

void put_version(Writer& writer, const char* name, ClusterVersion version) {
  put(writer, name, std::uint64_t{upgrade::number(version)});
}

bool get_version(const Value& object, const char* name, ClusterVersion& out) {
  std::uint64_t number = 0;
  if (!get(object, name, number) || number == 0 || number > static_cast<std::uint64_t>(kMaxAmount))
    return false;
  out = static_cast<ClusterVersion>(number);
  return true;
}

bool get_text(const Value& object, const char* name, std::size_t max_chars, std::string& out) {
  return get(object, name, out) && !out.empty() && out.size() <= max_chars;
}

tl::unexpected<FieldError> invalid_field(const char* field) {
  return tl::make_unexpected(FieldError{field});
}

tl::expected<upgrade::StepOrder, FieldError> order_from_json(const Value& object) {
  upgrade::StepOrder order;
  std::string action;
  if (!get(object, "action", action)) return invalid_field("action");
  const auto parsed_action = upgrade::parse_action(action);
  if (!parsed_action) return tl::make_unexpected(parsed_action.error());
  order.step.action = *parsed_action;
  if (!get_version(object, "from", order.from)) return invalid_field("from");
  if (!get_text(object, "request", kMaxNameChars, order.request)) return invalid_field("request");
  if (!get_text(object, "who", kMaxNameChars, order.who)) return invalid_field("who");
  if (!get_text(object, "reason", kMaxReasonChars, order.reason)) return invalid_field("reason");
  std::vector<std::string> without;
  if (!get_string_list(object, "without", without)) return invalid_field("without");
  order.step.without = {without.begin(), without.end()};
  return order;
}

void put_obstacle(Writer& writer, const upgrade::Obstacle& obstacle) {
  put(writer, "controller", obstacle.controller);
  put(writer, "what", obstacle.what);
}

void put_plan(Writer& writer, const upgrade::StepPlan& plan) {
  put(writer, "action", std::string(upgrade::to_string(plan.action)));
  put_version(writer, "from", plan.from);
  if (plan.to) put_version(writer, "to", *plan.to);
  put(writer, "effect", plan.effect);
  put(writer, "possible", plan.possible());
  put_objects(writer, "obstacles", plan.obstacles,
              [&](const upgrade::Obstacle& obstacle) { put_obstacle(writer, obstacle); });
}

const char* state_name(const upgrade::ControllerState& controller) {
  if (!controller.present()) return "away";
  return controller.versions ? "acting" : "earlier-build";
}

void put_controller(Writer& writer, const upgrade::ControllerState& controller) {
  put(writer, "name", controller.name);
  put(writer, "configured", controller.configured);
  put(writer, "state", std::string(state_name(controller)));
  if (!controller.versions) return;
  put(writer, "build", controller.versions->build);
  put_version(writer, "oldest", controller.versions->range.oldest);
  put_version(writer, "newest", controller.versions->range.newest);
  put_version(writer, "acting", controller.versions->acting);
}

const char* form_name(const std::optional<upgrade::ProgressForm>& form) {
  if (!form) return "none";
  return *form == upgrade::ProgressForm::compact ? "compact" : "bits";
}

void put_conversion(Writer& writer, const upgrade::ConversionReport& conversion) {
  writer.Key("conversion");
  writer.StartObject();
  put(writer, "to", std::string(form_name(conversion.to)));
  put(writer, "left", conversion.sum.values_left);
  put(writer, "converted", conversion.sum.values_converted);
  put(writer, "unreadable", conversion.sum.unreadable);
  put(writer, "per_s", conversion.sum.values_per_s);
  writer.Key("unknown_partitions");
  writer.StartArray();
  for (const int partition : conversion.unknown_partitions) writer.Int(partition);
  writer.EndArray();
  writer.EndObject();
}

void put_record(Writer& writer, const upgrade::StepRecord& record) {
  put(writer, "at_ms", static_cast<std::uint64_t>(record.at));
  put(writer, "who", record.who);
  put(writer, "action", std::string(upgrade::to_string(record.action)));
  put_version(writer, "from", record.from);
  if (record.to) put_version(writer, "to", *record.to);
  put(writer, "outcome", std::string(upgrade::to_string(record.outcome)));
  put(writer, "reason", record.reason);
  put(writer, "request", record.request);
  put(writer, "controller", record.controller);
  put_strings(writer, "without", record.without);
  put_strings(writer, "obstacles", record.obstacles);
}

}  // namespace

ParsedStepOrder parse_step_order(const std::string& body) {
  Doc document;
  if (!parse_json_object(document, body)) return {std::nullopt, FieldError{}.text()};
  auto order = order_from_json(document);
  if (!order) return {std::nullopt, order.error().text()};
  return {std::move(*order), ""};
}

std::string encode(const upgrade::StepOrder& order) {
  return encode_object([&](Writer& writer) {
    put(writer, "action", std::string(upgrade::to_string(order.step.action)));
    put_version(writer, "from", order.from);
    put(writer, "request", order.request);
    put(writer, "who", order.who);
    put(writer, "reason", order.reason);
    put_strings(writer, "without", {order.step.without.begin(), order.step.without.end()});
  });
}

std::string encode(const upgrade::StepPlan& plan) {
  return encode_object([&](Writer& writer) { put_plan(writer, plan); });
}

std::string encode(const upgrade::StepAnswer& answer) {
  return encode_object([&](Writer& writer) {
    put(writer, "outcome", std::string(upgrade::to_string(answer.outcome)));
    put_plan(writer, answer.plan);
  });
}

std::string encode(const upgrade::StatusReport& report) {
  return encode_object([&](Writer& writer) {
    put(writer, "controller", report.controller);
    put(writer, "enabled", report.enabled);
    put(writer, "stands_aside", report.standby_reason);
    put(writer, "current", report.current);
    if (report.cluster.version) put_version(writer, "version", *report.cluster.version);
    put(writer, "changed_by", report.changed_by);
    put(writer, "changed_at_ms", static_cast<std::uint64_t>(report.changed_at));
    put(writer, "last_request", report.last_request);
    if (report.step_in_doubt) put(writer, "step_in_doubt", *report.step_in_doubt);
    put(writer, "automatic", report.automatic);
    put(writer, "in_maintenance_window", report.in_maintenance_window);
    put_objects(
        writer, "controllers", report.controllers,
        [&](const upgrade::ControllerState& controller) { put_controller(writer, controller); });
    put_conversion(writer, report.conversion);
  });
}

std::string history_prefix() { return "u/history/"; }

std::string history_key(Ms at, const std::string& nonce) {
  return fmt::format("{}{:015}-{}", history_prefix(), at, nonce);
}

std::string encode(const upgrade::StepRecord& record, const std::string& nonce) {
  return encode_object([&](Writer& writer) {
    put(writer, "n", nonce);
    put_record(writer, record);
  });
}

tl::expected<upgrade::StepRecord, FieldError> parse_step_record(const std::string& value) {
  Doc document;
  if (!parse_json_object(document, value)) return tl::make_unexpected(FieldError{});
  upgrade::StepRecord record;
  std::uint64_t at_ms = 0;
  if (!get(document, "at_ms", at_ms)) return invalid_field("at_ms");
  if (!get(document, "who", record.who)) return invalid_field("who");
  std::string action;
  if (!get(document, "action", action)) return invalid_field("action");
  if (!get_version(document, "from", record.from)) return invalid_field("from");
  std::string outcome;
  if (!get(document, "outcome", outcome)) return invalid_field("outcome");
  const auto parsed_action = upgrade::parse_action(action);
  if (!parsed_action) return tl::make_unexpected(parsed_action.error());
  const auto parsed_outcome = upgrade::parse_outcome(outcome);
  if (!parsed_outcome) return tl::make_unexpected(parsed_outcome.error());
  record.at = static_cast<Ms>(at_ms);
  record.action = *parsed_action;
  record.outcome = *parsed_outcome;
  auto to = upgrade::kFirstVersion;
  if (get_version(document, "to", to)) record.to = to;
  get(document, "reason", record.reason);
  get(document, "request", record.request);
  get(document, "controller", record.controller);
  get_string_list(document, "without", record.without);
  get_string_list(document, "obstacles", record.obstacles);
  return record;
}

std::string encode(const std::vector<upgrade::StepRecord>& records) {
  return encode_object([&](Writer& writer) {
    put_objects(writer, "history", records,
                [&](const upgrade::StepRecord& record) { put_record(writer, record); });
  });
}

}  // namespace eiderreel::codec
