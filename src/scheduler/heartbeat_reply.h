// How a controller answers a heartbeat.
#pragma once
#include <cstdint>
#include <vector>

#include "model/heartbeat.h"

namespace eiderreel {

/// Whether a heartbeat counts.
enum class HeartbeatVerdict : std::uint8_t {
  ok,     // answer with the commands
  stale,  // an older message, or one above our fencing token: answer 503, learn nothing
};

/// The answer to a heartbeat, without the launches of new tasks.
struct HeartbeatReply {
  HeartbeatVerdict verdict = HeartbeatVerdict::ok;
  std::uint64_t fencing_token = 0;
  std::vector<Command> commands;
};

}  // namespace eiderreel
