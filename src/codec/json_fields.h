// Reading and writing of JSON fields, shared by the codecs of one counterpart each.
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

/// Iterative, since a recursive parser's stack would overflow on deeply nested input.
constexpr unsigned kFlags = rapidjson::kParseIterativeFlag | rapidjson::kParseValidateEncodingFlag;
/// The largest amount or duration in seconds that is accepted; no real one comes near.
constexpr double kAmountMax = 1e9;

/// Parses a body; false: it is not a JSON object.
bool parse(Doc& document, const std::string& body);
/// Parses a body that has to be a JSON object.
Decoded<Doc> parse_object(const std::string& body);

/// The field of an object; null: it is missing or null, which the protocol takes for the same.
const Value* field(const Value& object, const char* name);

/// Reads a field; false: it is missing or of another type, and `out` is as it was.
bool get(const Value& object, const char* name, std::string& out);
bool get(const Value& object, const char* name, bool& out);
bool get(const Value& object, const char* name, double& out);
bool get(const Value& object, const char* name, std::uint64_t& out);
bool get(const Value& object, const char* name, int& out);

/// The text of a JSON string, which may hold zero bytes.
std::string text_of(const Value& string);
/// The strings of a list; nothing: it is no list, or holds something else too.
std::optional<std::vector<std::string>> all_strings(const Value& list);
/// The strings of a list, without what else it holds; empty: it is no list.
std::vector<std::string> only_strings(const Value& list);

/// The value of an enumeration whose names stand in its order.
template <class Enum, std::size_t Count>
std::optional<Enum> named(const std::string& name, const std::array<const char*, Count>& names) {
  for (std::size_t i = 0; i < Count; ++i)
    if (name == names[i]) return static_cast<Enum>(i);
  return std::nullopt;
}
/// The name of a value of such an enumeration.
template <class Enum, std::size_t Count>
std::string name_of(Enum value, const std::array<const char*, Count>& names) {
  return names.at(static_cast<std::size_t>(value));
}

/// Reads the fields of one object, one call for each, and keeps the first fault. After a fault,
/// further calls do nothing.
class FieldReader {
 public:
  explicit FieldReader(const Value& object) : object_(object) {}

  /// Whether the field is there and not null.
  bool has(const char* name) const { return field(object_, name) != nullptr; }

  /// A field that has to be there.
  template <class T>
  void required(const char* name, T& out) {
    if (!error_) check(name, get(object_, name, out));
  }

  /// A field that has to be there, with the name of a value of an enumeration.
  template <class Enum, std::size_t Count>
  void required(const char* name, const std::array<const char*, Count>& names, Enum& out) {
    std::string text;
    required(name, text);
    const auto value = named<Enum>(text, names);
    check(name, value.has_value());
    if (value) out = *value;
  }

  /// A field that is ignored where it is missing or of another type.
  template <class T>
  void optional(const char* name, T& out) {
    get(object_, name, out);
  }

  /// A condition on a field that was read.
  void check(const char* name, bool valid) {
    if (!error_ && !valid) error_ = DecodeError{DecodeFault::missing_or_invalid, name, ""};
  }

  /// Whether any field was refused so far.
  bool failed() const { return error_.has_value(); }

  /// The value that was read from the fields, or the first fault.
  template <class T>
  Decoded<T> result(T value) const {
    if (error_) return tl::unexpected(*error_);
    return value;
  }

 private:
  const Value& object_;
  std::optional<DecodeError> error_;
};

/// A list of objects, each read by `parse_one`; one that it refuses makes the whole list invalid.
template <class T>
Decoded<std::vector<T>> parse_objects(const Value& object, const char* name,
                                      Decoded<T> (*parse_one)(const Value&)) {
  const Value* list = field(object, name);
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

/// The text of an object with the fields that `fill` writes.
template <class Fill>
std::string object(const Fill& fill) {
  Buffer buffer;
  Writer writer(buffer);
  writer.StartObject();
  fill(writer);
  writer.EndObject();
  return {buffer.GetString(), buffer.GetSize()};
}

/// Writes a field.
void put(Writer& writer, const char* name, const std::string& value);
void put(Writer& writer, const char* name, bool value);
void put(Writer& writer, const char* name, double value);
void put(Writer& writer, const char* name, std::uint64_t value);
void put(Writer& writer, const char* name, int value);
/// Writes a field whose value is JSON text already.
void put_raw(Writer& writer, const char* name, const std::string& json);
/// Writes a field with a list of strings.
void put_strings(Writer& writer, const char* name, const std::vector<std::string>& strings);

/// Writes a field with a list of objects, each with the fields that `fill` writes of an element.
template <class Element, class Fill>
void put_objects(Writer& writer, const char* name, const std::vector<Element>& elements,
                 const Fill& fill) {
  writer.Key(name);
  writer.StartArray();
  for (const auto& element : elements) {
    writer.StartObject();
    fill(element);
    writer.EndObject();
  }
  writer.EndArray();
}

}  // namespace eiderreel::codec::fields
