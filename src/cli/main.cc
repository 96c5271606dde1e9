// The command line of eiderreel, with its subcommands.
#include <CLI/CLI.hpp>
#include <string>

#include "cli/check.h"
#include "cli/exit_code.h"
#include "cli/serve.h"
#include "cli/status.h"
#include "cli/upgrade_commands.h"

namespace {

using namespace eiderreel;

// The subcommands and the values of their options. --help lists the subcommands in the order of the
// members.
class CommandLine {
 public:
  CommandLine()
      : app_(
            "eiderreel, a cluster scheduler: tasks wait in team queues and are bound to a "
            "machine when its heartbeat shows free room."),
        serve_(app_.add_subcommand("serve", "run a controller until it is killed")),
        check_(app_.add_subcommand("check", "check a settings file and report what is wrong")),
        upgrade_(app_),
        status_(
            app_.add_subcommand("status", "show what a running controller reports about itself")) {
    app_.set_version_flag("--version", std::string("eiderreel ") + EIDERREEL_VERSION);
    app_.require_subcommand(1);
    for (CLI::App* command : {serve_, check_}) {
      command->add_option("--config", files_.platform, "the platform's settings file (TOML)")
          ->required();
      command->add_option("--upgrade", files_.upgrade, "the operators' upgrade file (TOML)");
    }
    status_->add_option("--addr", status_addr_, "api_addr of the controller, IP:PORT")->required();
    status_->add_flag("--json", status_json_, "print JSON");
  }

  // Parses the arguments, runs the selected command and returns the exit code.
  int run(int argc, char** argv) {
    try {
      app_.parse(argc, argv);
    } catch (const CLI::ParseError& error) {
      const bool help_or_version_requested = app_.exit(error) == 0;
      return help_or_version_requested ? cli::exit_code::kSuccess : cli::exit_code::kUsage;
    }
    if (*check_) return cli::check(files_);
    if (upgrade_.selected()) return upgrade_.run();
    if (*status_) return cli::status(status_addr_, status_json_);
    return cli::serve(files_);
  }

 private:
  CLI::App app_;
  cli::SettingsFiles files_;
  std::string status_addr_;
  bool status_json_ = false;
  CLI::App* serve_;
  CLI::App* check_;
  cli::UpgradeCommands upgrade_;
  CLI::App* status_;
};

}  // namespace

int main(int argc, char** argv) { return CommandLine().run(argc, argv); }
