// The operators' requests about upgrades, as HTTP: paths, methods and status codes.
#pragma once
#include <string>

#include "runtime/runtime.h"
#include "upgrade/coordinator.h"

namespace eiderreel::upgrade {

/// Whether the path belongs to the upgrade commands.
bool is_upgrade_path(const std::string& path);

/// Answers the request, at once or later. Statuses:
/// 200 a step was taken, or a question answered;
/// 400 malformed;
/// 404 not enabled here, or no such path;
/// 405 another method is needed;
/// 409 an obstacle stands in the way, or something changed meanwhile;
/// 503 nothing was done;
/// 504 the outcome is unknown.
void serve(Coordinator& coordinator, const std::string& method, const std::string& path,
           const std::string& body, const Reply& reply);

}  // namespace eiderreel::upgrade
