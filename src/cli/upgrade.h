// `eiderreel upgrade`: questions about cluster versions, and the steps between them.
#pragma once
#include <set>
#include <string>
#include <vector>

#include "upgrade/step_plan.h"

namespace eiderreel::cli {

/// What an upgrade command was given on the command line.
struct UpgradeCall {
  std::vector<std::string>
      addrs;               ///< Controllers (IP:PORT), asked in this order until one answers.
  bool json = false;       ///< Print the JSON of the answer.
  bool dry_run = false;    ///< Only say what a step needs and would do.
  bool confirmed = false;  ///< The operator has confirmed what cannot be taken back.
  upgrade::Action action = upgrade::Action::advance;
  std::set<std::string> without;  ///< Controllers that are away and need not agree.
  std::string who;                ///< Who asks, for the record.
  std::string reason;             ///< Why, for the record.
};

// Each command prints to standard output, and what went wrong to standard error, and returns one of
// the codes in exit_code.h.

/// Versions of the cluster and its controllers.
int upgrade_status(const UpgradeCall& call);
/// What a step needs, and what stands in its way.
int upgrade_plan(const UpgradeCall& call);
/// Takes a step.
int upgrade_step(const UpgradeCall& call);
/// The steps that were asked for, with their outcomes.
int upgrade_history(const UpgradeCall& call);

}  // namespace eiderreel::cli
