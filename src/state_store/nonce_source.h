// Generates nonces, which identify the values written by one transaction.
#pragma once
#include <cstdint>
#include <string>

namespace eiderreel {

/// Generates strings that are unique across all processes and calls.
class NonceSource {
 public:
  /// `boot_id` must be unique for each start of a process of `node`.
  NonceSource(const std::string& node, const std::string& boot_id)
      : prefix_(node + "." + boot_id + ".") {}

  /// Returns a nonce that was never returned before.
  std::string next() { return prefix_ + std::to_string(++count_); }

 private:
  std::string prefix_;
  std::uint64_t count_ = 0;
};

}  // namespace eiderreel
