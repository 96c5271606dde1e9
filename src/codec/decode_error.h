// Why something that came over the wire could not be read.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <utility>

namespace eiderreel::codec {

/// The kinds of fault that a decoder finds.
enum class DecodeFault : std::uint8_t {
  status,              // the request was not answered with 200, so there is nothing to decode
  not_json,            // the body is not JSON
  not_an_object,       // the body, or an element of a list, is not a JSON object
  missing_or_invalid,  // a required field is missing, null, or has a value that is not allowed
  invalid,             // an optional field is there, but its value is not allowed
  not_base64,          // the text of a bitmap is not base64
  not_a_bitmap,        // the bytes of a bitmap are malformed, or it holds more than a job may have
  not_whole_words,     // the frame of a peer is empty, or not a multiple of 8 bytes
  malformed_message    // the frame of a peer is not a message
};

/// What is wrong, and where.
struct DecodeError {
  DecodeFault fault = DecodeFault::not_json;
  std::string field;   // the name on the wire; empty: the fault is not in one field
  std::string detail;  // what the underlying parser says, or the HTTP status; may be empty
};

/// A decoded value, or what is wrong with its encoding.
template <class Value>
using Decoded = tl::expected<Value, DecodeError>;

/// The decoded value without the reason of its absence, for who does the same whatever is wrong.
template <class Value>
std::optional<Value> optional_of(Decoded<Value> decoded) {
  if (!decoded) return std::nullopt;
  return std::move(*decoded);
}

/// The error in one sentence. For fields of a job this is the text that users are told.
std::string to_string(const DecodeError& error);

/// A fault in the named field.
tl::unexpected<DecodeError> field_error(DecodeFault fault, const std::string& field);

/// For requests that were answered with a status other than 200.
tl::unexpected<DecodeError> status_error(int status);

}  // namespace eiderreel::codec
