// A compare-and-swap transaction of the state store and its possible outcomes.
#pragma once
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "codec/state_json.h"
#include "constants.h"
#include "state_store/request_priority.h"

namespace eiderreel {

/// The outcome of a transaction.
enum class CasOutcome {
  ok,          // committed and durable
  conflict,    // a precondition failed; the transaction was not and will not be executed
  superseded,  // an earlier attempt got no reply, and then the precondition that a key is absent
               // failed because of another writer's value; the earlier attempt may still be
               // executed once that key is deleted
  refused,     // not executed
  unknown,     // it may have been executed, or may still be
};

/// The name of the outcome, for log messages.
std::string to_string(CasOutcome outcome);

/// How a transaction is bound to the cluster version under which its controller acts; see
/// upgrade::ActingVersion.
enum class VersionBinding {
  current,     // to the version when it is sent; retried after a version change
  as_encoded,  // to the version under which its values were encoded; refused under another one
  by_preconditions,  // only by its own preconditions; none is added
};

/// A transaction: writes that are applied atomically if every precondition holds.
struct CompareAndSwap {
  std::vector<codec::Precondition> preconditions;
  /// The first write puts a value that contains the nonce of this transaction, so that reading its
  /// key back shows whether this transaction wrote the value.
  std::vector<codec::Write> writes;
  std::string nonce;
  RequestPriority request_priority = RequestPriority::user;
  int tries = constants::kMaxCommitAttempts;
  /// Called exactly once. `store_revision` is the revision of the writes if the outcome is `ok`,
  /// otherwise 0.
  std::function<void(CasOutcome, std::uint64_t store_revision)> done;
  /// An earlier attempt got no conclusive reply and may have been executed. The refusal of a later
  /// attempt does not settle the earlier one, so a caller that retries after `unknown` must submit
  /// the same transaction with this flag still set.
  bool in_doubt = false;
  VersionBinding binding = VersionBinding::current;
};

}  // namespace eiderreel
