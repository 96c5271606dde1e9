// Command-line parsing of the `eiderreel upgrade` subcommands.
#include "cli/upgrade_commands.h"

#include <cstdlib>

namespace eiderreel::cli {
namespace {

constexpr std::size_t kMaxNameCharacters = 100;  // controllers reject a longer name

// Returns the default value of --by.
std::string login_name() {
  const char* user = std::getenv("USER");
  return user && *user != '\0' ? user : "operator";
}

// CLI11 validator: returns the error message, or an empty string if the name can be recorded.
std::string check_name(const std::string& text) {
  return !text.empty() && text.size() <= kMaxNameCharacters ? "" : "must have 1 to 100 characters";
}

void add_common_options(CLI::App& command, UpgradeOptions& options) {
  command.add_option("--addr", options.addrs, "api_addr of a controller, IP:PORT; more may follow")
      ->required();
  command.add_flag("--json", options.json, "print JSON");
}

void add_step_options(CLI::App& command, UpgradeOptions& options) {
  add_common_options(command, options);
  command.add_option("--without", options.excluded_controllers,
                     "take the step without this controller, which is away");
  command.add_option("--by", options.requested_by, "who requests the step, for the history")
      ->check(check_name, "NAME")
      ->capture_default_str();
}

// Adds a subcommand that takes a step, or with --dry-run only prints the step's plan.
CLI::App* add_step(CLI::App& parent, UpgradeOptions& options, const char* name, const char* help) {
  CLI::App* command = parent.add_subcommand(name, help);
  add_step_options(*command, options);
  command->add_option("--reason", options.reason, "reason of the step, for the history");
  command->add_flag("--dry-run", options.dry_run,
                    "only show the plan: what the step needs and would do");
  command->add_flag("--yes", options.confirmed, "confirm what cannot be undone once taken");
  return command;
}

}  // namespace

UpgradeCommands::UpgradeCommands(CLI::App& app)
    : upgrade_(app.add_subcommand("upgrade", "the cluster's version, and steps between versions")),
      status_(upgrade_->add_subcommand("status", "versions of the cluster and its controllers")),
      plan_(upgrade_->add_subcommand("plan", "what a step needs, and what its obstacles are")),
      history_(upgrade_->add_subcommand(
          "history", "requested steps: who requested each step, and its outcome")),
      advance_(add_step(*upgrade_, options_, "advance", "one step forward")),
      abort_(add_step(*upgrade_, options_, "abort", "one step back")),
      finalize_(
          add_step(*upgrade_, options_, "finalize", "the last step, which cannot be undone")) {
  upgrade_->require_subcommand(1);
  options_.requested_by = login_name();
  add_common_options(*status_, options_);
  add_common_options(*history_, options_);
  add_step_options(*plan_, options_);
  plan_->add_option("--action", action_, "the step: advance, abort or finalize")
      ->check(CLI::IsMember({"advance", "abort", "finalize"}))
      ->capture_default_str();
}

int UpgradeCommands::run() {
  if (*status_) return upgrade_status(options_);
  if (*history_) return upgrade_history(options_);
  if (*plan_) {
    options_.action = *upgrade::parse_action(action_);
    options_.reason = "plan";
    return upgrade_plan(options_);
  }
  options_.action = upgrade::Action::finalize;
  if (*advance_) options_.action = upgrade::Action::advance;
  if (*abort_) options_.action = upgrade::Action::abort;
  if (options_.dry_run) options_.reason = "dry run";
  return upgrade_step(options_);
}

}  // namespace eiderreel::cli
