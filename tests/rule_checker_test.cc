// The checker of the stand-in catches a planted violation of each rule, and nothing else.
#include "standin/rule_checker.h"

#include <gtest/gtest.h>

using namespace eiderreel;
using standin::Checker;

namespace {

JobSpec spec(const std::string& id, std::uint32_t tasks = 2, double cpus = 1) {
  JobSpec s;
  s.id = id;
  s.team = "red";
  s.tasks = tasks;
  s.cpus = cpus;
  s.types = {"box"};
  s.spot = false;
  return s;
}

const Checker::Place kHere{"m-1", "box", "a", false}, kThere{"m-2", "box", "b", false};

struct CheckerTest : testing::Test {
  Checker c{{{"red", 4, 8, 0, 0}}, 40};
  void accepted(const JobSpec& s) {
    c.submitted(s);
    c.submit_answer(0, s.id, 201);
  }
  // Exactly one rule is broken, and it is this one.
  void expect(const std::string& rule) {
    ASSERT_EQ(c.broken().size(), 1u);
    EXPECT_NE(c.broken()[0].find(" " + rule + ":"), std::string::npos) << c.broken()[0];
  }
};

TEST_F(CheckerTest, AnOrdinaryLifeBreaksNothing) {
  accepted(spec("run-1"));
  c.told(1, "run-1", "queued");
  c.task_on(2, kHere, "run-1", 0);
  c.task_on(2, kThere, "run-1", 1);
  c.task_done(4, "run-1", 0);
  c.task_off("m-1", "run-1", 0);
  c.task_done(5, "run-1", 1);
  c.task_off("m-2", "run-1", 1);
  c.told(9, "run-1", "done");
  c.look(100);
  EXPECT_TRUE(c.broken().empty());
}

TEST_F(CheckerTest, RanTwice) {
  accepted(spec("run-1"));
  c.task_on(1, kHere, "run-1", 0);
  c.task_on(2, kThere, "run-1", 0);
  expect("ran_twice");
}

TEST_F(CheckerTest, Quota) {
  accepted(spec("run-1", 3, 4));
  for (std::uint32_t i = 0; i < 3; ++i) c.task_on(1, kHere, "run-1", i);
  expect("quota");
}

TEST_F(CheckerTest, WrongPlace) {
  accepted(spec("run-1"));
  c.task_on(1, {"m-1", "box", "a", true}, "run-1", 0);
  expect("wrong_place");
}

TEST_F(CheckerTest, WrongPlaceSecondZone) {
  JobSpec s = spec("run-1");
  s.one_zone = true;
  accepted(s);
  c.task_on(1, kHere, "run-1", 0);
  c.task_on(1, kThere, "run-1", 1);
  expect("wrong_place");
}

TEST_F(CheckerTest, WrongPlaceNotApart) {
  JobSpec s = spec("run-1", 3);
  s.spread = true;
  accepted(s);
  for (std::uint32_t i = 0; i < 3; ++i) c.task_on(1, kHere, "run-1", i);
  expect("wrong_place");
}

TEST_F(CheckerTest, RanCancelled) {
  accepted(spec("run-1"));
  c.task_on(1, kHere, "run-1", 0);
  c.cancel_asked("run-1");
  c.told(2, "run-1", "cancelled");
  c.look(41);
  EXPECT_TRUE(c.broken().empty());
  c.look(43);
  expect("ran_cancelled");
}

TEST_F(CheckerTest, Forgotten) {
  accepted(spec("run-1"));
  c.told(1, "run-1", "");
  expect("forgotten");
}

TEST_F(CheckerTest, ForgottenWhenRefusedLater) {
  accepted(spec("run-1"));
  c.submit_answer(1, "run-1", 422);
  expect("forgotten");
}

TEST_F(CheckerTest, Invented) {
  c.told(1, "run-7", "queued");
  expect("invented");
}

TEST_F(CheckerTest, NotDone) {
  accepted(spec("run-1"));
  c.task_done(0.5, "run-1", 0);
  c.told(1, "run-1", "done");
  expect("not_done");
}

TEST_F(CheckerTest, WentBack) {
  accepted(spec("run-1"));
  c.cancel_asked("run-1");
  c.told(1, "run-1", "cancelled");
  c.told(2, "run-1", "running");
  expect("went_back");
}

TEST_F(CheckerTest, WentBackWhenNobodyCancelled) {
  accepted(spec("run-1"));
  c.told(1, "run-1", "cancelled");
  expect("went_back");
}

// Once the troubles are over, a job about which no question is answered for 75 s is forgotten,
// however well others fare.
TEST_F(CheckerTest, ForgottenWhenNothingIsAnswered) {
  accepted(spec("run-1"));
  accepted(spec("run-2"));
  for (int t = 0; t <= 100; t += 5) {
    c.asked(t, "run-1", false);
    c.asked(t, "run-2", true);
  }
  c.look(100);
  EXPECT_TRUE(c.broken().empty());  // troubles still last
  c.troubles_over(100);
  c.asked(170, "run-1", false);
  c.look(174);
  EXPECT_TRUE(c.broken().empty());
  c.look(176);
  expect("forgotten");
}

// Once the troubles are over, a job that waits for 90 s beside room for it is left waiting.
TEST_F(CheckerTest, LeftWaitingBesideRoom) {
  accepted(spec("run-1"));
  accepted(spec("run-2"));
  c.troubles_over(10);
  for (int t = 0; t <= 100; ++t) {
    c.could_run(t, "run-1", true);
    c.could_run(t, "run-2", t != 50);
  }
  EXPECT_TRUE(c.broken().empty());
  c.could_run(101, "run-2", true);
  c.could_run(101, "run-1", true);
  expect("left_waiting");
}

TEST_F(CheckerTest, AcceptedThoughItCannotRun) {
  c.odd_answer(1, "no such type", 422);
  c.odd_answer(1, "no such type", 503);
  EXPECT_TRUE(c.broken().empty());
  c.odd_answer(1, "no such type", 201);
  expect("accepted");
}

TEST_F(CheckerTest, StartsAfterAConfirmedCancellationAreCounted) {
  accepted(spec("run-1"));
  c.task_on(1, kHere, "run-1", 0);
  c.cancel_asked("run-1");
  c.told(2, "run-1", "cancelled");
  EXPECT_EQ(c.starts_after_cancel(), 0u);
  c.task_on(3, kThere, "run-1", 1);
  EXPECT_EQ(c.starts_after_cancel(), 1u);
}

// A task that hung and goes on is on its machine all the time.
TEST_F(CheckerTest, AnsweredWithoutLease) {
  c.answered_without_lease(1, "n1 answers m-000001");
  expect("answered_without_lease");
}

TEST_F(CheckerTest, RanCancelledAfterAHang) {
  accepted(spec("run-1"));
  c.task_on(1, kHere, "run-1", 0);
  c.cancel_asked("run-1");
  c.told(2, "run-1", "cancelled");
  c.task_off("m-1", "run-1", 0);  // the lease ends it
  c.look(43);
  EXPECT_TRUE(c.broken().empty());
  c.task_on(44, kHere, "run-1", 0);
  expect("ran_cancelled");
}

TEST_F(CheckerTest, StarvedWhenItBeginsTooLate) {
  accepted(spec("run-1"));
  c.task_on(241, kHere, "run-1", 0);
  c.day_over(300);
  expect("starved");
}

// Two of three small jobs are served, the largest not at all.
TEST_F(CheckerTest, UnservedLargestJobs) {
  for (const char* id : {"run-1", "run-2", "run-3"}) {
    accepted(spec(id));
    c.task_on(1, kHere, id, 0);
  }
  accepted(spec("run-4", 50));
  c.day_over(100);
  expect("unserved");
}

// A job of which another one is a prerequisite.
JobSpec dependent(JobSpec spec, const std::string& prerequisite) {
  spec.prerequisites = {prerequisite};
  return spec;
}

TEST_F(CheckerTest, AJobThatStartsAfterItsPrerequisiteIsDoneBreaksNothing) {
  accepted(spec("run-1", 1));
  accepted(dependent(spec("run-2", 1), "run-1"));
  c.task_on(1, kHere, "run-1", 0);
  c.task_done(300, "run-1", 0);
  c.task_off("m-1", "run-1", 0);
  c.task_on(301, kHere, "run-2", 0);
  c.day_over(400);
  EXPECT_TRUE(c.broken().empty());
}

TEST_F(CheckerTest, TooEarly) {
  accepted(spec("run-1", 2));
  accepted(dependent(spec("run-2", 1), "run-1"));
  c.task_on(1, kHere, "run-1", 0);
  c.task_done(2, "run-1", 0);  // one task of two
  c.task_on(3, kThere, "run-2", 0);
  expect("too_early");
}

TEST_F(CheckerTest, OrphanedThroughAJobBetween) {
  accepted(spec("run-1"));
  accepted(dependent(spec("run-2"), "run-1"));
  accepted(dependent(spec("run-3"), "run-2"));
  c.cancel_asked("run-1");
  c.told(10, "run-1", "cancelled");
  c.told(49, "run-3", "queued");
  c.told(49, "run-2", "cancelled");
  EXPECT_TRUE(c.broken().empty());
  c.told(51, "run-3", "queued");
  expect("orphaned");
}

TEST_F(CheckerTest, AJobIsNotCancelledByWhatItDoesNotNeed) {
  accepted(spec("run-1"));
  accepted(dependent(spec("run-2"), "run-1"));
  c.cancel_asked("run-2");
  c.told(1, "run-1", "cancelled");
  expect("went_back");
}

}  // namespace
