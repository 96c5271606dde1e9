// The reply of a controller to a heartbeat.
#pragma once
#include <cstdint>
#include <vector>

#include "model/heartbeat.h"

namespace eiderreel {

/// Whether a heartbeat is accepted.
enum class HeartbeatVerdict : std::uint8_t {
  ok,  // accepted; the reply has the commands
  // Rejected with status 503: the heartbeat is outdated or its fencing token is above this
  // leader's, and its contents are ignored; or the replies to the machine are being lost.
  stale,
};

/// The reply to a heartbeat, without the launches of new tasks.
struct HeartbeatReply {
  HeartbeatVerdict verdict = HeartbeatVerdict::ok;
  std::uint64_t fencing_token = 0;
  std::vector<Command> commands;
};

}  // namespace eiderreel
