// Socket addresses out of their text form IP:PORT.
#pragma once
#include <netinet/in.h>

#include <optional>
#include <string>

#include "config/host_port.h"

namespace eiderreel::net {

/// An address whose host is an IPv4 address.
using Address = HostPort;

/// Parses "10.0.0.1:8080". Nothing if it is not an IPv4 address with a port from 1 to 65535.
std::optional<Address> parse_address(const std::string& text);

/// The socket address of "10.0.0.1:8080". A host that is not an IPv4 address becomes 0.0.0.0.
sockaddr_in to_sockaddr(const std::string& text);

}  // namespace eiderreel::net
