// Errors of requests to the state store, and the result types that carry them.
#pragma once
#include <functional>
#include <string>
#include <tl/expected.hpp>

namespace eiderreel {

/// Why a request to the state store failed.
enum class StoreErrorKind {
  no_answer,     // no reply within the timeout; the request may have been executed, or may still be
  unavailable,   // 503: the state store did not execute the request
  throttled,     // over the rate limit of this node or of the state store; not executed
  server_error,  // another 5xx status; the request may have been executed
  rejected,      // another status that the operation does not expect
  malformed_reply,  // the reply cannot be parsed
  replica_behind,   // the replica did not reach the requested revision in time
};

/// A failed request to the state store.
struct StoreError {
  StoreErrorKind kind = StoreErrorKind::no_answer;
  int http_status = 0;    // of the reply; 0: no reply
  std::string operation;  // "read", "list", "compare" or "catch up"
  std::string key;        // the requested key or prefix; empty if several keys were requested
};

/// The result of a request to the state store.
template <typename T>
using StoreResult = tl::expected<T, StoreError>;

/// Receives the result of an asynchronous request. Called exactly once.
template <typename T>
using StoreCallback = std::function<void(StoreResult<T>)>;

/// Whether a request with this reply status may have been executed: true if there was no reply, or
/// a 5xx status other than 503. The protocol guarantees that a request with reply 503 was not
/// executed.
bool may_have_been_executed(int status);

/// Builds the error for a reply that an operation cannot use, from the reply's status.
StoreError error_of_reply(int status, std::string operation, std::string key);

/// The name of the error kind, for messages.
std::string to_string(StoreErrorKind kind);
/// Formats the operation, key, kind and status as one line.
std::string to_string(const StoreError& error);

}  // namespace eiderreel
