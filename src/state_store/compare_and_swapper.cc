// Executes compare-and-swap transactions: binds them to the cluster version, retries them and
// resolves uncertain outcomes.
#include "state_store/compare_and_swapper.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "runtime/http_status.h"
#include "state_store/store_error.h"
#include "state_store/store_http.h"

namespace eiderreel {

namespace k = constants;

void CompareAndSwapper::submit(CompareAndSwap transaction) {
  auto pending = std::make_shared<PendingTransaction>();
  pending->attempts_left = transaction.tries;
  pending->encoded_record_revision = dependencies_.acting_version.record_revision();
  pending->transaction = std::move(transaction);
  attempt(pending);
}

// ------------------------------------------------------------------------------- attempts

bool CompareAndSwapper::is_bound_to_version(const PendingTransaction& pending) const {
  return dependencies_.acting_version.enabled() &&
         pending.transaction.binding != VersionBinding::by_preconditions;
}

// Invariant 13: the node record of this controller contains the version under which it acts, so a
// precondition on the revision of that record binds a transaction to the version.
codec::Precondition CompareAndSwapper::version_precondition(
    const PendingTransaction& pending) const {
  const bool as_encoded = pending.transaction.binding == VersionBinding::as_encoded;
  return {.key = codec::node_key(dependencies_.settings.node),
          .revision = as_encoded ? pending.encoded_record_revision
                                 : dependencies_.acting_version.record_revision()};
}

void CompareAndSwapper::attempt(const PendingTransactionPtr& pending) {
  const CompareAndSwap& transaction = pending->transaction;
  std::vector<codec::Precondition> preconditions = transaction.preconditions;
  std::optional<codec::Precondition> version_guard;
  if (is_bound_to_version(*pending)) {
    version_guard = version_precondition(*pending);
    if (version_guard->revision == 0 || dependencies_.standby.in_standby()) {
      end_without_record(pending);
      return;
    }
    preconditions.push_back(*version_guard);
  }
  dependencies_.requests.submit(
      {.method = "POST",
       .path = store_http::kCommitPath,
       .body = codec::commit_body(preconditions, transaction.writes, dependencies_.lease.id()),
       .changes = static_cast<int>(transaction.writes.size()),
       .priority = transaction.request_priority,
       .done = [this, pending, version_guard](const HttpReply& reply) {
         on_reply(pending, version_guard, reply);
       }});
}

void CompareAndSwapper::on_reply(const PendingTransactionPtr& pending,
                                 const std::optional<codec::Precondition>& version_guard,
                                 const HttpReply& reply) {
  CompareAndSwap& transaction = pending->transaction;
  if (reply.status == http_status::kOk) {
    const auto revision = codec::parse_store_revision(reply.body).value_or(0);
    dependencies_.replica.apply_commit(transaction.writes, revision);
    transaction.done(CasOutcome::ok, revision);
  } else if (reply.status == http_status::kConflict) {
    on_conflict(pending, version_guard, reply);
  } else if (may_have_been_executed(reply.status) || transaction.in_doubt) {
    transaction.in_doubt = true;
    if (pending->attempts_left <= 1)
      transaction.done(CasOutcome::unknown, 0);
    else
      retry(pending, k::kRetryDelayMs);
  } else {
    transaction.done(CasOutcome::refused, 0);
  }
}

void CompareAndSwapper::on_conflict(const PendingTransactionPtr& pending,
                                    const std::optional<codec::Precondition>& version_guard,
                                    const HttpReply& reply) {
  if (version_guard &&
      codec::parse_failed_keys(reply.body) == std::vector<std::string>{version_guard->key}) {
    on_version_changed(pending, version_guard->revision);
    return;
  }
  // Invariant 8: the precondition may have failed because an earlier attempt of this transaction
  // was executed.
  if (pending->transaction.in_doubt) {
    pending->conflict_revision = codec::parse_store_revision(reply.body).value_or(0);
    pending->reads_left = k::kMaxCommitAttempts;
    read_back_write(pending);
  } else {
    pending->transaction.done(CasOutcome::conflict, 0);
  }
}

void CompareAndSwapper::retry(const PendingTransactionPtr& pending, Ms delay) {
  --pending->attempts_left;
  dependencies_.runtime.after(delay, [this, pending] { attempt(pending); });
}

// ------------------------------------------------------------------------- version binding

// Sends nothing: this controller has no node record or is in standby, so there is no valid record
// to which the transaction could be bound. An in-doubt transaction is not refused but retried
// later, since an earlier attempt may have been executed.
void CompareAndSwapper::end_without_record(const PendingTransactionPtr& pending) {
  const bool in_doubt = pending->transaction.in_doubt;
  if (in_doubt && pending->attempts_left > 1) {
    retry(pending, k::kRetryDelayMs);
    return;
  }
  const CasOutcome outcome = in_doubt ? CasOutcome::unknown : CasOutcome::refused;
  dependencies_.runtime.after(0, [pending, outcome] { pending->transaction.done(outcome, 0); });
}

// Invariant 13: only the version precondition failed, so the node record to which the transaction
// was bound has been replaced. No attempt has been executed, since that would have made the other
// preconditions fail too, and none can be executed any more.
void CompareAndSwapper::on_version_changed(const PendingTransactionPtr& pending,
                                           std::uint64_t guard_revision) {
  CompareAndSwap& transaction = pending->transaction;
  transaction.in_doubt = false;
  if (transaction.binding == VersionBinding::as_encoded || pending->attempts_left <= 1) {
    transaction.done(CasOutcome::refused, 0);
    return;
  }
  const bool version_updated = dependencies_.acting_version.record_revision() != guard_revision;
  retry(pending, version_updated ? 0 : k::kVersionRetryDelayMs);
}

// ----------------------------------------------------------------- in-doubt transactions

// The preconditions failed after an attempt with an unknown outcome: reads the first written key to
// find out whether that attempt wrote its value.
void CompareAndSwapper::read_back_write(const PendingTransactionPtr& pending) {
  const std::string& key = pending->transaction.writes.front().key;
  dependencies_.reader.read(key, [this, pending](const StoreResult<codec::StateRow>& row) {
    if (row) {
      on_read_back(pending, *row);
    } else if (pending->reads_left <= 1) {
      pending->transaction.done(CasOutcome::unknown, 0);
    } else {
      --pending->reads_left;
      dependencies_.runtime.after(k::kRetryDelayMs, [this, pending] { read_back_write(pending); });
    }
  });
}

// Revisions only grow, so a failed precondition on a revision never holds again, and no earlier
// attempt can be executed any more. A failed precondition on the absence of a key holds again once
// that key is deleted, so an earlier attempt may still be executed then.
void CompareAndSwapper::on_read_back(const PendingTransactionPtr& pending,
                                     const codec::StateRow& row) {
  const CompareAndSwap& transaction = pending->transaction;
  if (row.revision != 0 && row.nonce == transaction.nonce) {
    dependencies_.replica.apply_commit(transaction.writes, row.revision);
    transaction.done(CasOutcome::ok, row.revision);
    return;
  }
  const auto& preconditions = transaction.preconditions;
  const bool requires_absent_key = std::any_of(
      preconditions.begin(), preconditions.end(),
      [](const codec::Precondition& precondition) { return precondition.revision == 0; });
  if (requires_absent_key) {
    transaction.done(CasOutcome::superseded, 0);
    return;
  }
  // The write of this transaction may have been applied and overwritten since. The caller is
  // notified only after the replica has applied all changes up to the conflict.
  dependencies_.waiters.when_applied(pending->conflict_revision, [pending] {
    pending->transaction.done(CasOutcome::conflict, 0);
  });
}

}  // namespace eiderreel
