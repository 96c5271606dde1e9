// Lenient access to the fields of a controller's JSON reply. The controller may run another build,
// so any field may be missing or of another type.
#pragma once
#include <rapidjson/document.h>

#include <string>

namespace eiderreel::cli {

/// Returns a field of any type; null if it is missing or `object` is not an object.
const rapidjson::Value* field_in(const rapidjson::Value& object, const char* name);
/// Returns an array field; null if it is missing or of another type.
const rapidjson::Value* list_in(const rapidjson::Value& object, const char* name);
/// Returns a string field; empty if it is missing or of another type.
std::string text_in(const rapidjson::Value& object, const char* name);
/// Returns a numeric field; 0 if it is missing or of another type.
double number_in(const rapidjson::Value& object, const char* name);
/// Returns a boolean field; false if it is missing or of another type.
bool flag_in(const rapidjson::Value& object, const char* name);

}  // namespace eiderreel::cli
