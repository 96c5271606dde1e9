// Answers to the upgrade commands as tables for people.
#pragma once
#include <rapidjson/document.h>

#include <string>

namespace eiderreel::cli {

/// The cluster's version, the controllers with their builds, and the state of the conversion.
std::string status_text(const rapidjson::Document& status);
/// What a step needs and does, and what stands in its way.
std::string plan_text(const rapidjson::Document& plan);
/// The steps that were asked for, with their outcomes.
std::string history_text(const rapidjson::Document& history);

}  // namespace eiderreel::cli
