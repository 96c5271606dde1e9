// The rule checker must detect a deliberate violation of each rule and must not report other rules.
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

const RuleChecker::Placement kMachine1{"m-1", "box", "a", false},
    kMachine2{"m-2", "box", "b", false};

struct RuleCheckerTest : testing::Test {
  RuleChecker checker{{{"red", 4, 8, 0, 0}}, 40};
  void submit_accepted(const JobSpec& spec) {
    checker.on_submission(spec);
    checker.on_submit_reply(0, spec.id, 201);
  }
  // Exactly one violation was found, and it is of this rule.
  void expect_violation(const std::string& rule) {
    ASSERT_EQ(checker.violations().size(), 1u);
    EXPECT_NE(checker.violations()[0].find(" " + rule + ":"), std::string::npos)
        << checker.violations()[0];
  }
};

TEST_F(RuleCheckerTest, OrdinaryLifecycleViolatesNothing) {
  submit_accepted(job_spec("run-1"));
  checker.on_phase_reply(1, "run-1", "queued");
  checker.on_task_started(2, kMachine1, "run-1", 0);
  checker.on_task_started(2, kMachine2, "run-1", 1);
  checker.on_task_done(4, "run-1", 0);
  checker.on_task_stopped("m-1", "run-1", 0);
  checker.on_task_done(5, "run-1", 1);
  checker.on_task_stopped("m-2", "run-1", 1);
  checker.on_phase_reply(9, "run-1", "done");
  checker.check_timeouts(100);
  EXPECT_TRUE(checker.violations().empty());
}

TEST_F(RuleCheckerTest, DetectsATaskThatRunsTwice) {
  submit_accepted(job_spec("run-1"));
  checker.on_task_started(1, kMachine1, "run-1", 0);
  checker.on_task_started(2, kMachine2, "run-1", 0);
  expect_violation("ran_twice");
}

TEST_F(RuleCheckerTest, DetectsAnExceededQuota) {
  submit_accepted(job_spec("run-1", 3, 4));
  for (std::uint32_t i = 0; i < 3; ++i) checker.on_task_started(1, kMachine1, "run-1", i);
  expect_violation("quota");
}

TEST_F(RuleCheckerTest, DetectsPlacementOnASpotMachine) {
  submit_accepted(job_spec("run-1"));
  checker.on_task_started(1, {"m-1", "box", "a", true}, "run-1", 0);
  expect_violation("wrong_place");
}

TEST_F(RuleCheckerTest, DetectsPlacementInASecondZone) {
  JobSpec spec = job_spec("run-1");
  spec.one_zone = true;
  submit_accepted(spec);
  checker.on_task_started(1, kMachine1, "run-1", 0);
  checker.on_task_started(1, kMachine2, "run-1", 1);
  expect_violation("wrong_place");
}

TEST_F(RuleCheckerTest, DetectsTasksThatAreNotSpread) {
  JobSpec spec = job_spec("run-1", 3);
  spec.spread = true;
  submit_accepted(spec);
  for (std::uint32_t i = 0; i < 3; ++i) checker.on_task_started(1, kMachine1, "run-1", i);
  expect_violation("wrong_place");
}

TEST_F(RuleCheckerTest, DetectsATaskThatRunsTooLongAfterCancellation) {
  submit_accepted(job_spec("run-1"));
  checker.on_task_started(1, kMachine1, "run-1", 0);
  checker.on_cancel_request("run-1");
  checker.on_phase_reply(2, "run-1", "cancelled");
  checker.check_timeouts(41);
  EXPECT_TRUE(checker.violations().empty());
  checker.check_timeouts(43);
  expect_violation("ran_cancelled");
}

TEST_F(RuleCheckerTest, DetectsAnAcceptedJobThatIsNotFound) {
  submit_accepted(job_spec("run-1"));
  checker.on_phase_reply(1, "run-1", "");
  expect_violation("forgotten");
}

TEST_F(RuleCheckerTest, DetectsAnAcceptedJobThatIsRejectedLater) {
  submit_accepted(job_spec("run-1"));
  checker.on_submit_reply(1, "run-1", 422);
  expect_violation("forgotten");
}

TEST_F(RuleCheckerTest, DetectsAJobThatWasNeverSubmitted) {
  checker.on_phase_reply(1, "run-7", "queued");
  expect_violation("invented");
}

TEST_F(RuleCheckerTest, DetectsDoneBeforeAllTasksAreDone) {
  submit_accepted(job_spec("run-1"));
  checker.on_task_done(0.5, "run-1", 0);
  checker.on_phase_reply(1, "run-1", "done");
  expect_violation("not_done");
}

TEST_F(RuleCheckerTest, DetectsAPhaseAfterAFinalPhase) {
  submit_accepted(job_spec("run-1"));
  checker.on_cancel_request("run-1");
  checker.on_phase_reply(1, "run-1", "cancelled");
  checker.on_phase_reply(2, "run-1", "running");
  expect_violation("went_back");
}

TEST_F(RuleCheckerTest, DetectsACancellationThatNobodyRequested) {
  submit_accepted(job_spec("run-1"));
  checker.on_phase_reply(1, "run-1", "cancelled");
  expect_violation("went_back");
}

