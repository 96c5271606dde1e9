// A transaction at the state store, and what can come of it.
#pragma once
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "codec/state_json.h"
#include "constants.h"
#include "state_store/request_priority.h"

namespace eiderreel {

/// What has become of a transaction.
enum class CasOutcome {
  ok,          // it is durable
  conflict,    // a precondition failed: nothing was done, and nothing will be
  superseded,  // a precondition on an absent key failed after a try without answer: somebody else's
               // write stands there, but that try may still land once the key is gone
  refused,     // nothing was done
  unknown,     // it may have been done, or may still be
};

/// The name of the outcome, for messages.
std::string to_string(CasOutcome outcome);

/// How a transaction is bound to the cluster version that its controller acts under, see
/// upgrade::ActingVersion.
enum class VersionBinding {
  current,           // to the one at its sending; after a change of version it is sent again
  as_encoded,        // its values depend on the version, so it is never sent under another
  by_preconditions,  // it has all the preconditions that it needs, so none is added
};

/// A transaction: writes that take effect together, if every precondition holds.
struct CompareAndSwap {
  std::vector<codec::Precondition> preconditions;
  /// The first one puts a value with the nonce of this transaction, by which it is recognized.
  std::vector<codec::Write> writes;
  std::string nonce;
  RequestPriority request_priority = RequestPriority::user;
  int tries = constants::kMaxCommitAttempts;
  /// Called once. `store_revision` is that of the writes where the outcome is `ok`, otherwise 0.
  std::function<void(CasOutcome, std::uint64_t store_revision)> done;
  /// An earlier try of it is without answer. A later try that is refused says nothing of that one,
  /// so whoever tries again after `unknown` sends this same transaction with its doubt kept.
  bool doubt = false;
  VersionBinding binding = VersionBinding::current;
};

}  // namespace eiderreel
