// A controller of the build before prerequisites, made of the new one: what that build does not
// write is taken out of what this one writes, and what that build does not read is hidden from it.
#pragma once
#include <regex>
#include <string>

#include "peer_rpc/messages.h"

namespace eiderreel::standin {

inline std::string replace_all(std::string text, const std::string& what, const std::string& by) {
  for (auto at = text.find(what); at != std::string::npos; at = text.find(what, at + by.size()))
    text.replace(at, what.size(), by);
  return text;
}

// Bodies of its requests to the state store.
inline std::string as_old_build_writes(const std::string& body) {
  static const std::regex features(",\"features\":[0-9]+");
  static const std::regex ended_at("(\"phase\":\"[a-z]+\"),\"at_ms\":[0-9]+");
  if (body.find("\"features\"") == std::string::npos && body.find("e/final/") == std::string::npos)
    return body;
  return std::regex_replace(std::regex_replace(body, features, ""), ended_at, "$1");
}

// Answers to its requests, and requests of users.
inline std::string as_old_build_reads(const std::string& body) {
  std::string text = replace_all(body, "\"job\":{", "\"unread\":{");
  text = replace_all(text, "\"awaits\":[", "\"unread_list\":[");
  text = replace_all(text, "\"first\":", "\"unread_first\":");
  return replace_all(text, "\"roaring\":", "\"unread_roaring\":");
}

// Its messages to its peers.
inline std::string as_old_build_sends(const std::string& bytes) {
  auto message = peer_rpc::decode(bytes);
  if (!message) return bytes;
  if (auto* status = std::get_if<peer_rpc::PeerStatus>(&message->body)) {
    status->features = 0;
    status->conversion.reset();
  }
  return peer_rpc::encode(*message);
}

}  // namespace eiderreel::standin
