// Carries out transactions: bound to a version, tried again, in doubt until there is proof.
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
  auto swap = std::make_shared<Swap>();
  swap->tries_left = transaction.tries;
  swap->encoded_under = dependencies_.acting_version.record_revision();
  swap->transaction = std::move(transaction);
  attempt(swap);
}

// ------------------------------------------------------------------------------- one try

bool CompareAndSwapper::is_bound(const Swap& swap) const {
  return dependencies_.acting_version.enabled() &&
         swap.transaction.binding != VersionBinding::by_preconditions;
}

// Invariant 13: the record of this controller names the version that it acts under.
codec::Precondition CompareAndSwapper::version_precondition(const Swap& swap) const {
  const bool as_encoded = swap.transaction.binding == VersionBinding::as_encoded;
  return {
      .key = codec::node_key(dependencies_.settings.node),
      .revision = as_encoded ? swap.encoded_under : dependencies_.acting_version.record_revision()};
}

void CompareAndSwapper::attempt(const SwapPtr& swap) {
  const CompareAndSwap& transaction = swap->transaction;
  std::vector<codec::Precondition> preconditions = transaction.preconditions;
  std::optional<codec::Precondition> version_guard;
  if (is_bound(*swap)) {
    version_guard = version_precondition(*swap);
    if (version_guard->revision == 0 || dependencies_.standby.in_standby()) {
      end_without_record(swap);
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
       .done = [this, swap, version_guard](const HttpReply& reply) {
         on_reply(swap, version_guard, reply);
       }});
}

void CompareAndSwapper::on_reply(const SwapPtr& swap,
                                 const std::optional<codec::Precondition>& version_guard,
                                 const HttpReply& reply) {
  CompareAndSwap& transaction = swap->transaction;
  if (reply.status == http_status::kOk) {
    const auto revision = codec::parse_store_revision(reply.body).value_or(0);
    dependencies_.replica.apply_commit(transaction.writes, revision);
    transaction.done(CasOutcome::ok, revision);
  } else if (reply.status == http_status::kConflict) {
    on_conflict(swap, version_guard, reply);
  } else if (leaves_in_doubt(reply.status) || transaction.doubt) {
    transaction.doubt = true;
    if (swap->tries_left <= 1)
      transaction.done(CasOutcome::unknown, 0);
    else
      retry(swap, k::kRetryMs);
  } else {
    transaction.done(CasOutcome::refused, 0);
  }
}

void CompareAndSwapper::on_conflict(const SwapPtr& swap,
                                    const std::optional<codec::Precondition>& version_guard,
                                    const HttpReply& reply) {
  if (version_guard &&
      codec::parse_failed_keys(reply.body) == std::vector<std::string>{version_guard->key}) {
    on_version_changed(swap, version_guard->revision);
    return;
  }
  // Invariant 8: an earlier try of ours may be what the preconditions met.
  if (swap->transaction.doubt) {
    swap->conflict_revision = codec::parse_store_revision(reply.body).value_or(0);
    swap->reads_left = k::kCommitTries;
    read_back(swap);
  } else {
    swap->transaction.done(CasOutcome::conflict, 0);
  }
}

void CompareAndSwapper::retry(const SwapPtr& swap, Ms pause) {
  --swap->tries_left;
  dependencies_.runtime.after(pause, [this, swap] { attempt(swap); });
}

// ------------------------------------------------------------------------- version binding

// There is no record of this controller to bind a write to, so none is sent. An earlier try may
// still have landed.
void CompareAndSwapper::end_without_record(const SwapPtr& swap) {
  const bool doubt = swap->transaction.doubt;
  if (doubt && swap->tries_left > 1) {
    retry(swap, k::kRetryMs);
    return;
  }
  const CasOutcome outcome = doubt ? CasOutcome::unknown : CasOutcome::refused;
  dependencies_.runtime.after(0, [swap, outcome] { swap->transaction.done(outcome, 0); });
}

// Invariant 13: the record that the transaction was bound to is no longer there, and all else is as
// the transaction asks. No try of it has landed, since that would have changed what it compares,
// and none can any more.
void CompareAndSwapper::on_version_changed(const SwapPtr& swap, std::uint64_t guard_revision) {
  CompareAndSwap& transaction = swap->transaction;
  transaction.doubt = false;
  if (transaction.binding == VersionBinding::as_encoded || swap->tries_left <= 1) {
    transaction.done(CasOutcome::refused, 0);
    return;
  }
  const bool learnt = dependencies_.acting_version.record_revision() != guard_revision;
  retry(swap, learnt ? 0 : k::kVersionRetryMs);
}

// ------------------------------------------------------------------------- settling doubts

// The preconditions failed after a try without answer, so it is read whose write stands there.
void CompareAndSwapper::read_back(const SwapPtr& swap) {
  const std::string& key = swap->transaction.writes.front().key;
  dependencies_.reader.read(key, [this, swap](const StoreResult<codec::StateRow>& row) {
    if (row) {
      on_read_back(swap, *row);
    } else if (swap->reads_left <= 1) {
      swap->transaction.done(CasOutcome::unknown, 0);
    } else {
      --swap->reads_left;
      dependencies_.runtime.after(k::kRetryMs, [this, swap] { read_back(swap); });
    }
  });
}

// Revisions only grow, so a try with preconditions on revisions can land no more; one with a
// precondition on the absence of a key can.
void CompareAndSwapper::on_read_back(const SwapPtr& swap, const codec::StateRow& row) {
  const CompareAndSwap& transaction = swap->transaction;
  if (row.revision != 0 && row.nonce == transaction.nonce) {
    dependencies_.replica.apply_commit(transaction.writes, row.revision);
    transaction.done(CasOutcome::ok, row.revision);
    return;
  }
  const auto& preconditions = transaction.preconditions;
  const bool needs_absence = std::any_of(
      preconditions.begin(), preconditions.end(),
      [](const codec::Precondition& precondition) { return precondition.revision == 0; });
  if (needs_absence) {
    transaction.done(CasOutcome::superseded, 0);
    return;
  }
  // Our write may have stood there for a while; the replica knows of it before the caller acts.
  dependencies_.waiters.when_applied(swap->conflict_revision,
                                     [swap] { swap->transaction.done(CasOutcome::conflict, 0); });
}

}  // namespace eiderreel
