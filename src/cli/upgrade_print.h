// The answers to the upgrade commands, as tables for people.
#pragma once
#include <rapidjson/document.h>

#include <string>

namespace eiderreel::cli {

// Fields of an answer; what is missing or of another type is empty or zero.
std::string text_in(const rapidjson::Value& object, const char* name);
double number_in(const rapidjson::Value& object, const char* name);
bool flag_in(const rapidjson::Value& object, const char* name);

std::string status_text(const rapidjson::Document& status);
std::string plan_text(const rapidjson::Document& plan);
std::string history_text(const rapidjson::Document& history);

}  // namespace eiderreel::cli
