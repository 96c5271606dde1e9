// Why JSON that reached a controller from outside was not read.
#pragma once
#include <string>

namespace eiderreel::upgrade {

/// The first field that is missing or invalid.
struct FieldError {
  std::string field;  // empty: the whole is not a JSON object

  /// The text for the operator.
  std::string text() const {
    return field.empty() ? "the body is not a JSON object" : field + ": is missing or invalid";
  }
};

}  // namespace eiderreel::upgrade
