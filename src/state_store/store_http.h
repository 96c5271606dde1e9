// Request paths of the state store's HTTP interface, as the protocol defines them.
#pragma once
#include <cstdint>
#include <string>

#include "constants.h"

namespace eiderreel::store_http {

/// POST: executes a transaction; without writes it only checks the preconditions.
inline constexpr const char* kCommitPath = "/commit";
/// POST: grants a new lease.
inline constexpr const char* kLeasesPath = "/grants";

/// DELETE: revokes a lease.
std::string lease_path(std::uint64_t lease_id);
/// POST: renews a lease for its full time to live.
std::string lease_renewal_path(std::uint64_t lease_id);
/// GET: reads one key.
std::string key_path(const std::string& key);
/// GET: lists at most `page` keys that begin with `prefix` and sort after the key `after`; an empty
/// `after` starts with the first key.
std::string list_path(const std::string& prefix, int page, const std::string& after);
/// GET: the changes under `prefix` after a revision. If there are none yet, the store delays its
/// reply for up to `wait` until the first change.
std::string watch_path(const std::string& prefix, std::uint64_t after_revision, Ms wait);

}  // namespace eiderreel::store_http
