// Why a controller could not start to listen.
#pragma once
#include <string>

namespace eiderreel::net {

/// An address that could not be bound.
struct ListenError {
  std::string field;    ///< Field of the settings file that gives the address.
  std::string address;  ///< IP:PORT.
};

/// One line for the log.
std::string to_string(const ListenError& error);

}  // namespace eiderreel::net
