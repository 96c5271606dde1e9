// Memory use of this process, for /metrics and /status.
#pragma once
#include <cstddef>

namespace eiderreel {

/// The resident set size of this process in bytes; 0 if /proc cannot be read.
std::size_t resident_bytes();

}  // namespace eiderreel
