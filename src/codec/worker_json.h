// Heartbeats of workers and the replies to them, in JSON.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "model/heartbeat.h"

namespace eiderreel::codec {

std::optional<Heartbeat> parse_heartbeat(const std::string& body);
std::string heartbeat_reply_body(std::uint64_t fencing_token, const std::vector<Command>& commands);
std::string commands_body(std::uint64_t fencing_token, std::uint64_t incarnation,
                          const std::vector<Command>& commands);
std::string upstream_body(const std::string& node);

}  // namespace eiderreel::codec
