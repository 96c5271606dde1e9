// Synchronous HTTP requests from the command line to a running controller.
#pragma once
#include <string>

#include "constants.h"
#include "runtime/runtime.h"

namespace eiderreel::cli {

/// Sends one request to `addr` (IP:PORT) and blocks until the reply arrives or `timeout`
/// milliseconds have passed. The reply has status 0 if `addr` is malformed, the connection failed
/// or no reply arrived in time.
HttpReply http_call(const std::string& addr, const std::string& method, const std::string& path,
                    const std::string& body, Ms timeout);

/// Returns whether `text` is an address of the form IP:PORT.
bool is_address(const std::string& text);

}  // namespace eiderreel::cli
