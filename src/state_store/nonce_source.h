// Nonces: marks that tell the values of one transaction from those of any other.
#pragma once
#include <cstdint>
#include <string>

namespace eiderreel {

/// Hands out strings that no other process, and no other call, ever gets.
class NonceSource {
 public:
  /// `boot_id` differs for every start of a process of `node`.
  NonceSource(const std::string& node, const std::string& boot_id)
      : prefix_(node + "." + boot_id + ".") {}

  /// The next nonce.
  std::string next() { return prefix_ + std::to_string(++count_); }

 private:
  std::string prefix_;
  std::uint64_t count_ = 0;
};

}  // namespace eiderreel
