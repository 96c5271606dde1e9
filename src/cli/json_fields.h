// Lenient access to the fields of a controller's answer, which may be of another build.
#pragma once
#include <rapidjson/document.h>

#include <string>

namespace eiderreel::cli {

/// A field of any type; null if it is missing or `object` is no object.
const rapidjson::Value* field_in(const rapidjson::Value& object, const char* name);
/// A field that is a list; null if it is missing or of another type.
const rapidjson::Value* list_in(const rapidjson::Value& object, const char* name);
/// A text; empty if it is missing or of another type.
std::string text_in(const rapidjson::Value& object, const char* name);
/// A number; 0 if it is missing or of another type.
double number_in(const rapidjson::Value& object, const char* name);
/// A flag; false if it is missing or of another type.
bool flag_in(const rapidjson::Value& object, const char* name);

}  // namespace eiderreel::cli
