// `eiderreel upgrade ...`: the subcommands and their options.
#include "cli/upgrade_commands.h"

#include <cstdlib>

namespace eiderreel::cli {
namespace {

constexpr std::size_t kNameMax = 100;  // characters; controllers refuse a longer one

// The default of --by.
std::string login_name() {
  const char* user = std::getenv("USER");
  return user && *user != '\0' ? user : "operator";
}

// A validator of CLI11: the error, or empty if the name fits the record.
std::string check_name(const std::string& text) {
  return !text.empty() && text.size() <= kNameMax ? "" : "must have 1 to 100 characters";
}

void add_addresses(CLI::App& command, UpgradeCall& call) {
  command.add_option("--addr", call.addrs, "api_addr of a controller, IP:PORT; more may follow")
      ->required();
  command.add_flag("--json", call.json, "print JSON");
}

void add_step_options(CLI::App& command, UpgradeCall& call) {
  add_addresses(command, call);
  command.add_option("--without", call.without, "go on without this controller, which is away");
  command.add_option("--by", call.who, "who asks, for the record")
      ->check(check_name, "NAME")
      ->capture_default_str();
}

// A command that takes a step, or only tells what it would do.
CLI::App* add_step(CLI::App& parent, UpgradeCall& call, const char* name, const char* help) {
  CLI::App* command = parent.add_subcommand(name, help);
  add_step_options(*command, call);
  command->add_option("--reason", call.reason, "why, for the record");
  command->add_flag("--dry-run", call.dry_run, "tell what it needs and would do, and do nothing");
  command->add_flag("--yes", call.confirmed, "confirm what cannot be taken back");
  return command;
}

}  // namespace

UpgradeCommands::UpgradeCommands(CLI::App& app)
    : upgrade_(app.add_subcommand("upgrade", "the cluster's version, and steps between versions")),
      status_(upgrade_->add_subcommand("status", "versions of the cluster and its controllers")),
      plan_(upgrade_->add_subcommand("plan", "what a step needs, and what stands in its way")),
      history_(upgrade_->add_subcommand("history", "who asked for which step, and its outcome")),
      advance_(add_step(*upgrade_, call_, "advance", "one step forward")),
      abort_(add_step(*upgrade_, call_, "abort", "one step back")),
      finalize_(add_step(*upgrade_, call_, "finalize", "the last step, which has no way back")) {
  upgrade_->require_subcommand(1);
  call_.who = login_name();
  add_addresses(*status_, call_);
  add_addresses(*history_, call_);
  add_step_options(*plan_, call_);
  plan_->add_option("--action", action_, "the step: advance, abort or finalize")
      ->check(CLI::IsMember({"advance", "abort", "finalize"}))
      ->capture_default_str();
}

int UpgradeCommands::run() {
  if (*status_) return upgrade_status(call_);
  if (*history_) return upgrade_history(call_);
  if (*plan_) {
    call_.action = *upgrade::parse_action(action_);
    call_.reason = "plan";
    return upgrade_plan(call_);
  }
  call_.action = upgrade::Action::finalize;
  if (*advance_) call_.action = upgrade::Action::advance;
  if (*abort_) call_.action = upgrade::Action::abort;
  if (call_.dry_run) call_.reason = "dry run";
  return upgrade_step(call_);
}

}  // namespace eiderreel::cli
