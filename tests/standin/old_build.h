// Emulates a controller of the last build without prerequisites on top of the current build: fields
// that the old build does not write are removed from outgoing messages, and fields that it does not
// read are renamed in incoming ones.
#pragma once
#include <regex>
#include <string>

#include "peer_rpc/messages.h"

namespace eiderreel::standin {

inline std::string replace_all(std::string text, const std::string& from, const std::string& to) {
  for (auto at = text.find(from); at != std::string::npos; at = text.find(from, at + to.size()))
    text.replace(at, from.size(), to);
  return text;
}

// Converts the body of a request to the state store to what the old build would write.
inline std::string as_old_build_writes(const std::string& body) {
  static const std::regex features(",\"features\":[0-9]+");
  static const std::regex ended_at("(\"phase\":\"[a-z]+\"),\"at_ms\":[0-9]+");
  if (body.find("\"features\"") == std::string::npos && body.find("e/final/") == std::string::npos)
    return body;
  return std::regex_replace(std::regex_replace(body, features, ""), ended_at, "$1");
}

// Hides fields that the old build does not read, in replies of services and in requests of users.
inline std::string as_old_build_reads(const std::string& body) {
  std::string text = replace_all(body, "\"job\":{", "\"unread\":{");
  text = replace_all(text, "\"awaits\":[", "\"unread_list\":[");
  text = replace_all(text, "\"first\":", "\"unread_first\":");
  return replace_all(text, "\"roaring\":", "\"unread_roaring\":");
}

// Converts an encoded peer message to what the old build would send.
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
