// What operators ask of a controller about upgrades, and what they are told.
#pragma once
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "constants.h"
#include "model/load.h"
#include "upgrade/step_plan.h"

namespace eiderreel::upgrade {

// A step that somebody asks for. It is named by who asks, so that its outcome can be looked up.
struct StepOrder {
  StepRequest step;
  ClusterVersion from = kFirstVersion;  // the version that the asker saw
  std::string request;
  std::string who;
  std::string reason;
};

enum class StepOutcome {
  taken,    // it is durable
  refused,  // an obstacle stands in its way; nothing was done
  changed,  // the cluster or a controller changed meanwhile; nothing was done
  failed,   // the state store refused; nothing was done
  unknown,  // no answer: it may be done, or may still be
};
const char* to_string(StepOutcome outcome);
std::optional<StepOutcome> parse_outcome(const std::string& text);

// One line of the history: who asked for what, when, and what came of it.
struct StepRecord {
  Ms at = 0;  // time of day
  std::string who, reason, request;
  std::string controller;  // the one that was asked
  Action action = Action::advance;
  ClusterVersion from = kFirstVersion;
  std::optional<ClusterVersion> to;
  StepOutcome outcome = StepOutcome::refused;
  std::vector<std::string> without;
  std::vector<std::string> obstacles;
};

struct StepAnswer {
  StepOutcome outcome = StepOutcome::refused;
  StepPlan plan;
};

// What the controllers tell of the conversion, as far as they are heard.
struct ConversionReport {
  std::optional<ProgressForm> to;  // nothing: no conversion goes on
  ConversionProgress sum;
  std::vector<int> unknown_partitions;  // nobody who owns them is heard
};

struct StatusReport {
  std::string controller;  // who tells
  bool enabled = true;
  std::string standby_reason;  // why it does not act; empty: it does
  bool current = true;         // it reaches the state store, so what it tells is not old
  ClusterState cluster;
  std::string changed_by, last_request;
  Ms changed_at = 0;                         // time of day
  std::optional<std::string> step_in_doubt;  // the request of a step that got no answer
  std::vector<ControllerFacts> controllers;
  ConversionReport conversion;
  bool automatic = false;
  bool in_maintenance_window = false;
};

}  // namespace eiderreel::upgrade
