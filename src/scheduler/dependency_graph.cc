// Follows the edges of the graph with explicit stacks, as chains may be thousands of jobs long.
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

void DependencyGraph::count_waiting(const Node& node, int by) {
  if (node.open && !node.cancelled && !node.prerequisites.empty()) waiting_count_ += by;
}

// ------------------------------------------------------------------------------- events

void DependencyGraph::open(const JobSpec& job, std::uint64_t revision,
                           const std::vector<std::string>& pending, const std::vector<End>& ended) {
  Node& node = nodes_[job.id];
  if (node.open) return;
  node.id = job.id;
  node.open = true;
  node.priority = job.priority;
  node.run_ms = static_cast<Ms>(job.estimate_s * 1000) + constants::kStartAllowanceMs;
  if (job.deadline_s) node.deadline = job.accepted_at + static_cast<Ms>(*job.deadline_s * 1000);
  node.readiness = {revision, job.accepted_at};
  bool is_cancelled = false;
  for (const End& end : ended) {
    is_cancelled |= end.phase == JobPhase::cancelled;
    node.readiness.revision = std::max(node.readiness.revision, end.revision);
    node.readiness.at = std::max(node.readiness.at, end.at);
  }
  for (const std::string& id : pending) {
    Node& prerequisite = nodes_[id];
    prerequisite.id = id;
    node.prerequisites.insert(&prerequisite);
    prerequisite.dependents.insert(&node);
    is_cancelled |= prerequisite.cancelled;
  }
  count_waiting(node, 1);
  if (is_cancelled) return cancel({&node});
  raise(node);
}

// Both ends are final: what follows from them never has to be taken back.
void DependencyGraph::end(const std::string& id, const End& end) {
  Node* node = find(id);
  if (!node) return;
  const Nodes dependents = std::exchange(node->dependents, {});
  for (Node* dependent : dependents) {
    ++steps_;
    count_waiting(*dependent, -1);
    dependent->prerequisites.erase(node);
    Readiness& readiness = dependent->readiness;
    readiness.revision = std::max(readiness.revision, end.revision);
    readiness.at = std::max(readiness.at, end.at);
    count_waiting(*dependent, 1);
    if (end.phase == JobPhase::done && dependent->prerequisites.empty() && !dependent->cancelled)
      effects_.ready.push_back(dependent->id);
  }
  if (end.phase == JobPhase::cancelled) cancel(dependents);
  close(id);
}

void DependencyGraph::close(const std::string& id) {
  Node* node = find(id);
  if (!node) return;
  if (node->open) detach(*node);
  remove_if_unused(node);
}

// A job leaves the graph as a dependent; those that wait for it stay.
void DependencyGraph::detach(Node& node) {
  count_waiting(node, -1);
  const Nodes prerequisites = std::exchange(node.prerequisites, {});
  for (Node* prerequisite : prerequisites) {
    ++steps_;
    prerequisite->dependents.erase(&node);
  }
  node.open = node.cancelled = false;
  cancelled_.erase(node.id);
  lower(prerequisites);
  for (Node* prerequisite : prerequisites) remove_if_unused(prerequisite);
}

void DependencyGraph::remove_if_unused(Node* node) {
  if (!node->open && node->dependents.empty()) nodes_.erase(node->id);
}

// Invariant 12: a cancelled end cancels all jobs that need it, through any number of steps.
void DependencyGraph::cancel(const Nodes& first) {
  std::vector<Node*> left(first.begin(), first.end());
  Nodes lowered;
  while (!left.empty()) {
    Node* node = left.back();
    left.pop_back();
    ++steps_;
    if (node->cancelled || !node->open) continue;
    count_waiting(*node, -1);
    node->cancelled = true;
    cancelled_.insert(node->id);
    effects_.cancelled.push_back(node->id);
    lowered.insert(node->prerequisites.begin(), node->prerequisites.end());
    left.insert(left.end(), node->dependents.begin(), node->dependents.end());
  }
  lower(lowered);
}

DependencyGraph::Effects DependencyGraph::take_effects() { return std::exchange(effects_, {}); }

