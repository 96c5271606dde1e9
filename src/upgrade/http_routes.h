// HTTP API of the upgrade commands: paths, methods and status codes.
#pragma once
#include <string>

#include "runtime/runtime.h"
#include "upgrade/coordinator.h"

namespace eiderreel::upgrade {

/// Whether the path belongs to the upgrade API.
bool is_upgrade_path(const std::string& path);

/// Replies to the request, possibly after this call returns. Statuses:
/// 200 the step was taken, or the query succeeded;
/// 400 the body is malformed;
/// 404 the path does not exist, or this controller runs without an upgrade file;
/// 405 the path needs another method;
/// 409 the step has an obstacle, or the cluster changed before the step was committed;
/// 503 the state store failed or refused the request; nothing was changed;
/// 504 the outcome of the step is unknown.
void serve(Coordinator& coordinator, const std::string& method, const std::string& path,
           const std::string& body, const Reply& reply);

}  // namespace eiderreel::upgrade
