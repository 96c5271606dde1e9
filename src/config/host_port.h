// Parsing of addresses of the form HOST:PORT.
#pragma once
#include <cstdint>
#include <optional>
#include <string>

namespace eiderreel {

/// An address split into host and port. The host may be any text; net/address.h checks that it is
/// an IP address where a socket needs one.
struct HostPort {
  std::string host;
  std::uint16_t port = 0;
};

/// Splits an address like "10.0.0.1:8080" at its last colon. Returns nothing if the host is empty
/// or the port is not a decimal number from 1 to 65535.
std::optional<HostPort> parse_host_port(const std::string& text);

}  // namespace eiderreel
