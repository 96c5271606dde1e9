// The operators' requests about upgrades, as HTTP: paths, methods and status codes.
#pragma once
#include <string>

#include "runtime/runtime.h"
#include "upgrade/coordinator.h"

namespace eiderreel::upgrade {

// Whether the path belongs to the upgrade commands.
bool is_upgrade_path(const std::string& path);

// Answers the request, at once or later: 200 a step was taken or a question answered, 400
// malformed, 404 not enabled here, 409 an obstacle or a change meanwhile, 503 nothing was done, 504
// unknown.
void serve(Coordinator& coordinator, const std::string& method, const std::string& path,
           const std::string& body, Reply reply);

}  // namespace eiderreel::upgrade