// Once the faults are over, a job whose polls get no answer for 75 s counts as forgotten, even when
// polls for other jobs are answered.
TEST_F(RuleCheckerTest, DetectsAJobWhosePollsGoUnanswered) {
  submit_accepted(job_spec("run-1"));
  submit_accepted(job_spec("run-2"));
  for (int now = 0; now <= 100; now += 5) {
    checker.on_poll(now, "run-1", false);
    checker.on_poll(now, "run-2", true);
  }
  checker.check_timeouts(100);
  EXPECT_TRUE(checker.violations().empty());  // the faults are not over yet
  checker.on_faults_ended(100);
  checker.on_poll(170, "run-1", false);
  checker.check_timeouts(174);
  EXPECT_TRUE(checker.violations().empty());
  checker.check_timeouts(176);
  expect_violation("forgotten");
}

// Once the faults are over, a job that waits for 90 s although there is room for it violates
// left_waiting.
TEST_F(RuleCheckerTest, DetectsAJobLeftWaitingDespiteFreeCapacity) {
  submit_accepted(job_spec("run-1"));
  submit_accepted(job_spec("run-2"));
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
  submit_accepted(job_spec("run-1"));
  checker.on_task_started(1, kMachine1, "run-1", 0);
  checker.on_cancel_request("run-1");
  checker.on_phase_reply(2, "run-1", "cancelled");
  EXPECT_EQ(checker.starts_after_cancel(), 0u);
  checker.on_task_started(3, kMachine2, "run-1", 1);
  EXPECT_EQ(checker.starts_after_cancel(), 1u);
}

TEST_F(RuleCheckerTest, DetectsAHeartbeatAnsweredWithoutALease) {
  checker.on_reply_without_lease(1, "n1 answers m-000001");
  expect_violation("answered_without_lease");
}

// A task that resumes after a hang counts as having run on its machine all the time.
TEST_F(RuleCheckerTest, DetectsACancelledTaskThatResumesAfterAHang) {
  submit_accepted(job_spec("run-1"));
  checker.on_task_started(1, kMachine1, "run-1", 0);
  checker.on_cancel_request("run-1");
  checker.on_phase_reply(2, "run-1", "cancelled");
  checker.on_task_stopped("m-1", "run-1", 0);  // the worker ended it when its lease expired
  checker.check_timeouts(43);
  EXPECT_TRUE(checker.violations().empty());
  checker.on_task_started(44, kMachine1, "run-1", 0);
  expect_violation("ran_cancelled");
}

TEST_F(RuleCheckerTest, DetectsAJobThatStartsTooLate) {
  submit_accepted(job_spec("run-1"));
  checker.on_task_started(241, kMachine1, "run-1", 0);
  checker.on_run_end(300);
  expect_violation("starved");
}

// Three small jobs start, and the largest job does not.
TEST_F(RuleCheckerTest, DetectsUnservedLargestJobs) {
  for (const char* id : {"run-1", "run-2", "run-3"}) {
    submit_accepted(job_spec(id));
    checker.on_task_started(1, kMachine1, id, 0);
  }
  submit_accepted(job_spec("run-4", 50));
  checker.on_run_end(100);
  expect_violation("unserved");
}

// Returns the job with `prerequisite` as its only prerequisite.
JobSpec dependent(JobSpec dependent_job, const std::string& prerequisite) {
  dependent_job.prerequisites = {prerequisite};
  return dependent_job;
}

TEST_F(RuleCheckerTest, StartAfterThePrerequisiteIsDoneViolatesNothing) {
  submit_accepted(job_spec("run-1", 1));
  submit_accepted(dependent(job_spec("run-2", 1), "run-1"));
  checker.on_task_started(1, kMachine1, "run-1", 0);
  checker.on_task_done(300, "run-1", 0);
  checker.on_task_stopped("m-1", "run-1", 0);
  checker.on_task_started(301, kMachine1, "run-2", 0);
  checker.on_run_end(400);
  EXPECT_TRUE(checker.violations().empty());
}

TEST_F(RuleCheckerTest, DetectsAStartBeforeThePrerequisiteIsDone) {
  submit_accepted(job_spec("run-1", 2));
  submit_accepted(dependent(job_spec("run-2", 1), "run-1"));
  checker.on_task_started(1, kMachine1, "run-1", 0);
  checker.on_task_done(2, "run-1", 0);  // one task of two
  checker.on_task_started(3, kMachine2, "run-2", 0);
  expect_violation("too_early");
}

TEST_F(RuleCheckerTest, DetectsADependentOrphanedThroughAnIntermediateJob) {
  submit_accepted(job_spec("run-1"));
  submit_accepted(dependent(job_spec("run-2"), "run-1"));
  submit_accepted(dependent(job_spec("run-3"), "run-2"));
  checker.on_cancel_request("run-1");
  checker.on_phase_reply(10, "run-1", "cancelled");
  checker.on_phase_reply(49, "run-3", "queued");
  checker.on_phase_reply(49, "run-2", "cancelled");
  EXPECT_TRUE(checker.violations().empty());
  checker.on_phase_reply(51, "run-3", "queued");
  expect_violation("orphaned");
}

TEST_F(RuleCheckerTest, DetectsACancellationByAJobThatIsNoPrerequisite) {
  submit_accepted(job_spec("run-1"));
  submit_accepted(dependent(job_spec("run-2"), "run-1"));
  checker.on_cancel_request("run-2");
  checker.on_phase_reply(1, "run-1", "cancelled");
  expect_violation("went_back");
}

}  // namespace
