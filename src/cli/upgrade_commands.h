// `eiderreel upgrade ...`: the commands and their options.
#pragma once
#include <CLI/CLI.hpp>
#include <string>

#include "cli/upgrade.h"

namespace eiderreel::cli {

class UpgradeCommands {
 public:
  explicit UpgradeCommands(CLI::App& app);
  // Whether one of them was given on the command line.
  bool asked() const { return upgrade_->parsed(); }
  // Carries it out; the exit code.
  int run();

 private:
  UpgradeCall call_;
  std::string action_ = "advance";  // whose plan is asked for
  CLI::App *upgrade_, *status_, *plan_, *history_, *advance_, *abort_, *finalize_;
};

}  // namespace eiderreel::cli
