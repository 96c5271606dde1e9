// Reading and writing of JSON fields, shared by the codecs of all counterparts.
#pragma once
#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "codec/decode_error.h"

namespace eiderreel::codec::fields {

using Doc = rapidjson::Document;
using Value = rapidjson::Value;
using Buffer = rapidjson::StringBuffer;
using Writer = rapidjson::Writer<Buffer>;

/// Flags of the JSON parser. The iterative parser is used because a recursive one would overflow
/// the stack on deeply nested input.
constexpr unsigned kParseFlags =
    rapidjson::kParseIterativeFlag | rapidjson::kParseValidateEncodingFlag;
/// The largest accepted amount, or duration in seconds; far above any real value.
constexpr double kMaxAmount = 1e9;

/// Parses a body into `document`. Returns false if the body is not a JSON object.
bool parse_json_object(Doc& document, const std::string& body);
/// Parses a body that must be a JSON object; the error tells whether it is not JSON or not an
/// object.
Decoded<Doc> parse_object(const std::string& body);

/// Returns the value of a field, or a null pointer if the field is missing or null. The protocol
/// treats both alike.
const Value* find_field(const Value& object, const char* name);

/// Reads a field. Returns false and leaves `out` unchanged if the field is missing or has another
/// type.
bool get(const Value& object, const char* name, std::string& out);
bool get(const Value& object, const char* name, bool& out);
bool get(const Value& object, const char* name, double& out);
bool get(const Value& object, const char* name, std::uint64_t& out);
bool get(const Value& object, const char* name, int& out);

/// The content of a JSON string, which may contain NUL bytes.
std::string string_value(const Value& string);
/// The strings of a list, or nothing if the value is not a list or an element is not a string.
std::optional<std::vector<std::string>> parse_strings(const Value& list);
/// The elements of a list that are strings; other elements are skipped. Empty if the value is not a
/// list.
std::vector<std::string> string_elements(const Value& list);

/// The enumerator with the given name, or nothing if there is none. `names` is in the order of the
/// enumeration.
template <class Enum, std::size_t Count>
std::optional<Enum> enum_value(const std::string& name,
                               const std::array<const char*, Count>& names) {
  for (std::size_t i = 0; i < Count; ++i)
    if (name == names[i]) return static_cast<Enum>(i);
  return std::nullopt;
}
/// The name of an enumerator. `names` is in the order of the enumeration.
template <class Enum, std::size_t Count>
std::string enum_name(Enum value, const std::array<const char*, Count>& names) {
  return names.at(static_cast<std::size_t>(value));
}

/// Reads the fields of one object, one call per field, and records the first error. After an error,
/// further calls of `required` and `check` do nothing.
class FieldReader {
 public:
  explicit FieldReader(const Value& object) : object_(object) {}

  /// Whether the field is present and not null.
  bool has(const char* name) const { return find_field(object_, name) != nullptr; }

  /// Reads a field that must be present.
  template <class T>
  void required(const char* name, T& out) {
    if (!error_) check(name, get(object_, name, out));
  }

  /// Reads a field that must be present and contain the name of an enumerator.
  template <class Enum, std::size_t Count>
  void required(const char* name, const std::array<const char*, Count>& names, Enum& out) {
    std::string text;
    required(name, text);
    const auto value = enum_value<Enum>(text, names);
    check(name, value.has_value());
    if (value) out = *value;
  }

  /// Reads a field that may be missing. A value of another type is ignored.
  template <class T>
  void optional(const char* name, T& out) {
    get(object_, name, out);
  }

  /// Records an error for the field if `valid` is false.
  void check(const char* name, bool valid) {
    if (!error_ && !valid) error_ = DecodeError{DecodeFault::missing_or_invalid, name, ""};
  }

  /// Whether an error has been recorded.
  bool failed() const { return error_.has_value(); }

  /// The value built from the fields, or the first error.
  template <class T>
  Decoded<T> result(T value) const {
    if (error_) return tl::unexpected(*error_);
    return value;
  }

 private:
  const Value& object_;
  std::optional<DecodeError> error_;
};

/// Parses a field that is a list of objects, each with `parse_one`. One invalid element makes the
/// whole list invalid.
template <class T>
Decoded<std::vector<T>> parse_objects(const Value& object, const char* name,
                                      Decoded<T> (*parse_one)(const Value&)) {
  const Value* list = find_field(object, name);
  if (list == nullptr || !list->IsArray())
    return field_error(DecodeFault::missing_or_invalid, name);
  std::vector<T> elements;
  for (const auto& element : list->GetArray()) {
    if (!element.IsObject()) return field_error(DecodeFault::not_an_object, name);
    auto parsed = parse_one(element);
    if (!parsed) return tl::unexpected(parsed.error());
    elements.push_back(std::move(*parsed));
  }
  return elements;
}

/// Encodes a JSON object whose fields are written by `write_fields`.
template <class WriteFields>
std::string encode_object(const WriteFields& write_fields) {
  Buffer buffer;
  Writer writer(buffer);
  writer.StartObject();
  write_fields(writer);
  writer.EndObject();
  return {buffer.GetString(), buffer.GetSize()};
}

/// Writes a field with its value.
void put(Writer& writer, const char* name, const std::string& value);
void put(Writer& writer, const char* name, bool value);
void put(Writer& writer, const char* name, double value);
void put(Writer& writer, const char* name, std::uint64_t value);
void put(Writer& writer, const char* name, int value);
/// Writes a field whose value is already encoded as JSON.
void put_raw(Writer& writer, const char* name, const std::string& json);
/// Writes a field with a list of strings.
void put_strings(Writer& writer, const char* name, const std::vector<std::string>& strings);

/// Writes a field with a list of objects. `write_fields` writes the fields of one element.
template <class Element, class WriteFields>
void put_objects(Writer& writer, const char* name, const std::vector<Element>& elements,
                 const WriteFields& write_fields) {
  writer.Key(name);
  writer.StartArray();
  for (const auto& element : elements) {
    writer.StartObject();
    write_fields(element);
    writer.EndObject();
  }
  writer.EndArray();
}

}  // namespace eiderreel::codec::fields
