// Human-readable output of the upgrade commands.
#pragma once
#include <rapidjson/document.h>

#include <string>

namespace eiderreel::cli {

/// Formats the reply to `upgrade status`: the cluster's version, the controllers with their builds,
/// and the state of the conversion.
std::string status_text(const rapidjson::Document& status);
/// Formats the plan of a step: its effect and its obstacles.
std::string plan_text(const rapidjson::Document& plan);
/// Formats the history: the requested steps with their outcomes.
std::string history_text(const rapidjson::Document& history);

}  // namespace eiderreel::cli
