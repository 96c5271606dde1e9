// What the leadership modules count for /metrics.
#pragma once
#include <cstdint>

namespace eiderreel {

/// Events since the start of the process.
struct LeadershipCounters {
  std::uint64_t claims = 0;
  std::uint64_t failbacks = 0;   ///< partitions given up, also those whose workers were lost
  std::uint64_t heartbeats = 0;  ///< heartbeats received
  std::uint64_t stale_heartbeats = 0;
  std::uint64_t deferred = 0;  ///< replies to heartbeats that waited for work
  std::uint64_t starts = 0;    ///< launch commands sent
  std::uint64_t lease_expiries = 0;
  std::uint64_t preemptions = 0;
};

}  // namespace eiderreel
