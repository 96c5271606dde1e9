// `eiderreel upgrade ...`: the subcommands and their options.
#pragma once
#include <CLI/CLI.hpp>
#include <string>

#include "cli/upgrade.h"

namespace eiderreel::cli {

/// The `upgrade` subcommands of a command line.
class UpgradeCommands {
 public:
  /// Adds the subcommands to `app`, which must outlive this object.
  explicit UpgradeCommands(CLI::App& app);
  /// Whether one of them was given on the command line.
  bool asked() const { return upgrade_->parsed(); }
  /// Carries it out and returns the exit code.
  int run();

 private:
  UpgradeCall call_;
  std::string action_ = "advance";  // of `plan`
  CLI::App* upgrade_;
  CLI::App* status_;
  CLI::App* plan_;
  CLI::App* history_;
  CLI::App* advance_;
  CLI::App* abort_;
  CLI::App* finalize_;
};

}  // namespace eiderreel::cli