// ------------------------------------------------------------------------------ urgency

void DependencyGraph::merge(Urgency& urgency, const Urgency& other) {
  urgency.priority = std::max(urgency.priority, other.priority);
  if (other.finish_by && (!urgency.finish_by || *other.finish_by < *urgency.finish_by))
    urgency.finish_by = other.finish_by;
}

// What a dependent asks of its prerequisites: to be over early enough for it, and all that needs
// it.
DependencyGraph::Urgency DependencyGraph::asked_by(const Node& dependent) {
  Urgency asked{dependent.priority, dependent.deadline};
  merge(asked, dependent.inherited);
  if (asked.finish_by) *asked.finish_by -= dependent.run_ms;
  return asked;
}

// A new dependent can only add urgency.
void DependencyGraph::raise(const Node& dependent) {
  std::vector<const Node*> left{&dependent};
  while (!left.empty()) {
    const Node* node = left.back();
    left.pop_back();
    const Urgency asked = asked_by(*node);
    for (Node* prerequisite : node->prerequisites) {
      ++steps_;
      Urgency raised = prerequisite->inherited;
      merge(raised, asked);
      if (raised == prerequisite->inherited) continue;
      prerequisite->inherited = raised;
      effects_.urgency_changed.push_back(prerequisite->id);
      left.push_back(prerequisite);
    }
  }
}

// Dependents that are over or cancelled ask for nothing any more.
void DependencyGraph::lower(const Nodes& first) {
  std::vector<Node*> left(first.begin(), first.end());
  while (!left.empty()) {
    Node* node = left.back();
    left.pop_back();
    Urgency urgency;
    for (const Node* dependent : node->dependents) {
      ++steps_;
      if (!dependent->cancelled) merge(urgency, asked_by(*dependent));
    }
    if (urgency == node->inherited) continue;
    node->inherited = urgency;
    effects_.urgency_changed.push_back(node->id);
    left.insert(left.end(), node->prerequisites.begin(), node->prerequisites.end());
  }
}

// ---------------------------------------------------------------------------- questions

bool DependencyGraph::waits(const std::string& id) const {
  const Node* node = find(id);
  return node != nullptr && node->open && (node->cancelled || !node->prerequisites.empty());
}

std::vector<std::string> DependencyGraph::waiting(std::size_t most) const {
  std::vector<std::string> out;
  for (const auto& [id, node] : nodes_) {
    if (out.size() == most) break;
    if (node.open && !node.cancelled && !node.prerequisites.empty()) out.push_back(id);
  }
  return out;
}

bool DependencyGraph::is_prerequisite(const std::string& id) const {
  const Node* node = find(id);
  return node != nullptr && !node->dependents.empty();
}

std::vector<std::string> DependencyGraph::prerequisites() const {
  std::vector<std::string> out;
  for (const auto& [id, node] : nodes_)
    if (!node.dependents.empty()) out.push_back(id);
  return out;
}

std::vector<std::string> DependencyGraph::prerequisites_of(const std::string& id,
                                                           std::size_t most) const {
  std::vector<std::string> out;
  const Node* node = find(id);
  if (!node) return out;
  for (const Node* prerequisite : node->prerequisites) {
    if (out.size() == most) break;
    out.push_back(prerequisite->id);
  }
  return out;
}

std::size_t DependencyGraph::prerequisite_count(const std::string& id) const {
  const Node* node = find(id);
  return node ? node->prerequisites.size() : 0;
}

bool DependencyGraph::depends_on(const std::string& id, const std::set<std::string>& others) const {
  const Node* start = find(id);
  if (!start || others.empty()) return false;
  std::set<const Node*> seen{start};
  std::vector<const Node*> left{start};
  while (!left.empty()) {
    const Node* node = left.back();
    left.pop_back();
    for (const Node* prerequisite : node->prerequisites) {
      ++steps_;
      if (others.contains(prerequisite->id)) return true;
      if (seen.insert(prerequisite).second) left.push_back(prerequisite);
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
  if (!node || !node->open) return std::nullopt;
  return node->readiness;
}

}  // namespace eiderreel
