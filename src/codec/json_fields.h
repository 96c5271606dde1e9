// Reading and writing of JSON fields, shared by the codecs of one counterpart each.
#pragma once
#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <cmath>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "model/job.h"

namespace eiderreel::codec::fields {

using Doc = rapidjson::Document;
using Value = rapidjson::Value;
using Buffer = rapidjson::StringBuffer;
using Writer = rapidjson::Writer<Buffer>;

constexpr unsigned kFlags = rapidjson::kParseIterativeFlag | rapidjson::kParseValidateEncodingFlag;
constexpr double kAmountMax = 1e9;  // above any machine or duration: absurd

inline bool parse(Doc& d, const std::string& body) {
  d.Parse<kFlags>(body.data(), body.size());
  return !d.HasParseError() && d.IsObject();
}

inline const Value* field(const Value& v, const char* name) {
  auto it = v.FindMember(name);
  return it == v.MemberEnd() || it->value.IsNull() ? nullptr : &it->value;
}

inline bool get(const Value& v, const char* name, std::string& out) {
  const Value* f = field(v, name);
  if (!f || !f->IsString()) return false;
  out.assign(f->GetString(), f->GetStringLength());
  return true;
}
inline bool get(const Value& v, const char* name, bool& out) {
  const Value* f = field(v, name);
  if (!f || !f->IsBool()) return false;
  out = f->GetBool();
  return true;
}
inline bool get(const Value& v, const char* name, double& out) {
  const Value* f = field(v, name);
  if (!f || !f->IsNumber()) return false;
  out = f->GetDouble();
  return std::isfinite(out);
}
inline bool get(const Value& v, const char* name, std::uint64_t& out) {
  const Value* f = field(v, name);
  if (!f || !f->IsUint64()) return false;
  out = f->GetUint64();
  return true;
}

template <class F>
std::string object(F&& fill) {
  Buffer b;
  Writer w(b);
  w.StartObject();
  fill(w);
  w.EndObject();
  return {b.GetString(), b.GetSize()};
}
inline void put(Writer& w, const char* k, const std::string& v) {
  w.Key(k);
  w.String(v.data(), static_cast<rapidjson::SizeType>(v.size()));
}
inline void put(Writer& w, const char* k, bool v) { w.Key(k), w.Bool(v); }
inline void put(Writer& w, const char* k, double v) { w.Key(k), w.Double(v); }
inline void put(Writer& w, const char* k, std::uint64_t v) { w.Key(k), w.Uint64(v); }
inline void put(Writer& w, const char* k, int v) { w.Key(k), w.Int(v); }

// The value of an enumeration whose names stand in its order.
template <class E, std::size_t N>
std::optional<E> named(const std::string& s, const char* const (&names)[N]) {
  for (std::size_t i = 0; i < N; ++i)
    if (s == names[i]) return static_cast<E>(i);
  return std::nullopt;
}

inline constexpr const char* kJobPhases[] = {"queued", "running", "done", "cancelled"};

inline bool starts_with(const std::string& s, const char* prefix) {
  return s.rfind(prefix, 0) == 0;
}

// The job in the form in which users submit it; its record in the state store has the same.
// The name of the first field that is missing or invalid; empty: none is.
std::string parse_spec(const Value& d, JobSpec& j);
// A list of job ids, each taken once; false: it is none. Missing or null, it is empty.
bool parse_job_ids(const Value& d, const char* name, std::vector<std::string>& out);
void put_job_ids(Writer& w, const char* name, const std::vector<std::string>& ids);
void put_spec(Writer& w, const JobSpec& j);

}  // namespace eiderreel::codec::fields
