// The graph of jobs that wait for other jobs. A job is ready once all its prerequisites are done.
// It is cancelled by implication once one of them is cancelled, and so are all its direct and
// indirect dependents. A job inherits the urgency of the jobs that depend on it.
//
// The graph does no I/O and is updated incrementally: the cost of an event is proportional to the
// edges it affects. No function recurses, as chains may be thousands of jobs long.
#pragma once
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "model/job.h"

namespace eiderreel {

/// The dependency graph of all open jobs.
class DependencyGraph {
 public:
  /// The urgency that a job inherits from its direct and indirect dependents.
  struct Urgency {
    Priority priority = Priority::best_effort;
    // Time of day by which the job must finish so that the most urgent of them is in time.
    std::optional<Ms> finish_by;
    bool operator==(const Urgency&) const = default;
  };
  /// The final record of a job. It is immutable.
  struct FinalRecord {
    JobPhase phase = JobPhase::done;
    std::uint64_t revision = 0;
    Ms at = 0;  // time of day
  };
  /// When a job became ready to start: the latest of its acceptance and the final records of its
  /// prerequisites.
  struct Readiness {
    std::uint64_t revision = 0;
    Ms at = 0;  // time of day
  };
  /// The effects of events, as ids of the affected jobs.
  struct Effects {
    std::vector<std::string> ready;
    std::vector<std::string> cancelled;
    std::vector<std::string> urgency_changed;
  };

  /// Adds an accepted job that has prerequisites. `pending` are the ids of the prerequisites
  /// without a known final record; `finished` are the final records of the others.
  void add_job(const JobSpec& job, std::uint64_t revision, const std::vector<std::string>& pending,
               const std::vector<FinalRecord>& finished);
  /// Applies the final record of any job, with or without prerequisites.
  void record_final(const std::string& id, const FinalRecord& final_record);
  /// Removes a job that is no longer open and whose final record is unknown. Its dependents
  /// continue to wait for it.
  void remove_job(const std::string& id);
  /// Returns the effects of all events since the last call.
  Effects take_effects();

  /// Whether an open job may not start, as a prerequisite is not done or the job is cancelled by
  /// implication.
  bool is_blocked(const std::string& id) const;
  /// Whether an open job is cancelled by implication.
  bool is_cancelled(const std::string& id) const { return cancelled_.contains(id); }
  /// All open jobs that are cancelled by implication. Their own final records are not written yet.
  const std::set<std::string>& all_cancelled() const { return cancelled_; }
  /// The first jobs by id, at most `limit`, that wait for others and are not cancelled.
  std::vector<std::string> waiting_jobs(std::size_t limit) const;
  /// Whether any open job waits for this one.
  bool is_prerequisite(const std::string& id) const;
  /// All jobs that an open job waits for.
  std::vector<std::string> prerequisites() const;
  /// The first jobs by id, at most `limit`, that this job waits for directly.
  std::vector<std::string> prerequisites_of(const std::string& id, std::size_t limit) const;
  /// The number of jobs that this one waits for directly.
  std::size_t prerequisite_count(const std::string& id) const;
  /// Whether the job waits, directly or indirectly, for one of `others`.
  bool depends_on(const std::string& id, const std::set<std::string>& others) const;
  /// The urgency inherited from the dependents of the job; none if it has no dependents.
  std::optional<Urgency> urgency(const std::string& id) const;
  /// When the job became ready, by the final records known so far; none if it is not open.
  std::optional<Readiness> readiness(const std::string& id) const;
  /// The number of open jobs that wait for others and are not cancelled.
  int waiting_count() const { return waiting_count_; }
  /// Number of edges visited since the start.
  std::uint64_t edges_visited() const { return edges_visited_; }

 private:
  struct Node;
  struct ById {
    bool operator()(const Node* a, const Node* b) const { return a->id < b->id; }
  };
  using Nodes = std::set<Node*, ById>;
  struct Node {
    std::string id;
    bool is_open = false;  // added by `add_job`; false: known only as a prerequisite
    bool cancelled = false;
    Priority priority = Priority::best_effort;
    std::optional<Ms> deadline;  // time of day
    Ms run_ms = 0;               // by the submitter's estimate, including the time to start
    Readiness readiness;
    Nodes prerequisites;
    Nodes dependents;
    Urgency inherited;
  };

  Node* find(const std::string& id);
  const Node* find(const std::string& id) const;
  static Urgency urgency_required_by(const Node& dependent);
  static void merge(Urgency& urgency, const Urgency& other);
  void propagate_urgency(const Node& dependent);
  void recompute_urgency(const Nodes& roots);
  void cancel_with_dependents(const Nodes& roots);
  void detach(Node& node);
  void remove_if_unused(Node* node);
  void adjust_waiting_count(const Node& node, int delta);

  std::map<std::string, Node> nodes_;
  std::set<std::string> cancelled_;
  int waiting_count_ = 0;
  mutable std::uint64_t edges_visited_ = 0;
  Effects effects_;
};

}  // namespace eiderreel
