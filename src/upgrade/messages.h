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

/// A step that somebody asks for. Who asks names the request, so that its outcome can be looked up.
struct StepOrder {
  StepRequest step;
  ClusterVersion from = kFirstVersion;  // the version that the asker saw
  std::string request;                  // its name, chosen by who asks
  std::string who;
  std::string reason;
};

/// One line of the history: who asked for what, when, and what came of it.
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

/// The answer to a step that was asked for.
struct StepAnswer {
  StepOutcome outcome = StepOutcome::refused;
  StepPlan plan;
};

/// What the controllers tell of the conversion, as far as they are heard.
struct ConversionReport {
  std::optional<ProgressForm> to;  // nothing: no conversion goes on
  ConversionProgress sum;
  std::vector<int> unknown_partitions;  // no leader of them is heard
};

/// What one controller tells of the cluster version.
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
