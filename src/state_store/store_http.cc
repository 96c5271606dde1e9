// Builds request paths of the state store's HTTP interface.
#include "state_store/store_http.h"

namespace eiderreel::store_http {

std::string lease_path(std::uint64_t lease_id) {
  return std::string(kLeasesPath) + "/" + std::to_string(lease_id);
}

std::string lease_renewal_path(std::uint64_t lease_id) { return lease_path(lease_id) + "/extend"; }

std::string key_path(const std::string& key) { return "/kv/" + key; }

std::string list_path(const std::string& prefix, int page, const std::string& after) {
  std::string path = "/kv?prefix=" + prefix + "&page=" + std::to_string(page);
  if (!after.empty()) path += "&since=" + after;
  return path;
}

std::string watch_path(const std::string& prefix, std::uint64_t after_revision, Ms wait) {
  return "/follow?prefix=" + prefix + "&since=" + std::to_string(after_revision) +
         "&wait_ms=" + std::to_string(wait);
}

}  // namespace eiderreel::store_http
