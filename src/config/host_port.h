// Parsing of addresses of the form HOST:PORT.
#pragma once
#include <cstdint>
#include <optional>
#include <string>

namespace eiderreel {

/// An address in its two parts. The host is any text; whether it is an IP address is checked
/// where a socket needs one (see net/address.h).
struct HostPort {
  std::string host;
  std::uint16_t port = 0;
};

/// Splits "10.0.0.1:8080" at its last colon. Nothing if the host is empty or the port is not a
/// decimal number from 1 to 65535.
std::optional<HostPort> parse_host_port(const std::string& text);

}  // namespace eiderreel
