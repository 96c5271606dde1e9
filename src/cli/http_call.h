// One HTTP request of the command line to a running controller, with a bounded wait.
#pragma once
#include <string>

#include "constants.h"
#include "runtime/runtime.h"

namespace eiderreel::cli {

// Sends the request and waits for its answer; status 0: none came in time. `addr` is IP:PORT.
HttpReply http_call(const std::string& addr, const std::string& method, const std::string& path,
                    const std::string& body, Ms timeout);

// Whether the text has the form IP:PORT.
bool is_address(const std::string& text);

}  // namespace eiderreel::cli
