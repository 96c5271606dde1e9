// Parsing of IPv4 socket addresses from the text form IP:PORT.
#include "net/address.h"

#include <arpa/inet.h>

namespace eiderreel::net {

std::optional<Address> parse_address(const std::string& text) {
  std::optional<Address> address = parse_host_port(text);
  in_addr ip{};
  if (address && inet_pton(AF_INET, address->host.c_str(), &ip) != 1) return std::nullopt;
  return address;
}

sockaddr_in to_sockaddr(const std::string& text) {
  const Address address = parse_host_port(text).value_or(Address{});
  sockaddr_in socket_address{};
  socket_address.sin_family = AF_INET;
  socket_address.sin_port = htons(address.port);
  inet_pton(AF_INET, address.host.c_str(), &socket_address.sin_addr);
  return socket_address;
}

}  // namespace eiderreel::net
