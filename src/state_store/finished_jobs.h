// The history of recently ended jobs, which a controller sends along with its leadership vote.
#pragma once
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "model/job.h"

namespace eiderreel {

/// The most recently ended jobs, at most constants::kMaxRecentFinishedJobs, in the order in which
/// this node received their final records.
class FinishedJobs {
 public:
  /// Clears the history. From then on it is complete for jobs that end after `store_revision`.
  void clear(std::uint64_t store_revision);
  /// Adds an ended job, and drops the oldest one beyond the limit.
  void add(FinishedJob job);
  /// All jobs that ended after `store_revision`, or nullopt if some of them may be missing.
  std::optional<std::vector<FinishedJob>> since(std::uint64_t store_revision) const;

 private:
  std::deque<FinishedJob> jobs_;
  std::uint64_t complete_from_ = 0;  // complete for jobs that ended after this revision
};

}  // namespace eiderreel
