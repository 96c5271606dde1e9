// The rules of cluster versions, checked on every transaction that lands at the state store.
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
  using Rows = std::function<const std::string*(const std::string& key)>;
  explicit VersionChecker(OnViolation violated) : on_violation_(std::move(violated)) {}

  // A value has been written; `rows` looks keys up in the state as it was just before.
  void written(const std::string& key, const std::string& value, const Rows& rows);
  // All changes of a transaction, or the end of a lease, are done.
  void look(const Rows& rows);

  std::size_t progress_written(bool compact) const { return progress_written_[compact]; }
  // The versions in the order in which the cluster was at them.
  const std::vector<std::uint64_t>& versions() const { return versions_; }

 private:
  void take_record(const std::string& key, const std::string& value);
  void check_writer(const std::string& key, const std::string& value, const Rows& rows);

  OnViolation on_violation_;
  // Node and boot id of the processes that take part in cluster versions, by their records.
  std::set<std::pair<std::string, std::string>> boots_;
  std::size_t progress_written_[2] = {0, 0};
  std::vector<std::uint64_t> versions_{1};
};

}  // namespace eiderreel::standin
