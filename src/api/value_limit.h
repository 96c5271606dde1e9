// Size limit of values in the state store.
#pragma once
#include <cstddef>

#include "config/settings.h"

namespace eiderreel {

/// The largest size of a value that the state store accepts, in bytes.
inline std::size_t value_limit_bytes(const Settings& settings) {
  constexpr int kBytesPerKib = 1024;
  return static_cast<std::size_t>(settings.state_value_kb * kBytesPerKib);
}

}  // namespace eiderreel
