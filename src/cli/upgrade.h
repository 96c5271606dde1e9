// `eiderreel upgrade`: what operators ask about cluster versions, and the steps that they take.
#pragma once
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "upgrade/step_plan.h"

namespace eiderreel::cli {

struct UpgradeCall {
  std::vector<std::string> addrs;  // of controllers, asked in this order until one answers
  bool json = false;
  bool dry_run = false;
  bool confirmed = false;
  upgrade::Action action = upgrade::Action::advance;
  std::set<std::string> without;
  std::string who, reason;
};

// Each prints to standard output, and what went wrong to standard error. Exit codes: 0 done, 1 it
// failed or a condition is not met, 2 malformed, 3 not known.
int upgrade_status(const UpgradeCall& call);
int upgrade_plan(const UpgradeCall& call);
int upgrade_step(const UpgradeCall& call);
int upgrade_history(const UpgradeCall& call);

}  // namespace eiderreel::cli
