// Heartbeats of workers and the replies to them, in JSON; sections "Workers -> controller nodes"
// and "Controller nodes -> workers" of the protocol.
#pragma once
#include <cstdint>
#include <string>
#include <vector>

#include "codec/decode_error.h"
#include "model/heartbeat.h"

namespace eiderreel::codec {

/// The body of "POST /v1/report".
Decoded<Heartbeat> parse_heartbeat(const std::string& body);
/// The answer to a heartbeat, with commands in the order in which the worker executes them.
std::string heartbeat_reply_body(std::uint64_t fencing_token, const std::vector<Command>& commands);
/// The body of "POST /commands". The worker refuses it if its incarnation is another one.
std::string commands_body(std::uint64_t fencing_token, std::uint64_t incarnation,
                          const std::vector<Command>& commands);
/// The body of a 421, which sends the worker to another node.
std::string upstream_body(const std::string& node);

}  // namespace eiderreel::codec
