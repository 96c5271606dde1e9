// Construction and text form of decoding errors.
#include "codec/decode_error.h"

namespace eiderreel::codec {

std::string to_string(const DecodeError& error) {
  switch (error.fault) {
    case DecodeFault::status:
      return "answered with status " + error.detail;
    case DecodeFault::not_json:
      return "not JSON: " + error.detail;
    case DecodeFault::not_an_object:
      return "not an object";
    case DecodeFault::missing_or_invalid:
      return "field " + error.field + " is missing or invalid";
    case DecodeFault::invalid:
      return "field " + error.field + " is invalid";
    case DecodeFault::not_base64:
      return "not base64";
    case DecodeFault::not_a_bitmap:
      return "not a bitmap of tasks: " + error.detail;
    case DecodeFault::not_whole_words:
      return "not whole words of 8 bytes";
    case DecodeFault::malformed_message:
      return "not a peer message: " + error.detail;
  }
  return "unknown fault";
}

tl::unexpected<DecodeError> field_error(DecodeFault fault, const std::string& field) {
  return tl::unexpected<DecodeError>({fault, field, ""});
}

tl::unexpected<DecodeError> status_error(int status) {
  return tl::unexpected<DecodeError>({DecodeFault::status, "", std::to_string(status)});
}

}  // namespace eiderreel::codec
