// Classifies failed requests to the state store and formats them for messages.
#include "state_store/store_error.h"

#include <utility>

#include "runtime/http_status.h"

namespace eiderreel {
namespace {

StoreErrorKind kind_of_status(int status) {
  switch (status) {
    case http_status::kNoAnswer:
      return StoreErrorKind::no_answer;
    case http_status::kOk:
      return StoreErrorKind::malformed_reply;  // the status is a success, so the body was malformed
    case http_status::kTooManyRequests:
      return StoreErrorKind::throttled;
    case http_status::kServiceUnavailable:
      return StoreErrorKind::unavailable;
    default:
      return may_have_been_executed(status) ? StoreErrorKind::server_error
                                            : StoreErrorKind::rejected;
  }
}

}  // namespace

bool may_have_been_executed(int status) {
  if (status == http_status::kNoAnswer) return true;
  return status >= http_status::kServerError && status != http_status::kServiceUnavailable;
}

StoreError error_of_reply(int status, std::string operation, std::string key) {
  return {.kind = kind_of_status(status),
          .http_status = status,
          .operation = std::move(operation),
          .key = std::move(key)};
}

std::string to_string(StoreErrorKind kind) {
  switch (kind) {
    case StoreErrorKind::no_answer:
      return "no answer";
    case StoreErrorKind::unavailable:
      return "unavailable";
    case StoreErrorKind::throttled:
      return "throttled";
    case StoreErrorKind::server_error:
      return "server error";
    case StoreErrorKind::rejected:
      return "rejected";
    case StoreErrorKind::malformed_reply:
      return "malformed reply";
    case StoreErrorKind::replica_behind:
      return "replica behind";
  }
  return "unknown error";
}

std::string to_string(const StoreError& error) {
  std::string text = error.operation;
  if (!error.key.empty()) text += " " + error.key;
  text += ": " + to_string(error.kind);
  if (error.http_status != 0) text += " (status " + std::to_string(error.http_status) + ")";
  return text;
}

}  // namespace eiderreel
