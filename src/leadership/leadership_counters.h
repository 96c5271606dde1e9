// Counters of the leadership modules for /metrics.
#pragma once
#include <cstdint>

namespace eiderreel {

/// Events since the start of the process.
struct LeadershipCounters {
  std::uint64_t claims = 0;
  std::uint64_t failbacks = 0;   ///< partitions relinquished, also after lost contact with workers
  std::uint64_t heartbeats = 0;  ///< heartbeats received
  std::uint64_t stale_heartbeats = 0;
  std::uint64_t deferred = 0;  ///< heartbeat replies that were deferred until there is work
  std::uint64_t starts = 0;    ///< launch commands sent
  std::uint64_t lease_expiries = 0;
  std::uint64_t preemptions = 0;
};

}  // namespace eiderreel
