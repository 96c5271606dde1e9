// The commits of the state store client: bound to a version, tried again, in doubt until proof.
#include <algorithm>
#include <memory>
#include <utility>

#include "state_store/state_store_client.h"

namespace eiderreel {

namespace k = constants;

namespace {

// In doubt: no answer, or one that does not tell whether the request was carried out.
bool in_doubt(int status) { return status == 0 || (status >= 500 && status != 503); }

}  // namespace

void StateStoreClient::compare_and_swap(CompareAndSwap c) {
  if (c.binding == VersionBinding::as_encoded) c.encoded_under = acting_version_.record_revision();
  const int tries = c.tries;
  try_swap(std::make_shared<CompareAndSwap>(std::move(c)), tries);
}

bool StateStoreClient::is_bound(const CompareAndSwap& c) const {
  return acting_version_.enabled() && c.binding != VersionBinding::explicit_;
}

codec::Precondition StateStoreClient::version_precondition(const CompareAndSwap& c) const {
  const bool as_encoded = c.binding == VersionBinding::as_encoded;
  return {codec::node_key(settings_.node),
          as_encoded ? c.encoded_under : acting_version_.record_revision()};
}

void StateStoreClient::try_swap(std::shared_ptr<CompareAndSwap> c, int tries) {
  std::optional<codec::Precondition> guard;
  if (is_bound(*c)) {
    guard = version_precondition(*c);
    if (guard->revision == 0 || !logged_standby_reason_.empty())
      return try_without_record(c, tries);
  }
  std::vector<codec::Precondition> preconditions = c->preconditions;
  if (guard) preconditions.push_back(*guard);
  Pending request;
  request.request = {"", "POST", "/commit", codec::commit_body(preconditions, c->writes, lease_id_),
                     k::kStateTimeoutMs};
  request.writes = static_cast<int>(c->writes.size());
  request.request_priority = c->request_priority;
  request.done = [this, c, tries, guard](HttpReply r) { on_swap_reply(c, tries, guard, r); };
  submit(std::move(request));
}

void StateStoreClient::on_swap_reply(const std::shared_ptr<CompareAndSwap>& c, int tries,
                                     const std::optional<codec::Precondition>& guard,
                                     const HttpReply& r) {
  if (r.status == 200) {
    const auto store_revision = codec::parse_store_revision(r.body).value_or(0);
    replica_.apply_commit(c->writes, store_revision);
    c->done(CasOutcome::ok, store_revision);
  } else if (r.status == 409) {
    if (guard && codec::parse_failed(r.body) == std::vector<std::string>{guard->key})
      return version_changed(c, tries, guard->revision);
    // Invariant 8: an earlier try of ours may be what the preconditions met.
    if (c->doubt)
      read_back(c, codec::parse_store_revision(r.body).value_or(0), k::kCommitTries);
    else
      c->done(CasOutcome::conflict, 0);
  } else if (in_doubt(r.status) || c->doubt) {
    c->doubt = true;
    if (tries <= 1) {
      c->done(CasOutcome::unknown, 0);
      return;
    }
    runtime_.after(k::kRetryMs, [this, c, tries] { try_swap(c, tries - 1); });
  } else {
    c->done(CasOutcome::refused, 0);
  }
}

// There is no record of this controller to bind a write to, so none is sent. An earlier try may
// still have landed.
void StateStoreClient::try_without_record(const std::shared_ptr<CompareAndSwap>& c, int tries) {
  if (!c->doubt) {
    runtime_.after(0, [c] { c->done(CasOutcome::refused, 0); });
  } else if (tries <= 1) {
    runtime_.after(0, [c] { c->done(CasOutcome::unknown, 0); });
  } else {
    runtime_.after(k::kRetryMs, [this, c, tries] { try_swap(c, tries - 1); });
  }
}

// Invariant 13: the record that the commit was bound to is no longer there, and all else is as the
// commit asks. No try of it has landed, since that would have changed what it compares, and none
// can any more.
void StateStoreClient::version_changed(const std::shared_ptr<CompareAndSwap>& c, int tries,
                                       std::uint64_t guard_revision) {
  c->doubt = false;
  if (c->binding == VersionBinding::as_encoded || tries <= 1)
    return c->done(CasOutcome::refused, 0);
  const bool learnt = acting_version_.record_revision() != guard_revision;
  runtime_.after(learnt ? 0 : k::kVersionRetryMs, [this, c, tries] { try_swap(c, tries - 1); });
}

// The preconditions failed after a try without answer: whose write is it that stands there? Stamps
// only grow, so a try guarded by revisions can land no more; one guarded by the absence of a key
// can.
void StateStoreClient::read_back(std::shared_ptr<CompareAndSwap> c, std::uint64_t store_revision,
                                 int tries) {
  read(c->writes.front().key, [this, c, store_revision, tries](std::optional<codec::StateRow> row) {
    if (row) {
      if (row->revision != 0 && row->nonce == c->nonce) {
        replica_.apply_commit(c->writes, row->revision);
        c->done(CasOutcome::ok, row->revision);
        return;
      }
      const bool by_absence =
          std::any_of(c->preconditions.begin(), c->preconditions.end(),
                      [](const codec::Precondition& g) { return g.revision == 0; });
      // Our write may have stood there for a while; the view knows then, before the caller.
      if (by_absence)
        c->done(CasOutcome::superseded, 0);
      else
        when_applied(store_revision, [c] { c->done(CasOutcome::conflict, 0); });
      return;
    }
    if (tries <= 1) {
      c->done(CasOutcome::unknown, 0);
      return;
    }
    runtime_.after(k::kRetryMs,
                   [this, c, store_revision, tries] { read_back(c, store_revision, tries - 1); });
  });
}

}  // namespace eiderreel
