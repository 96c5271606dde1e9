// `eiderreel upgrade`: queries of cluster versions, and the steps between versions.
#pragma once
#include <set>
#include <string>
#include <vector>

#include "upgrade/step_plan.h"

namespace eiderreel::cli {

/// Command-line options of an upgrade command.
struct UpgradeOptions {
  std::vector<std::string>
      addrs;               ///< Controllers (IP:PORT), tried in this order until one replies.
  bool json = false;       ///< Print the JSON reply instead of tables.
  bool dry_run = false;    ///< Only print the step's plan.
  bool confirmed = false;  ///< A step that cannot be undone or excludes controllers is confirmed.
  upgrade::Action action = upgrade::Action::advance;
  std::set<std::string> excluded_controllers;  ///< Controllers that are away and need not agree.
  std::string requested_by;                    ///< Who requests the step; stored in the history.
  std::string reason;  ///< Why the step is requested; stored in the history.
};

// Each command prints its result to standard output and errors to standard error, and returns one
// of the codes in exit_code.h.

/// Prints the versions of the cluster and its controllers.
int upgrade_status(const UpgradeOptions& options);
/// Prints the plan of a step: its effect and its obstacles.
int upgrade_plan(const UpgradeOptions& options);
/// Takes a step, or prints its plan if `dry_run` is set.
int upgrade_step(const UpgradeOptions& options);
/// Prints the requested steps with their outcomes.
int upgrade_history(const UpgradeOptions& options);

}  // namespace eiderreel::cli
