// Validation errors of JSON requests and records.
#pragma once
#include <string>

namespace eiderreel::upgrade {

/// The first field that is missing or invalid.
struct FieldError {
  std::string field;  // empty if the document is not a JSON object

  /// The error text for the operator.
  std::string text() const {
    return field.empty() ? "the body is not a JSON object" : field + ": is missing or invalid";
  }
};

}  // namespace eiderreel::upgrade
