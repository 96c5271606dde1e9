// Reading and writing of JSON fields with RapidJSON.
#include "codec/json_fields.h"

#include <rapidjson/error/en.h>

#include <cmath>

namespace eiderreel::codec::fields {

bool parse_json_object(Doc& document, const std::string& body) {
  document.Parse<kParseFlags>(body.data(), body.size());
  return !document.HasParseError() && document.IsObject();
}

Decoded<Doc> parse_object(const std::string& body) {
  Doc document;
  if (parse_json_object(document, body)) return document;
  if (!document.HasParseError())
    return tl::unexpected<DecodeError>({DecodeFault::not_an_object, "", ""});
  const std::string reason = rapidjson::GetParseError_En(document.GetParseError());
  return tl::unexpected<DecodeError>({DecodeFault::not_json, "", reason});
}

const Value* find_field(const Value& object, const char* name) {
  const auto member = object.FindMember(name);
  return member == object.MemberEnd() || member->value.IsNull() ? nullptr : &member->value;
}

bool get(const Value& object, const char* name, std::string& out) {
  const Value* value = find_field(object, name);
  if (value == nullptr || !value->IsString()) return false;
  out = string_value(*value);
  return true;
}

bool get(const Value& object, const char* name, bool& out) {
  const Value* value = find_field(object, name);
  if (value == nullptr || !value->IsBool()) return false;
  out = value->GetBool();
  return true;
}

bool get(const Value& object, const char* name, double& out) {
  const Value* value = find_field(object, name);
  if (value == nullptr || !value->IsNumber()) return false;
  const double number = value->GetDouble();
  if (!std::isfinite(number)) return false;
  out = number;
  return true;
}

bool get(const Value& object, const char* name, std::uint64_t& out) {
  const Value* value = find_field(object, name);
  if (value == nullptr || !value->IsUint64()) return false;
  out = value->GetUint64();
  return true;
}

bool get(const Value& object, const char* name, int& out) {
  const Value* value = find_field(object, name);
  if (value == nullptr || !value->IsInt()) return false;
  out = value->GetInt();
  return true;
}

std::string string_value(const Value& string) {
  return {string.GetString(), string.GetStringLength()};
}

std::optional<std::vector<std::string>> parse_strings(const Value& list) {
  if (!list.IsArray()) return std::nullopt;
  auto strings = string_elements(list);
  if (strings.size() != list.Size()) return std::nullopt;
  return strings;
}

std::vector<std::string> string_elements(const Value& list) {
  std::vector<std::string> strings;
  if (!list.IsArray()) return strings;
  for (const auto& element : list.GetArray())
    if (element.IsString()) strings.push_back(string_value(element));
  return strings;
}

void put(Writer& writer, const char* name, const std::string& value) {
  writer.Key(name);
  writer.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
}

void put(Writer& writer, const char* name, bool value) {
  writer.Key(name);
  writer.Bool(value);
}

void put(Writer& writer, const char* name, double value) {
  writer.Key(name);
  writer.Double(value);
}

void put(Writer& writer, const char* name, std::uint64_t value) {
  writer.Key(name);
  writer.Uint64(value);
}

void put(Writer& writer, const char* name, int value) {
  writer.Key(name);
  writer.Int(value);
}

void put_raw(Writer& writer, const char* name, const std::string& json) {
  writer.Key(name);
  writer.RawValue(json.data(), json.size(), rapidjson::kObjectType);
}

void put_strings(Writer& writer, const char* name, const std::vector<std::string>& strings) {
  writer.Key(name);
  writer.StartArray();
  for (const auto& string : strings)
    writer.String(string.data(), static_cast<rapidjson::SizeType>(string.size()));
  writer.EndArray();
}

}  // namespace eiderreel::codec::fields
