// Parsing of IPv4 socket addresses from the text form IP:PORT.
#pragma once
#include <netinet/in.h>

#include <optional>
#include <string>

#include "config/host_port.h"

namespace eiderreel::net {

/// A host and port whose host is an IPv4 address.
using Address = HostPort;

/// Parses text such as "10.0.0.1:8080". Returns nullopt unless the text is an IPv4 address with a
/// port from 1 to 65535.
std::optional<Address> parse_address(const std::string& text);

/// Converts text such as "10.0.0.1:8080" to a socket address. A host that is not an IPv4 address
/// becomes 0.0.0.0.
sockaddr_in to_sockaddr(const std::string& text);

}  // namespace eiderreel::net
