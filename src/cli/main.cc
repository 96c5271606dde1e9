// The command line. One subcommand each for what an operator does; the daemon is `serve`.
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdlib>
#include <iostream>

#include "cli/status.h"
#include "cli/upgrade_commands.h"
#include "config/settings.h"
#include "controller/controller.h"
#include "net/event_loop.h"

namespace {

using namespace eiderreel;

constexpr int kExitSettings = 2;
constexpr int kExitFailed = 1;

void set_up_log(const std::string& node) {
  auto logger = spdlog::stderr_logger_st(node);
  logger->set_pattern("%Y-%m-%dT%H:%M:%S.%eZ %l %n %v", spdlog::pattern_time_type::utc);
  const char* level = std::getenv("LOG_LEVEL");
  const std::string name = level ? level : "info";
  logger->set_level(name == "debug"   ? spdlog::level::debug
                    : name == "error" ? spdlog::level::err
                                      : spdlog::level::info);
  spdlog::set_default_logger(logger);
}

// The settings files that a controller is given.
struct Files {
  std::string platform;
  std::string upgrade;  // empty: none
};

// This build's range of cluster versions; a build for rehearsals may be given a lower ceiling.
upgrade::VersionRange build_versions() {
#ifdef EIDERREEL_NEWEST_VERSION
  return {upgrade::kFirstVersion, static_cast<upgrade::ClusterVersion>(EIDERREEL_NEWEST_VERSION)};
#else
  return {};
#endif
}

bool load(const Files& files, Settings& out) {
  auto result = load_settings(files.platform);
  out = result.settings;
  out.upgrade.build = EIDERREEL_VERSION;
  out.upgrade.range = build_versions();
  auto problems = std::move(result.problems);
  if (!files.upgrade.empty())
    for (auto& problem : upgrade::load_upgrade_settings(files.upgrade, out.upgrade))
      problems.push_back(std::move(problem));
  for (const auto& problem : problems) std::cerr << problem << "\n";
  return problems.empty();
}

int check(const Files& files) {
  Settings s;
  if (!load(files, s)) return kExitSettings;
  std::cout << files.platform << ": good; node " << s.node << ", " << s.peers.size() << " peers, "
            << s.teams.size() << " teams in " << s.partition_count << " partitions\n";
  if (s.upgrade.enabled)
    std::cout << files.upgrade << ": good; versions " << upgrade::to_string(s.upgrade.range)
              << ", automatic steps " << (s.upgrade.automatic ? "on" : "off") << "\n";
  return 0;
}

int serve(const Files& files) {
  Settings s;
  if (!load(files, s)) return kExitSettings;
  set_up_log(s.node);
  std::signal(SIGPIPE, SIG_IGN);
  net::Loop loop(s);
  Controller controller(loop, s);
  std::string error;
  const bool listening =
      loop.listen([&](const std::string& method, const std::string& path, const std::string& body,
                      Reply reply) { controller.request(method, path, body, std::move(reply)); },
                  [&](const std::string& bytes) { controller.frame(bytes); }, error);
  if (!listening) {
    spdlog::error("start failed node={} reason=\"{}\"", s.node, error);
    return kExitFailed;
  }
  spdlog::info("start node={} api={} peer={} boot={}", s.node, s.api_addr, s.peer_addr,
               loop.boot_id());
  controller.start();
  loop.every(constants::kTickMs, [&] { controller.tick(); });
  loop.run();
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{
      "eiderreel, a cluster scheduler: tasks wait in team queues and are bound to a "
      "machine when its heartbeat shows free room."};
  app.set_version_flag("--version", std::string("eiderreel ") + EIDERREEL_VERSION);
  app.require_subcommand(1);
  Files files;
  auto* serve_cmd = app.add_subcommand("serve", "run a controller until it is killed");
  serve_cmd->add_option("--config", files.platform, "the platform's settings file (TOML)")
      ->required();
  auto* check_cmd = app.add_subcommand("check", "check a settings file and say what is wrong");
  check_cmd->add_option("--config", files.platform, "the platform's settings file (TOML)")
      ->required();
  for (auto* command : {serve_cmd, check_cmd})
    command->add_option("--upgrade", files.upgrade, "the operators' upgrade file (TOML)");
  cli::UpgradeCommands upgrade_commands(app);
  auto* status_cmd = app.add_subcommand("status", "show what a running controller says of itself");
  std::string addr;
  bool json = false;
  status_cmd->add_option("--addr", addr, "its api_addr, IP:PORT")->required();
  status_cmd->add_flag("--json", json, "print JSON");
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& e) {
    const int code = app.exit(e);
    return code == 0 ? 0 : kExitSettings;
  }
  if (*check_cmd) return check(files);
  if (upgrade_commands.asked()) return upgrade_commands.run();
  if (*status_cmd) return cli::status(addr, json);
  return serve(files);
}
