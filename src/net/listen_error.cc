// Formatting of ListenError.
#include "net/listen_error.h"

namespace eiderreel::net {

std::string to_string(const ListenError& error) {
  return "cannot listen on " + error.field + " " + error.address;
}

}  // namespace eiderreel::net
