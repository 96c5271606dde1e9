// Requests and replies of the upgrade API.
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

/// A request to take a step. The caller chooses its id, by which the outcome can be looked up.
struct StepOrder {
  StepRequest step;
  ClusterVersion from = kFirstVersion;  // the cluster version that the caller expects
  std::string request;                  // request id, chosen by the caller
  std::string who;                      // the operator, or "automatic"
  std::string reason;
};

/// One history record: a requested step, its requester and its outcome.
struct StepRecord {
  Ms at = 0;  // wall-clock time
  std::string who, reason, request;
  std::string controller;  // the controller that handled the request
  Action action = Action::advance;
  ClusterVersion from = kFirstVersion;
  std::optional<ClusterVersion> to;
  StepOutcome outcome = StepOutcome::refused;
  std::vector<std::string> without;  // controllers that the operator declared gone
  std::vector<std::string> obstacles;
};

/// The reply to a requested step.
struct StepAnswer {
  StepOutcome outcome = StepOutcome::refused;
  StepPlan plan;
};

/// Progress of the conversion, summed over the controllers whose reports this controller has.
struct ConversionReport {
  std::optional<ProgressForm> to;  // std::nullopt if no conversion is in progress
  ConversionProgress sum;
  std::vector<int> unknown_partitions;  // those for which no leader has sent a report
};

/// The state of the cluster version as one controller sees it.
struct StatusReport {
  std::string controller;  // the reporting controller
  bool enabled = true;
  std::string standby_reason;  // why the controller is in standby; empty if it is active
  bool current = true;  // false if the state store is unreachable and the report may be stale
  ClusterState cluster;
  std::string changed_by, last_request;
  Ms changed_at = 0;                         // wall-clock time
  std::optional<std::string> step_in_doubt;  // request id of a step whose outcome is unknown
  std::vector<ControllerState> controllers;
  ConversionReport conversion;
  bool automatic = false;
  bool in_maintenance_window = false;
};

}  // namespace eiderreel::upgrade
