// The HTTP interface of the state store: its paths, and the fields of its replies that say how far
// a change has come. The names on the wire are those of the protocol.
#pragma once
#include <cstdint>
#include <string>

#include "constants.h"

namespace eiderreel::store_http {

/// POST: a transaction; without writes it only compares.
inline constexpr const char* kCommitPath = "/commit";
/// POST: a new lease.
inline constexpr const char* kLeasesPath = "/grants";

/// DELETE: ends a lease at once.
std::string lease_path(std::uint64_t lease_id);
/// POST: gives a lease its full time again.
std::string lease_renewal_path(std::uint64_t lease_id);
/// GET: one key.
std::string key_path(const std::string& key);
/// GET: at most `page` keys that begin with `prefix` and come after the key `after`; an empty
/// `after` begins with the first one.
std::string list_path(const std::string& prefix, int page, const std::string& after);
/// GET: the changes under `prefix` after a revision. The reply waits up to `wait` for the first.
std::string watch_path(const std::string& prefix, std::uint64_t after_revision, Ms wait);

}  // namespace eiderreel::store_http
