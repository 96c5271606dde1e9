// What can go wrong with a request to the state store, and the results that carry it.
#pragma once
#include <functional>
#include <string>
#include <tl/expected.hpp>

namespace eiderreel {

/// Why a request to the state store has failed.
enum class StoreErrorKind {
  no_answer,        // none arrived in time; the request may have been executed, or still may be
  unavailable,      // the state store did not execute it
  throttled,        // over the limit of requests, here or at the state store; not executed
  server_error,     // a 5xx that does not tell whether the request was executed
  rejected,         // any other status that the operation does not expect
  malformed_reply,  // the reply cannot be parsed
  replica_behind,   // the replica did not reach the asked revision in time
};

/// A failed request to the state store.
struct StoreError {
  StoreErrorKind kind = StoreErrorKind::no_answer;
  int http_status = 0;    // of the reply; 0: there was none
  std::string operation;  // "read", "list", "compare" or "catch up"
  std::string key;        // the key or the prefix that was asked for; empty: several keys
};

/// What a request to the state store yields.
template <typename T>
using StoreResult = tl::expected<T, StoreError>;

/// Takes the result of an asynchronous request. It is called exactly once.
template <typename T>
using StoreCallback = std::function<void(StoreResult<T>)>;

/// Whether a reply with this status leaves it open if the request was executed: there was no
/// answer, or one of a server that failed midway. A 503 was not executed, by the protocol.
bool leaves_in_doubt(int status);

/// The error behind a reply that an operation cannot use, by its status.
StoreError error_of_reply(int status, std::string operation, std::string key);

/// The name of the kind, for messages.
std::string to_string(StoreErrorKind kind);
/// One line with the operation, the key, the kind and the status.
std::string to_string(const StoreError& error);

}  // namespace eiderreel
