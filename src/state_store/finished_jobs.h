// The history of the jobs that have ended, which a controller hands over with its vote.
#pragma once
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "model/job.h"

namespace eiderreel {

/// The jobs that ended lately, at most constants::kMaxRecentFinishedJobs of them, in the order in
/// which this node learnt of them.
class FinishedJobs {
 public:
  /// Forgets all. From now on it is complete for the jobs that end after `store_revision`.
  void restart(std::uint64_t store_revision);
  /// A job has ended.
  void add(FinishedJob job);
  /// All jobs that ended after `store_revision`; nullopt when some of them may be missing.
  std::optional<std::vector<FinishedJob>> since(std::uint64_t store_revision) const;

 private:
  std::deque<FinishedJob> jobs_;
  std::uint64_t complete_from_ = 0;  // complete for all that ended after this revision
};

}  // namespace eiderreel
