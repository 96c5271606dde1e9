// Errors of decoding messages and stored values.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <utility>

namespace eiderreel::codec {

/// The kinds of errors that a decoder reports.
enum class DecodeFault : std::uint8_t {
  status,              // the HTTP status of the answer is not 200, so its body is not decoded
  not_json,            // the body is not JSON
  not_an_object,       // the body or a list element is not a JSON object
  missing_or_invalid,  // a required field is missing, null, or has a value that is not allowed
  invalid,             // an optional field is present, but its value is not allowed
  not_base64,          // the text of a bitmap is not valid base64
  not_a_bitmap,        // a bitmap is malformed, or has more tasks than a job may have
  not_whole_words,     // a peer's frame is empty, or its size not a multiple of 8 bytes
  malformed_message    // a peer's frame is not a valid message
};

/// A decoding error and the field that it concerns.
struct DecodeError {
  DecodeFault fault = DecodeFault::not_json;
  std::string field;   // name on the wire; empty: the error concerns no single field
  std::string detail;  // message of the underlying parser, or the HTTP status; may be empty
};

/// A decoded value, or the error that prevented decoding.
template <class Value>
using Decoded = tl::expected<Value, DecodeError>;

/// Converts a decoding result to an optional, for callers that treat all errors alike.
template <class Value>
std::optional<Value> to_optional(Decoded<Value> decoded) {
  if (!decoded) return std::nullopt;
  return std::move(*decoded);
}

/// The error as one line of text. For the fields of a job, users receive this text.
std::string to_string(const DecodeError& error);

/// An error in the named field.
tl::unexpected<DecodeError> field_error(DecodeFault fault, const std::string& field);

/// The error for an answer whose HTTP status is not 200.
tl::unexpected<DecodeError> status_error(int status);

}  // namespace eiderreel::codec
