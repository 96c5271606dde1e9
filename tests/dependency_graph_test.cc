// Unit tests of the graph of jobs and their prerequisites.
#include "scheduler/dependency_graph.h"

#include <gtest/gtest.h>

using namespace eiderreel;

namespace {

using Ids = std::vector<std::string>;
using FinalRecord = DependencyGraph::FinalRecord;

std::string id(int n) { return "run-" + std::to_string(n); }

JobSpec job(int n, Priority priority = Priority::standard, double estimate_s = 10) {
  JobSpec spec;
  spec.id = id(n);
  spec.priority = priority;
  spec.estimate_s = estimate_s;
  spec.accepted_at = 1000;
  return spec;
}

FinalRecord done(std::uint64_t revision = 50, Ms at = 5000) {
  return {JobPhase::done, revision, at};
}
FinalRecord cancelled() { return {JobPhase::cancelled, 60, 6000}; }

class DependencyGraphTest : public testing::Test {
 protected:
  void open(const JobSpec& spec, const Ids& pending) { graph.add_job(spec, 10, pending, {}); }
  DependencyGraph graph;
};

TEST_F(DependencyGraphTest, JobIsReadyWhenItsLastPrerequisiteIsDone) {
  open(job(3), {id(1), id(2)});
  EXPECT_TRUE(graph.is_blocked(id(3)));
  EXPECT_EQ(graph.waiting_count(), 1);
  graph.record_final(id(2), done(70, 7000));
  EXPECT_TRUE(graph.take_effects().ready.empty());
  EXPECT_EQ(graph.prerequisites_of(id(3), 5), Ids{id(1)});
  graph.record_final(id(1), done(50, 5000));
  EXPECT_EQ(graph.take_effects().ready, Ids{id(3)});
  EXPECT_FALSE(graph.is_blocked(id(3)));
  EXPECT_EQ(graph.waiting_count(), 0);
  EXPECT_EQ(graph.readiness(id(3))->revision, 70u);
  EXPECT_EQ(graph.readiness(id(3))->at, 7000);
}

TEST_F(DependencyGraphTest, FinishedPrerequisitesDoNotBlock) {
  graph.add_job(job(2), 10, {}, {done(5, 500), done(90, 9000)});
  EXPECT_FALSE(graph.is_blocked(id(2)));
  EXPECT_EQ(graph.readiness(id(2))->revision, 90u);
  graph.add_job(job(4), 10, {id(3)}, {cancelled()});
  EXPECT_TRUE(graph.is_cancelled(id(4)));
}

TEST_F(DependencyGraphTest, CancellationPropagatesToAllTransitiveDependents) {
  open(job(2), {id(1)});
  open(job(3), {id(2)});
  open(job(4), {id(3), id(9)});
  open(job(5), {id(9)});
  graph.record_final(id(1), cancelled());
  const auto effects = graph.take_effects();
  EXPECT_EQ(std::set<std::string>(effects.cancelled.begin(), effects.cancelled.end()),
            (std::set<std::string>{id(2), id(3), id(4)}));
  EXPECT_TRUE(effects.ready.empty());
  EXPECT_FALSE(graph.is_cancelled(id(5)));
  open(job(6), {id(4)});  // submitted after that
  EXPECT_TRUE(graph.is_cancelled(id(6)));
  graph.record_final(id(9), done());
  EXPECT_EQ(graph.take_effects().ready, Ids{id(5)});
  for (int n : {2, 3, 4, 6}) graph.record_final(id(n), cancelled());
  EXPECT_TRUE(graph.all_cancelled().empty());
}

TEST_F(DependencyGraphTest, CompletionCancelsNothing) {
  open(job(2), {id(1)});
  graph.record_final(id(1), done());
  EXPECT_TRUE(graph.take_effects().cancelled.empty());
  EXPECT_TRUE(graph.all_cancelled().empty());
}

TEST_F(DependencyGraphTest, UrgencyIsInheritedFromTheMostUrgentDependent) {
  open(job(2, Priority::best_effort, 20), {id(1)});
  JobSpec last = job(3, Priority::high, 5);
  last.deadline_s = 100;
  open(last, {id(2)});
  const Ms start = constants::kStartAllowanceMs;
  EXPECT_EQ(graph.urgency(id(2))->priority, Priority::high);
  EXPECT_EQ(graph.urgency(id(2))->finish_by, 1000 + 100000 - 5000 - start);
  EXPECT_EQ(graph.urgency(id(1))->priority, Priority::high);
  EXPECT_EQ(graph.urgency(id(1))->finish_by, 1000 + 100000 - 25000 - 2 * start);
  EXPECT_FALSE(graph.urgency(id(3)));
}

TEST_F(DependencyGraphTest, EndedDependentsPassOnNoUrgency) {
  open(job(2, Priority::best_effort), {id(1)});
  open(job(3, Priority::high), {id(2)});
  open(job(4, Priority::production), {id(2), id(8)});
  EXPECT_EQ(graph.urgency(id(1))->priority, Priority::production);
  graph.record_final(id(8), cancelled());  // cancels job 4 too
  EXPECT_EQ(graph.urgency(id(1))->priority, Priority::high);
  graph.record_final(id(3), cancelled());
  EXPECT_EQ(graph.urgency(id(1))->priority, Priority::best_effort);
}

// Removing a job record without a final phase leaves its dependents waiting.
TEST_F(DependencyGraphTest, DependentsOfAJobWithUnknownOutcomeKeepWaiting) {
  open(job(2), {id(1)});
  open(job(3), {id(2)});
  graph.remove_job(id(2));
  EXPECT_TRUE(graph.is_blocked(id(3)));
  EXPECT_TRUE(graph.depends_on(id(3), {id(2)}));
  EXPECT_FALSE(graph.depends_on(id(3), {id(1)}));
  graph.record_final(id(2), done());
  EXPECT_EQ(graph.take_effects().ready, Ids{id(3)});
  EXPECT_TRUE(graph.prerequisites().empty());
}

TEST_F(DependencyGraphTest, ChainOfThousandsPropagatesWithoutRecursion) {
  constexpr int kLength = 20000;
  for (int n = 2; n <= kLength; ++n) open(job(n, Priority::standard), {id(n - 1)});
  EXPECT_LT(graph.edges_visited(), 3u * kLength);  // urgency doesn't change far upstream
  graph.record_final(id(1), cancelled());
  EXPECT_EQ(graph.take_effects().cancelled.size(), static_cast<std::size_t>(kLength - 1));
  EXPECT_LT(graph.edges_visited(), 8u * kLength);
}

TEST_F(DependencyGraphTest, CostIsLinearInTheNumberOfEdges) {
  constexpr int kMany = 5000;
  for (int n = 2; n <= kMany; ++n) open(job(n), {id(1)});
  Ids all;
  for (int n = 2; n <= kMany; ++n) all.push_back(id(n));
  open(job(kMany + 1, Priority::high), all);
  graph.record_final(id(1), done());
  EXPECT_EQ(graph.take_effects().ready.size(), static_cast<std::size_t>(kMany - 1));
  for (int n = 2; n <= kMany; ++n) graph.record_final(id(n), done());
  EXPECT_EQ(graph.take_effects().ready, Ids{id(kMany + 1)});
  EXPECT_LT(graph.edges_visited(), 10u * kMany);
}

}  // namespace
