// Lenient access to the fields of a controller's JSON reply. The controller may run another build,
// so any field may be missing or of another type.
#include "cli/json_fields.h"

namespace eiderreel::cli {

using rapidjson::Value;

const Value* field_in(const Value& object, const char* name) {
  if (!object.IsObject()) return nullptr;
  const auto member = object.FindMember(name);
  return member == object.MemberEnd() ? nullptr : &member->value;
}

const Value* list_in(const Value& object, const char* name) {
  const Value* list = field_in(object, name);
  return list && list->IsArray() ? list : nullptr;
}

std::string text_in(const Value& object, const char* name) {
  const Value* value = field_in(object, name);
  return value && value->IsString() ? std::string(value->GetString(), value->GetStringLength())
                                    : std::string();
}

double number_in(const Value& object, const char* name) {
  const Value* value = field_in(object, name);
  return value && value->IsNumber() ? value->GetDouble() : 0;
}

bool flag_in(const Value& object, const char* name) {
  const Value* value = field_in(object, name);
  return value != nullptr && value->IsBool() && value->GetBool();
}

}  // namespace eiderreel::cli
