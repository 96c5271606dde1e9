// JSON codec of heartbeats from workers and commands to workers. See the sections "Workers ->
// controller nodes" and "Controller nodes -> workers" of the protocol.
#pragma once
#include <cstdint>
#include <string>
#include <vector>

#include "codec/decode_error.h"
#include "model/heartbeat.h"

namespace eiderreel::codec {

/// Parses the body of "POST /v1/report".
Decoded<Heartbeat> parse_heartbeat(const std::string& body);
/// The body of the reply to a heartbeat. The worker executes the commands in the given order.
std::string heartbeat_reply_body(std::uint64_t fencing_token, const std::vector<Command>& commands);
/// The body of "POST /commands". The worker refuses the request if its own incarnation differs.
std::string commands_body(std::uint64_t fencing_token, std::uint64_t incarnation,
                          const std::vector<Command>& commands);
/// The body of a 421 reply, which redirects the worker to another controller.
std::string redirect_body(const std::string& node);

}  // namespace eiderreel::codec
