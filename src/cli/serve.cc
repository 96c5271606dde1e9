// `eiderreel serve`: runs a controller.
#include "cli/serve.h"

#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <csignal>
#include <cstdlib>
#include <utility>

#include "cli/exit_code.h"
#include "controller/controller.h"
#include "net/event_loop.h"

namespace eiderreel::cli {
namespace {

spdlog::level::level_enum level_of(const std::string& name) {
  if (name == "debug") return spdlog::level::debug;
  if (name == "error") return spdlog::level::err;
  return spdlog::level::info;
}

void set_up_log(const std::string& node) {
  auto logger = spdlog::stderr_logger_st(node);
  logger->set_pattern("%Y-%m-%dT%H:%M:%S.%eZ %l %n %v", spdlog::pattern_time_type::utc);
  const char* level = std::getenv("LOG_LEVEL");
  logger->set_level(level_of(level ? level : "info"));
  spdlog::set_default_logger(logger);
}

}  // namespace

int serve(const SettingsFiles& files) {
  const auto settings = load_settings_files(files);
  if (!settings) return exit_code::kUsage;
  set_up_log(settings->node);
  // A write to a connection that the remote side has closed must not terminate the process.
  std::signal(SIGPIPE, SIG_IGN);
  net::EventLoop loop(*settings);
  Controller controller(loop, *settings);
  const auto on_request = [&](const std::string& method, const std::string& path,
                              const std::string& body, const Reply& reply) {
    controller.serve_request(method, path, body, reply);
  };
  const auto on_frame = [&](const std::string& bytes) { controller.receive_peer_message(bytes); };
  if (const auto listening = loop.listen(on_request, on_frame); !listening) {
    spdlog::error("controller start failed, cannot listen node={} reason=\"{}\"", settings->node,
                  net::to_string(listening.error()));
    return exit_code::kFailure;
  }
  spdlog::info("controller start node={} api={} peer={} boot={}", settings->node,
               settings->api_addr, settings->peer_addr, loop.boot_id());
  controller.start();
  loop.call_every(constants::kTickMs, [&] { controller.tick(); });
  loop.run();
  return exit_code::kSuccess;
}

}  // namespace eiderreel::cli
