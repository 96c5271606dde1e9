// Preconditions of a version step, each rule of the plan separately, and the JSON encoding of step
// requests and records.
#include <gtest/gtest.h>

#include "upgrade/step_plan.h"
#include "upgrade/upgrade_json.h"

using namespace eiderreel;
using namespace eiderreel::upgrade;

namespace {

ControllerState active_controller(const std::string& name, ClusterVersion version,
                                  VersionRange range = {}) {
  return {name, true, 7, BuildVersions{range, version, "test"}};
}

ClusterState at(ClusterVersion version) { return {version, 5}; }

bool has_obstacle_of(const StepPlan& plan, const std::string& controller) {
  for (const auto& obstacle : plan.obstacles)
    if (obstacle.controller == controller) return true;
  return false;
}

TEST(StepPlan, AdvancesOneStepWhenAllHaveAcknowledged) {
  const auto plan = plan_step({Action::advance, {}}, at(ClusterVersion::base),
                              {active_controller("n0", ClusterVersion::base),
                               active_controller("n1", ClusterVersion::base)});
  EXPECT_TRUE(plan.possible());
  EXPECT_EQ(plan.to, ClusterVersion::write_compact);
  EXPECT_FALSE(plan.needs_census);
}

TEST(StepPlan, NamesEachBlockingController) {
  const ControllerState away{"n1", true, 0, std::nullopt};
  const ControllerState earlier{"n2", true, 7, std::nullopt};
  const auto plan =
      plan_step({Action::advance, {}}, at(ClusterVersion::write_compact),
                {active_controller("n0", ClusterVersion::write_compact), away, earlier,
                 active_controller("n3", ClusterVersion::base),
                 active_controller("n4", ClusterVersion::write_compact,
                                   {ClusterVersion::base, ClusterVersion::write_compact})});
  EXPECT_FALSE(plan.possible());
  EXPECT_FALSE(has_obstacle_of(plan, "n0"));
  for (const char* name : {"n1", "n2", "n3", "n4"})
    EXPECT_TRUE(has_obstacle_of(plan, name)) << name;
}

TEST(StepPlan, ExcludesOnlyAbsentConfiguredControllers) {
  const ControllerState away{"n1", true, 0, std::nullopt};
  const std::vector<ControllerState> controllers = {active_controller("n0", ClusterVersion::base),
                                                    away};
  EXPECT_TRUE(
      plan_step({Action::advance, {"n1"}}, at(ClusterVersion::base), controllers).possible());
  EXPECT_TRUE(has_obstacle_of(
      plan_step({Action::advance, {"n0", "n1"}}, at(ClusterVersion::base), controllers), "n0"));
  EXPECT_TRUE(has_obstacle_of(
      plan_step({Action::advance, {"n1", "n9"}}, at(ClusterVersion::base), controllers), "n9"));
}

TEST(StepPlan, AbortsDuringAStepAndWithoutAbsentControllers) {
  const ControllerState away{"n2", true, 0, std::nullopt};
  EXPECT_TRUE(plan_step({Action::abort, {}}, at(ClusterVersion::convert),
                        {active_controller("n0", ClusterVersion::convert),
                         active_controller("n1", ClusterVersion::write_compact), away})
                  .possible());
  // A controller that still acts under the version above would be two steps away from the target.
  EXPECT_TRUE(has_obstacle_of(plan_step({Action::abort, {}}, at(ClusterVersion::write_compact),
                                        {active_controller("n0", ClusterVersion::write_compact),
                                         active_controller("n1", ClusterVersion::convert)}),
                              "n1"));
}

TEST(StepPlan, HasNoStepBeyondTheFirstAndLastVersions) {
  const std::vector<ControllerState> none;
  EXPECT_FALSE(plan_step({Action::abort, {}}, at(ClusterVersion::base), none).to);
  EXPECT_FALSE(plan_step({Action::abort, {}}, at(ClusterVersion::compact_only), none).to);
  EXPECT_FALSE(plan_step({Action::advance, {}}, at(ClusterVersion::compact_only), none).to);
  EXPECT_FALSE(plan_step({Action::advance, {}}, at(ClusterVersion::convert), none).to);
  EXPECT_FALSE(plan_step({Action::finalize, {}}, at(ClusterVersion::base), none).to);
  EXPECT_FALSE(plan_step({Action::advance, {}}, {std::nullopt, 5}, none).to);
}

TEST(StepPlan, FinalizesOnlyWhenNothingIsLeftToConvert) {
  auto plan = plan_step({Action::finalize, {}}, at(ClusterVersion::convert),
                        {active_controller("n0", ClusterVersion::convert)});
  EXPECT_TRUE(plan.needs_census);
  EXPECT_TRUE(plan.possible());
  add_census_obstacles(plan, {0, 12, {}});
  EXPECT_TRUE(plan.possible());
  add_census_obstacles(plan, {0, 12, {"d/0/run-1/0"}});
  ASSERT_EQ(plan.obstacles.size(), 1u);
  EXPECT_NE(plan.obstacles[0].what.find("d/0/run-1/0"), std::string::npos);
  add_census_obstacles(plan, {3, 12, {}});
  EXPECT_EQ(plan.obstacles.size(), 2u);
}

// Adjacent versions may be active at the same time during a step, so they must never request
// conversions in opposite directions.
TEST(VersionGates, AdjacentVersionsAreCompatible) {
  EXPECT_EQ(progress_policy(ClusterVersion::base).write, ProgressForm::bits);
  EXPECT_EQ(progress_policy(ClusterVersion::write_compact).write, ProgressForm::compact);
  EXPECT_FALSE(progress_policy(ClusterVersion::write_compact).convert_to);
  for (auto v = kFirstVersion; v < kNewestVersion; v = next(v)) {
    const auto here = progress_policy(v), there = progress_policy(next(v));
    EXPECT_TRUE(!here.convert_to || !there.convert_to || *here.convert_to == *there.convert_to);
    EXPECT_TRUE(version_info(v));
  }
  EXPECT_FALSE(version_info(next(kNewestVersion)));
}

TEST(StepOrder, RoundTrips) {
  StepOrder order;
  order.step.action = Action::abort;
  order.step.without = {"n1", "n2"};
  order.from = ClusterVersion::convert;
  order.request = "r-1";
  order.who = "ops1";
  order.reason = "why";
  const auto parsed = codec::parse_step_order(codec::encode(order));
  ASSERT_TRUE(parsed.order) << parsed.error;
  EXPECT_EQ(parsed.order->step.action, Action::abort);
  EXPECT_EQ(parsed.order->step.without, order.step.without);
  EXPECT_EQ(parsed.order->from, order.from);
  EXPECT_EQ(parsed.order->request, "r-1");
  EXPECT_EQ(parsed.order->who, "ops1");
  EXPECT_EQ(parsed.order->reason, "why");
}

TEST(StepOrder, NamesTheInvalidField) {
  const std::string good = R"({"action":"advance","from":1,"request":"r","who":"o","reason":"x"})";
  EXPECT_TRUE(codec::parse_step_order(good).order);
  const std::vector<std::pair<std::string, std::string>> bad = {
      {R"({"action":"jump","from":1,"request":"r","who":"o","reason":"x"})", "action"},
      {R"({"action":"advance","from":0,"request":"r","who":"o","reason":"x"})", "from"},
      {R"({"action":"advance","from":"1","request":"r","who":"o","reason":"x"})", "from"},
      {R"({"action":"advance","from":1,"request":"","who":"o","reason":"x"})", "request"},
      {R"({"action":"advance","from":1,"request":"r","reason":"x"})", "who"},
      {R"({"action":"advance","from":1,"request":"r","who":"o"})", "reason"},
      {R"({"action":"advance","from":1,"request":"r","who":"o","reason":"x","without":"n1"})",
       "without"},
      {"[]", "body"}};
  for (const auto& [body, field] : bad) {
    const auto parsed = codec::parse_step_order(body);
    EXPECT_FALSE(parsed.order) << body;
    EXPECT_NE(parsed.error.find(field), std::string::npos) << body << ": " << parsed.error;
  }
}

TEST(StepRecord, RoundTrips) {
  StepRecord record;
  record.at = 1764668592000;
  record.who = "ops1";
  record.reason = "why";
  record.request = "r-1";
  record.controller = "n0";
  record.action = Action::finalize;
  record.from = ClusterVersion::convert;
  record.to = ClusterVersion::compact_only;
  record.outcome = StepOutcome::refused;
  record.without = {"n2"};
  record.obstacles = {"n1: is away"};
  const auto again = codec::parse_step_record(codec::encode(record, "n0.b1.7"));
  ASSERT_TRUE(again);
  EXPECT_EQ(again->at, record.at);
  EXPECT_EQ(again->action, record.action);
  EXPECT_EQ(again->outcome, record.outcome);
  EXPECT_EQ(again->to, record.to);
  EXPECT_EQ(again->obstacles, record.obstacles);
  EXPECT_EQ(again->without, record.without);
  EXPECT_FALSE(codec::parse_step_record(R"({"who":"x"})"));
}

}  // namespace
