// Parsing of addresses of the form HOST:PORT.
#include "config/host_port.h"

#include <algorithm>
#include <limits>

namespace eiderreel {
namespace {

constexpr std::size_t kPortDigitsMax = 5;

bool is_digit(char character) { return character >= '0' && character <= '9'; }

}  // namespace

std::optional<HostPort> parse_host_port(const std::string& text) {
  const auto colon = text.rfind(':');
  if (colon == std::string::npos || colon == 0) return std::nullopt;
  const std::string digits = text.substr(colon + 1);
  if (digits.empty() || digits.size() > kPortDigitsMax) return std::nullopt;
  if (!std::all_of(digits.begin(), digits.end(), is_digit)) return std::nullopt;
  const int port = std::stoi(digits);
  if (port == 0 || port > std::numeric_limits<std::uint16_t>::max()) return std::nullopt;
  return HostPort{text.substr(0, colon), static_cast<std::uint16_t>(port)};
}

}  // namespace eiderreel
