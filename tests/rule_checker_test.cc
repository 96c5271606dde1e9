// The rule checker detects a planted violation of each rule, and nothing else.
#include "standin/rule_checker.h"

#include <gtest/gtest.h>

using namespace eiderreel;
using standin::RuleChecker;

namespace {

JobSpec job_spec(const std::string& id, std::uint32_t tasks = 2, double cpus = 1) {
  JobSpec spec;
  spec.id = id;
  spec.team = "red";
  spec.tasks = tasks;
  spec.cpus = cpus;
  spec.types = {"box"};
  spec.spot = false;
  return spec;
}

const RuleChecker::Placement kHere{"m-1", "box", "a", false}, kThere{"m-2", "box", "b", false};

struct RuleCheckerTest : testing::Test {
  RuleChecker checker{{{"red", 4, 8, 0, 0}}, 40};
  void accepted(const JobSpec& spec) {
    checker.on_submission(spec);
    checker.on_submit_reply(0, spec.id, 201);
  }
  // Exactly one rule is broken, and it is this one.
  void expect_violation(const std::string& rule) {
    ASSERT_EQ(checker.violations().size(), 1u);
    EXPECT_NE(checker.violations()[0].find(" " + rule + ":"), std::string::npos)
        << checker.violations()[0];
  }
};

TEST_F(RuleCheckerTest, OrdinaryLifecycleViolatesNothing) {
  accepted(job_spec("run-1"));
  checker.on_phase_reply(1, "run-1", "queued");
  checker.on_task_started(2, kHere, "run-1", 0);
  checker.on_task_started(2, kThere, "run-1", 1);
  checker.on_task_done(4, "run-1", 0);
  checker.on_task_stopped("m-1", "run-1", 0);
  checker.on_task_done(5, "run-1", 1);
  checker.on_task_stopped("m-2", "run-1", 1);
  checker.on_phase_reply(9, "run-1", "done");
  checker.check_timeouts(100);
  EXPECT_TRUE(checker.violations().empty());
}

TEST_F(RuleCheckerTest, DetectsATaskThatRunsTwice) {
  accepted(job_spec("run-1"));
  checker.on_task_started(1, kHere, "run-1", 0);
  checker.on_task_started(2, kThere, "run-1", 0);
  expect_violation("ran_twice");
}

TEST_F(RuleCheckerTest, DetectsAnExceededQuota) {
  accepted(job_spec("run-1", 3, 4));
  for (std::uint32_t i = 0; i < 3; ++i) checker.on_task_started(1, kHere, "run-1", i);
  expect_violation("quota");
}

TEST_F(RuleCheckerTest, DetectsPlacementOnASpotMachine) {
  accepted(job_spec("run-1"));
  checker.on_task_started(1, {"m-1", "box", "a", true}, "run-1", 0);
  expect_violation("wrong_place");
}

TEST_F(RuleCheckerTest, DetectsPlacementInASecondZone) {
  JobSpec spec = job_spec("run-1");
  spec.one_zone = true;
  accepted(spec);
  checker.on_task_started(1, kHere, "run-1", 0);
  checker.on_task_started(1, kThere, "run-1", 1);
  expect_violation("wrong_place");
}

TEST_F(RuleCheckerTest, DetectsTasksThatAreNotSpread) {
  JobSpec spec = job_spec("run-1", 3);
  spec.spread = true;
  accepted(spec);
  for (std::uint32_t i = 0; i < 3; ++i) checker.on_task_started(1, kHere, "run-1", i);
  expect_violation("wrong_place");
}

TEST_F(RuleCheckerTest, DetectsATaskThatRunsTooLongAfterCancellation) {
  accepted(job_spec("run-1"));
  checker.on_task_started(1, kHere, "run-1", 0);
  checker.on_cancel_request("run-1");
  checker.on_phase_reply(2, "run-1", "cancelled");
  checker.check_timeouts(41);
  EXPECT_TRUE(checker.violations().empty());
  checker.check_timeouts(43);
  expect_violation("ran_cancelled");
}

TEST_F(RuleCheckerTest, DetectsAnAcceptedJobThatIsNotFound) {
  accepted(job_spec("run-1"));
  checker.on_phase_reply(1, "run-1", "");
  expect_violation("forgotten");
}

TEST_F(RuleCheckerTest, DetectsAnAcceptedJobThatIsRejectedLater) {
  accepted(job_spec("run-1"));
  checker.on_submit_reply(1, "run-1", 422);
  expect_violation("forgotten");
}

TEST_F(RuleCheckerTest, DetectsAJobThatWasNeverSubmitted) {
  checker.on_phase_reply(1, "run-7", "queued");
  expect_violation("invented");
}

TEST_F(RuleCheckerTest, DetectsDoneBeforeAllTasksAreDone) {
  accepted(job_spec("run-1"));
  checker.on_task_done(0.5, "run-1", 0);
  checker.on_phase_reply(1, "run-1", "done");
  expect_violation("not_done");
}

TEST_F(RuleCheckerTest, DetectsAPhaseAfterAFinalPhase) {
  accepted(job_spec("run-1"));
  checker.on_cancel_request("run-1");
  checker.on_phase_reply(1, "run-1", "cancelled");
  checker.on_phase_reply(2, "run-1", "running");
  expect_violation("went_back");
}

TEST_F(RuleCheckerTest, DetectsACancellationThatNobodyRequested) {
  accepted(job_spec("run-1"));
  checker.on_phase_reply(1, "run-1", "cancelled");
  expect_violation("went_back");
}

// Once the faults are over, a job about which no question is answered for 75 s is forgotten,
// however well others fare.
TEST_F(RuleCheckerTest, DetectsAJobWhosePollsGoUnanswered) {
  accepted(job_spec("run-1"));
  accepted(job_spec("run-2"));
  for (int now = 0; now <= 100; now += 5) {
    checker.on_poll(now, "run-1", false);
    checker.on_poll(now, "run-2", true);
  }
  checker.check_timeouts(100);
  EXPECT_TRUE(checker.violations().empty());  // faults still last
  checker.on_faults_ended(100);
  checker.on_poll(170, "run-1", false);
  checker.check_timeouts(174);
  EXPECT_TRUE(checker.violations().empty());
  checker.check_timeouts(176);
  expect_violation("forgotten");
}

// Once the faults are over, a job that waits for 90 s beside room for it is left waiting.
TEST_F(RuleCheckerTest, DetectsAJobLeftWaitingDespiteFreeCapacity) {
  accepted(job_spec("run-1"));
  accepted(job_spec("run-2"));
  checker.on_faults_ended(10);
  for (int now = 0; now <= 100; ++now) {
    checker.on_schedulable(now, "run-1", true);
    checker.on_schedulable(now, "run-2", now != 50);
  }
  EXPECT_TRUE(checker.violations().empty());
  checker.on_schedulable(101, "run-2", true);
  checker.on_schedulable(101, "run-1", true);
  expect_violation("left_waiting");
}

TEST_F(RuleCheckerTest, DetectsAcceptanceOfAJobThatCannotRun) {
  checker.on_invalid_submission_reply(1, "no such type", 422);
  checker.on_invalid_submission_reply(1, "no such type", 503);
  EXPECT_TRUE(checker.violations().empty());
  checker.on_invalid_submission_reply(1, "no such type", 201);
  expect_violation("accepted");
}

TEST_F(RuleCheckerTest, CountsStartsAfterAConfirmedCancellation) {
  accepted(job_spec("run-1"));
  checker.on_task_started(1, kHere, "run-1", 0);
  checker.on_cancel_request("run-1");
  checker.on_phase_reply(2, "run-1", "cancelled");
  EXPECT_EQ(checker.starts_after_cancel(), 0u);
  checker.on_task_started(3, kThere, "run-1", 1);
  EXPECT_EQ(checker.starts_after_cancel(), 1u);
}

// A task that hung and goes on is on its machine all the time.
TEST_F(RuleCheckerTest, DetectsAHeartbeatAnsweredWithoutALease) {
  checker.on_reply_without_lease(1, "n1 answers m-000001");
  expect_violation("answered_without_lease");
}

TEST_F(RuleCheckerTest, DetectsACancelledTaskThatResumesAfterAHang) {
  accepted(job_spec("run-1"));
  checker.on_task_started(1, kHere, "run-1", 0);
  checker.on_cancel_request("run-1");
  checker.on_phase_reply(2, "run-1", "cancelled");
  checker.on_task_stopped("m-1", "run-1", 0);  // the lease ends it
  checker.check_timeouts(43);
  EXPECT_TRUE(checker.violations().empty());
  checker.on_task_started(44, kHere, "run-1", 0);
  expect_violation("ran_cancelled");
}

TEST_F(RuleCheckerTest, DetectsAJobThatStartsTooLate) {
  accepted(job_spec("run-1"));
  checker.on_task_started(241, kHere, "run-1", 0);
  checker.on_run_end(300);
  expect_violation("starved");
}

// Two of three small jobs are served, the largest not at all.
TEST_F(RuleCheckerTest, DetectsUnservedLargestJobs) {
  for (const char* id : {"run-1", "run-2", "run-3"}) {
    accepted(job_spec(id));
    checker.on_task_started(1, kHere, id, 0);
  }
  accepted(job_spec("run-4", 50));
  checker.on_run_end(100);
  expect_violation("unserved");
}

// A job of which another one is a prerequisite.
JobSpec dependent(JobSpec dependent_job, const std::string& prerequisite) {
  dependent_job.prerequisites = {prerequisite};
  return dependent_job;
}

TEST_F(RuleCheckerTest, StartAfterThePrerequisiteIsDoneViolatesNothing) {
  accepted(job_spec("run-1", 1));
  accepted(dependent(job_spec("run-2", 1), "run-1"));
  checker.on_task_started(1, kHere, "run-1", 0);
  checker.on_task_done(300, "run-1", 0);
  checker.on_task_stopped("m-1", "run-1", 0);
  checker.on_task_started(301, kHere, "run-2", 0);
  checker.on_run_end(400);
  EXPECT_TRUE(checker.violations().empty());
}

TEST_F(RuleCheckerTest, DetectsAStartBeforeThePrerequisiteIsDone) {
  accepted(job_spec("run-1", 2));
  accepted(dependent(job_spec("run-2", 1), "run-1"));
  checker.on_task_started(1, kHere, "run-1", 0);
  checker.on_task_done(2, "run-1", 0);  // one task of two
  checker.on_task_started(3, kThere, "run-2", 0);
  expect_violation("too_early");
}

TEST_F(RuleCheckerTest, DetectsADependentOrphanedThroughAnIntermediateJob) {
  accepted(job_spec("run-1"));
  accepted(dependent(job_spec("run-2"), "run-1"));
  accepted(dependent(job_spec("run-3"), "run-2"));
  checker.on_cancel_request("run-1");
  checker.on_phase_reply(10, "run-1", "cancelled");
  checker.on_phase_reply(49, "run-3", "queued");
  checker.on_phase_reply(49, "run-2", "cancelled");
  EXPECT_TRUE(checker.violations().empty());
  checker.on_phase_reply(51, "run-3", "queued");
  expect_violation("orphaned");
}

TEST_F(RuleCheckerTest, DetectsACancellationByAJobThatIsNoPrerequisite) {
  accepted(job_spec("run-1"));
  accepted(dependent(job_spec("run-2"), "run-1"));
  checker.on_cancel_request("run-2");
  checker.on_phase_reply(1, "run-1", "cancelled");
  expect_violation("went_back");
}

}  // namespace
