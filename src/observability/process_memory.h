// The memory of this process, for /metrics and /status.
#pragma once
#include <cstddef>

namespace eiderreel {

/// Bytes of memory that the process holds (its resident set); 0: the system does not tell.
std::size_t resident_bytes();

}  // namespace eiderreel
