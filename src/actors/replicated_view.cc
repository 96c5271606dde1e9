#include "actors/replicated_view.h"

#include <cstdlib>

namespace eiderreel {
namespace {

namespace k = constants;

bool under(const std::string& key, const std::string& prefix) {
  return key.compare(0, prefix.size(), prefix) == 0;
}

}  // namespace

void ReplicatedView::begin_load(std::uint64_t ledger) {
  closed_from_ = ledger;
  closed_.clear();
}

void ReplicatedView::followed(std::uint64_t ledger) {
  view_.ledger = ledger;
  view_.ready = true;
}

void ReplicatedView::remove_missing(const std::set<std::string>& loaded, std::uint64_t ledger) {
  auto gone = [&](const std::string& key) { return !loaded.count(key); };
  std::vector<std::string> missing;
  for (const auto& [id, e] : view_.jobs)
    if (gone(codec::job_key(id))) missing.push_back(codec::job_key(id));
  for (const auto& [id, e] : view_.machines)
    if (gone(codec::machine_key(id))) missing.push_back(codec::machine_key(id));
  for (const auto& [id, e] : view_.nodes)
    if (gone(codec::node_key(id))) missing.push_back(codec::node_key(id));
  for (const auto& [id, e] : view_.parts)
    if (gone(codec::part_key(id))) missing.push_back(codec::part_key(id));
  for (const auto& key : missing) {
    codec::StateRow r;
    r.key = key;
    r.deleted = true;
    r.stamp = ledger;
    apply(r, true);
  }
}

void ReplicatedView::remember_final(const std::string& id, JobPhase p, std::uint64_t stamp) {
  if (!view_.finals.emplace(id, p).second) return;
  closed_.push_back({id, p, stamp});
  if (closed_.size() > k::kClosedKept) {
    closed_from_ = std::max(closed_from_, closed_.front().stamp);
    closed_.pop_front();
  }
  final_order_.push_back(id);
  if (final_order_.size() > k::kFinalCache) {
    view_.finals.erase(final_order_.front());
    final_order_.pop_front();
  }
}

std::optional<std::vector<ClosedJob>> ReplicatedView::closed_since(std::uint64_t ledger) const {
  if (!view_.ready || ledger < closed_from_) return std::nullopt;
  std::vector<ClosedJob> out;
  for (const auto& c : closed_)
    if (c.stamp > ledger) out.push_back(c);
  return out;
}

void ReplicatedView::take_closed(const std::vector<ClosedJob>& closed) {
  for (const auto& c : closed) {
    remember_final(c.id, c.phase, c.stamp);
    codec::StateRow record;
    record.key = codec::job_key(c.id);
    record.deleted = true;
    record.stamp = c.stamp;
    apply(record, true);
  }
}

void ReplicatedView::take_claim(int part, const std::string& owner, std::uint64_t stamp) {
  // Guard: an older claim may have ended within our view, and the changes will not tell so again.
  if (stamp <= view_.ledger) return;
  codec::StateRow claim;
  claim.key = codec::part_key(part);
  claim.stamp = stamp;
  claim.part = codec::PartRecord{owner, 0};
  apply(claim, true);
}

// Rows may come twice and, from our own commits, ahead of their turn: an older stamp changes
// nothing, and a final job never opens again.
void ReplicatedView::apply(const codec::StateRow& row, bool announce) {
  const std::string name = codec::key_name(row.key);
  if (under(row.key, "e/job/")) {
    auto it = view_.jobs.find(name);
    if (row.deleted) {
      if (it == view_.jobs.end() || it->second.stamp > row.stamp) return;
      view_.jobs.erase(it);
      if (announce) events_.job_closed(name);
    } else if (row.job && it == view_.jobs.end() && !view_.finals.count(name)) {
      view_.jobs[name] = {*row.job, row.stamp};
      if (announce) events_.job_opened(name);
    }
  } else if (under(row.key, "e/final/")) {
    if (row.final_phase) remember_final(name, *row.final_phase, row.stamp);
  } else if (under(row.key, "e/machine/")) {
    auto& m = view_.machines;
    auto it = m.find(name);
    if (it != m.end() && it->second.stamp >= row.stamp) return;
    if (row.deleted)
      m.erase(name);
    else if (row.machine)
      m[name] = {*row.machine, row.stamp};
    if (announce) events_.machine_changed(name);
  } else if (under(row.key, "e/node/")) {
    auto it = view_.nodes.find(name);
    if (it != view_.nodes.end() && it->second.stamp >= row.stamp) return;
    if (row.deleted)
      view_.nodes.erase(name);
    else if (row.node)
      view_.nodes[name] = {*row.node, row.stamp, rt_.now()};
  } else if (under(row.key, "e/part/")) {
    const int part = std::atoi(name.c_str());
    auto it = view_.parts.find(part);
    if (it != view_.parts.end() && it->second.stamp >= row.stamp) return;
    if (row.deleted)
      view_.parts.erase(part);
    else if (row.part)
      view_.parts[part] = {row.part->owner, row.stamp, row.part->grant};
    if (announce) events_.part_changed(part);
  }
}

void ReplicatedView::apply_commit(const std::vector<codec::Write>& writes, std::uint64_t ledger) {
  // Puts first: the final record of a job must be known when its record goes.
  for (bool deletes : {false, true}) {
    for (const auto& w : writes) {
      if (w.value.empty() != deletes || !under(w.key, "e/")) continue;
      std::string text = codec::stored_row(w.key, w.value, ledger);
      if (auto row = codec::parse_row(text)) apply(*row, true);
    }
  }
}

}  // namespace eiderreel
