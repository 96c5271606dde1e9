// Error of a controller that cannot listen on one of its addresses.
#pragma once
#include <string>

namespace eiderreel::net {

/// An address that could not be bound.
struct ListenError {
  std::string field;    ///< Name of the settings file's field with the address.
  std::string address;  ///< IP:PORT.
};

/// Formats the error as a single line for the log.
std::string to_string(const ListenError& error);

}  // namespace eiderreel::net
