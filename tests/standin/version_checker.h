// Checks the rules of cluster versions on every transaction that the state store commits.
#pragma once
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace eiderreel::standin {

class VersionChecker {
 public:
  using OnViolation = std::function<void(const std::string& what)>;
  using StateLookup = std::function<const std::string*(const std::string& key)>;
  explicit VersionChecker(OnViolation on_violation) : on_violation_(std::move(on_violation)) {}

  // A value is written; `lookup` reads the state from just before the write.
  void on_write(const std::string& key, const std::string& value, const StateLookup& lookup);
  // All changes of a transaction are applied.
  void check_versions(const StateLookup& lookup);

  std::size_t progress_writes(bool compact) const { return progress_writes_[compact]; }
  // The cluster versions in the order in which they were written, starting with 1.
  const std::vector<std::uint64_t>& versions() const { return versions_; }

 private:
  void record_process(const std::string& key, const std::string& value);
  void check_writer(const std::string& key, const std::string& value, const StateLookup& lookup);

  OnViolation on_violation_;
  // Node and boot id of the processes whose node records show that they take part in cluster
  // versions.
  std::set<std::pair<std::string, std::string>> participants_;
  std::size_t progress_writes_[2] = {0, 0};
  std::vector<std::uint64_t> versions_{1};
};

}  // namespace eiderreel::standin
