// HTTP requests of the command line to a running controller.
#pragma once
#include <string>

#include "constants.h"
#include "runtime/runtime.h"

namespace eiderreel::cli {

/// Sends one request and waits for its answer, for at most `timeout` milliseconds. The answer has
/// status 0 if none came. `addr` is IP:PORT.
HttpReply http_call(const std::string& addr, const std::string& method, const std::string& path,
                    const std::string& body, Ms timeout);

/// Whether the text is an address of the form IP:PORT.
bool is_address(const std::string& text);

}  // namespace eiderreel::cli
