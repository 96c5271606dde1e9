// Command-line parsing of the `eiderreel upgrade` subcommands.
#pragma once
#include <CLI/CLI.hpp>
#include <string>

#include "cli/upgrade.h"

namespace eiderreel::cli {

/// Defines the `upgrade` subcommands of the command line and runs the selected one.
class UpgradeCommands {
 public:
  /// Adds the subcommands to `app`, which must outlive this object.
  explicit UpgradeCommands(CLI::App& app);
  /// Returns whether the command line selects an `upgrade` subcommand.
  bool selected() const { return upgrade_->parsed(); }
  /// Runs the selected subcommand and returns the exit code.
  int run();

 private:
  UpgradeOptions options_;
  std::string action_ = "advance";  // value of --action of the `plan` subcommand
  CLI::App* upgrade_;
  CLI::App* status_;
  CLI::App* plan_;
  CLI::App* history_;
  CLI::App* advance_;
  CLI::App* abort_;
  CLI::App* finalize_;
};

}  // namespace eiderreel::cli
