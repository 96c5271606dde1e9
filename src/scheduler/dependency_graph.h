// The graph of jobs that wait for other jobs. A job is ready once all its prerequisites are done,
// and cancelled by implication once one of them is cancelled, through any number of steps. What is
// needed later lends its urgency to what it needs.
//
// Pure and incremental: the cost of an event is that of the edges it touches, and no call recurses,
// as chains may be thousands of jobs long.
#pragma once
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "model/job.h"

namespace eiderreel {

/// The dependencies of all open jobs.
class DependencyGraph {
 public:
  /// What the jobs that need a job ask of it.
  struct Urgency {
    Priority priority = Priority::best_effort;
    std::optional<Ms> finish_by;  // time of day: so that the most urgent of them is in time
    bool operator==(const Urgency&) const = default;
  };
  /// The final record of a job; it never changes.
  struct End {
    JobPhase phase = JobPhase::done;
    std::uint64_t revision = 0;
    Ms at = 0;  // time of day
  };
  /// From when on a job was free to start: the newest of its acceptance and the ends it waited for.
  struct Readiness {
    std::uint64_t revision = 0;
    Ms at = 0;  // time of day
  };
  /// What came of events: the ids of the jobs that each has happened to.
  struct Effects {
    std::vector<std::string> ready;
    std::vector<std::string> cancelled;
    std::vector<std::string> urgency_changed;
  };

  /// A job with prerequisites has been accepted. `pending`: those whose end is not known; `ended`:
  /// the ends of the others.
  void open(const JobSpec& job, std::uint64_t revision, const std::vector<std::string>& pending,
            const std::vector<End>& ended);
  /// The final record of any job, with prerequisites or without.
  void end(const std::string& id, const End& end);
  /// A job is no longer open, and how it ended is not known; its dependents go on waiting for it.
  void close(const std::string& id);
  /// What came of the events since the last call.
  Effects take_effects();

  /// Whether an open job may not start: a prerequisite is not done, or it is cancelled.
  bool waits(const std::string& id) const;
  /// Whether an open job is cancelled by implication.
  bool cancelled(const std::string& id) const { return cancelled_.contains(id); }
  /// All open jobs that are cancelled by implication; their own final records are still to be
  /// written.
  const std::set<std::string>& all_cancelled() const { return cancelled_; }
  /// The first few of the jobs that wait for others and are not cancelled.
  std::vector<std::string> waiting(std::size_t most) const;
  /// Whether some open job waits for this one.
  bool is_prerequisite(const std::string& id) const;
  /// Every job that an open one waits for.
  std::vector<std::string> prerequisites() const;
  /// The first few of those that this job waits for.
  std::vector<std::string> prerequisites_of(const std::string& id, std::size_t most) const;
  /// How many jobs this one waits for.
  std::size_t prerequisite_count(const std::string& id) const;
  /// Whether the job waits, directly or through others, for one of these.
  bool depends_on(const std::string& id, const std::set<std::string>& others) const;
  /// What its dependents ask of a job; none: it has no dependents.
  std::optional<Urgency> urgency(const std::string& id) const;
  /// Since when a job is ready, as far as is known; none: it is not open.
  std::optional<Readiness> readiness(const std::string& id) const;
  /// Open jobs that wait for others and are not cancelled.
  int waiting_count() const { return waiting_count_; }
  /// Edges looked at since the start.
  std::uint64_t steps() const { return steps_; }

 private:
  struct Node;
  struct ById {
    bool operator()(const Node* a, const Node* b) const { return a->id < b->id; }
  };
  using Nodes = std::set<Node*, ById>;
  struct Node {
    std::string id;
    bool open = false;  // it has prerequisites of its own; else it is known by its dependents alone
    bool cancelled = false;
    Priority priority = Priority::best_effort;
    std::optional<Ms> deadline;  // time of day
    Ms run_ms = 0;               // from its start to its end, as its submitter estimates
    Readiness readiness;
    Nodes prerequisites;
    Nodes dependents;
    Urgency inherited;
  };

  Node* find(const std::string& id);
  const Node* find(const std::string& id) const;
  static Urgency asked_by(const Node& dependent);
  static void merge(Urgency& urgency, const Urgency& other);
  void raise(const Node& dependent);
  void lower(const Nodes& first);
  void cancel(const Nodes& first);
  void detach(Node& node);
  void remove_if_unused(Node* node);
  void count_waiting(const Node& node, int by);

  std::map<std::string, Node> nodes_;
  std::set<std::string> cancelled_;
  int waiting_count_ = 0;
  mutable std::uint64_t steps_ = 0;
  Effects effects_;
};

}  // namespace eiderreel
