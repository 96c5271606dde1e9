// Traverses the graph with explicit stacks instead of recursion, as chains may be thousands of jobs
// long.
#include "scheduler/dependency_graph.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "constants.h"
#include "model/job.h"

namespace eiderreel {

DependencyGraph::Node* DependencyGraph::find(const std::string& id) {
  const auto found = nodes_.find(id);
  return found == nodes_.end() ? nullptr : &found->second;
}

const DependencyGraph::Node* DependencyGraph::find(const std::string& id) const {
  const auto found = nodes_.find(id);
  return found == nodes_.end() ? nullptr : &found->second;
}

void DependencyGraph::adjust_waiting_count(const Node& node, int delta) {
  if (node.is_open && !node.cancelled && !node.prerequisites.empty()) waiting_count_ += delta;
}

// ------------------------------------------------------------------------------- events

void DependencyGraph::add_job(const JobSpec& job, std::uint64_t revision,
                              const std::vector<std::string>& pending,
                              const std::vector<FinalRecord>& finished) {
  Node& node = nodes_[job.id];
  if (node.is_open) return;
  node.id = job.id;
  node.is_open = true;
  node.priority = job.priority;
  node.run_ms = static_cast<Ms>(job.estimate_s * 1000) + constants::kStartAllowanceMs;
  if (job.deadline_s) node.deadline = job.accepted_at + static_cast<Ms>(*job.deadline_s * 1000);
  node.readiness = {revision, job.accepted_at};
  bool has_cancelled_prerequisite = false;
  for (const FinalRecord& final_record : finished) {
    has_cancelled_prerequisite |= final_record.phase == JobPhase::cancelled;
    node.readiness.revision = std::max(node.readiness.revision, final_record.revision);
    node.readiness.at = std::max(node.readiness.at, final_record.at);
  }
  for (const std::string& id : pending) {
    Node& prerequisite = nodes_[id];
    prerequisite.id = id;
    node.prerequisites.insert(&prerequisite);
    prerequisite.dependents.insert(&node);
    has_cancelled_prerequisite |= prerequisite.cancelled;
  }
  adjust_waiting_count(node, 1);
  if (has_cancelled_prerequisite) return cancel_with_dependents({&node});
  propagate_urgency(node);
}

// Both `done` and `cancelled` are final phases, so the effects never have to be reverted.
void DependencyGraph::record_final(const std::string& id, const FinalRecord& final_record) {
  Node* node = find(id);
  if (!node) return;
  const Nodes dependents = std::exchange(node->dependents, {});
  for (Node* dependent : dependents) {
    ++edges_visited_;
    adjust_waiting_count(*dependent, -1);
    dependent->prerequisites.erase(node);
    Readiness& readiness = dependent->readiness;
    readiness.revision = std::max(readiness.revision, final_record.revision);
    readiness.at = std::max(readiness.at, final_record.at);
    adjust_waiting_count(*dependent, 1);
    if (final_record.phase == JobPhase::done && dependent->prerequisites.empty() &&
        !dependent->cancelled)
      effects_.ready.push_back(dependent->id);
  }
  if (final_record.phase == JobPhase::cancelled) cancel_with_dependents(dependents);
  remove_job(id);
}

void DependencyGraph::remove_job(const std::string& id) {
  Node* node = find(id);
  if (!node) return;
  if (node->is_open) detach(*node);
  remove_if_unused(node);
}

// Removes the edges from the job to its prerequisites. The edges from its dependents stay.
void DependencyGraph::detach(Node& node) {
  adjust_waiting_count(node, -1);
  const Nodes prerequisites = std::exchange(node.prerequisites, {});
  for (Node* prerequisite : prerequisites) {
    ++edges_visited_;
    prerequisite->dependents.erase(&node);
  }
  node.is_open = node.cancelled = false;
  cancelled_.erase(node.id);
  recompute_urgency(prerequisites);
  for (Node* prerequisite : prerequisites) remove_if_unused(prerequisite);
}

void DependencyGraph::remove_if_unused(Node* node) {
  if (!node->is_open && node->dependents.empty()) nodes_.erase(node->id);
}

// Invariant 12: the cancellation of a job cancels all its direct and indirect dependents.
void DependencyGraph::cancel_with_dependents(const Nodes& roots) {
  std::vector<Node*> worklist(roots.begin(), roots.end());
  Nodes affected;
  while (!worklist.empty()) {
    Node* node = worklist.back();
    worklist.pop_back();
    ++edges_visited_;
    if (node->cancelled || !node->is_open) continue;
    adjust_waiting_count(*node, -1);
    node->cancelled = true;
    cancelled_.insert(node->id);
    effects_.cancelled.push_back(node->id);
    affected.insert(node->prerequisites.begin(), node->prerequisites.end());
    worklist.insert(worklist.end(), node->dependents.begin(), node->dependents.end());
  }
  recompute_urgency(affected);
}

DependencyGraph::Effects DependencyGraph::take_effects() { return std::exchange(effects_, {}); }

// ------------------------------------------------------------------------------ urgency

void DependencyGraph::merge(Urgency& urgency, const Urgency& other) {
  urgency.priority = std::max(urgency.priority, other.priority);
  if (other.finish_by && (!urgency.finish_by || *other.finish_by < *urgency.finish_by))
    urgency.finish_by = other.finish_by;
}

// The urgency that a dependent passes on to its prerequisites: they must finish early enough for
// the dependent and for all jobs that depend on it.
DependencyGraph::Urgency DependencyGraph::urgency_required_by(const Node& dependent) {
  Urgency required{dependent.priority, dependent.deadline};
  merge(required, dependent.inherited);
  if (required.finish_by) *required.finish_by -= dependent.run_ms;
  return required;
}

// Merges the urgency of a new dependent into its prerequisites, direct and indirect. A new
// dependent can only raise urgency, so nothing is recomputed.
void DependencyGraph::propagate_urgency(const Node& dependent) {
  std::vector<const Node*> worklist{&dependent};
  while (!worklist.empty()) {
    const Node* node = worklist.back();
    worklist.pop_back();
    const Urgency required = urgency_required_by(*node);
    for (Node* prerequisite : node->prerequisites) {
      ++edges_visited_;
      Urgency raised = prerequisite->inherited;
      merge(raised, required);
      if (raised == prerequisite->inherited) continue;
      prerequisite->inherited = raised;
      effects_.urgency_changed.push_back(prerequisite->id);
      worklist.push_back(prerequisite);
    }
  }
}

// Recomputes inherited urgency after dependents have finished or were cancelled, as these no longer
// contribute to it.
void DependencyGraph::recompute_urgency(const Nodes& roots) {
  std::vector<Node*> worklist(roots.begin(), roots.end());
  while (!worklist.empty()) {
    Node* node = worklist.back();
    worklist.pop_back();
    Urgency urgency;
    for (const Node* dependent : node->dependents) {
      ++edges_visited_;
      if (!dependent->cancelled) merge(urgency, urgency_required_by(*dependent));
    }
    if (urgency == node->inherited) continue;
    node->inherited = urgency;
    effects_.urgency_changed.push_back(node->id);
    worklist.insert(worklist.end(), node->prerequisites.begin(), node->prerequisites.end());
  }
}

// ------------------------------------------------------------------------------ queries

bool DependencyGraph::is_blocked(const std::string& id) const {
  const Node* node = find(id);
  return node != nullptr && node->is_open && (node->cancelled || !node->prerequisites.empty());
}

std::vector<std::string> DependencyGraph::waiting_jobs(std::size_t limit) const {
  std::vector<std::string> ids;
  for (const auto& [id, node] : nodes_) {
    if (ids.size() == limit) break;
    if (node.is_open && !node.cancelled && !node.prerequisites.empty()) ids.push_back(id);
  }
  return ids;
}

bool DependencyGraph::is_prerequisite(const std::string& id) const {
  const Node* node = find(id);
  return node != nullptr && !node->dependents.empty();
}

std::vector<std::string> DependencyGraph::prerequisites() const {
  std::vector<std::string> ids;
  for (const auto& [id, node] : nodes_)
    if (!node.dependents.empty()) ids.push_back(id);
  return ids;
}

std::vector<std::string> DependencyGraph::prerequisites_of(const std::string& id,
                                                           std::size_t limit) const {
  std::vector<std::string> ids;
  const Node* node = find(id);
  if (!node) return ids;
  for (const Node* prerequisite : node->prerequisites) {
    if (ids.size() == limit) break;
    ids.push_back(prerequisite->id);
  }
  return ids;
}

std::size_t DependencyGraph::prerequisite_count(const std::string& id) const {
  const Node* node = find(id);
  return node ? node->prerequisites.size() : 0;
}

bool DependencyGraph::depends_on(const std::string& id, const std::set<std::string>& others) const {
  const Node* start = find(id);
  if (!start || others.empty()) return false;
  std::set<const Node*> visited{start};
  std::vector<const Node*> worklist{start};
  while (!worklist.empty()) {
    const Node* node = worklist.back();
    worklist.pop_back();
    for (const Node* prerequisite : node->prerequisites) {
      ++edges_visited_;
      if (others.contains(prerequisite->id)) return true;
      if (visited.insert(prerequisite).second) worklist.push_back(prerequisite);
    }
  }
  return false;
}

std::optional<DependencyGraph::Urgency> DependencyGraph::urgency(const std::string& id) const {
  const Node* node = find(id);
  if (!node || node->dependents.empty()) return std::nullopt;
  return node->inherited;
}

std::optional<DependencyGraph::Readiness> DependencyGraph::readiness(const std::string& id) const {
  const Node* node = find(id);
  if (!node || !node->is_open) return std::nullopt;
  return node->readiness;
}

}  // namespace eiderreel
