// The history of recently ended jobs, which a controller sends along with its leadership vote.
#include "state_store/finished_jobs.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "constants.h"

namespace eiderreel {

void FinishedJobs::clear(std::uint64_t store_revision) {
  complete_from_ = store_revision;
  jobs_.clear();
}

void FinishedJobs::add(FinishedJob job) {
  jobs_.push_back(std::move(job));
  if (jobs_.size() <= constants::kMaxRecentFinishedJobs) return;
  complete_from_ = std::max(complete_from_, jobs_.front().revision);
  jobs_.pop_front();
}

std::optional<std::vector<FinishedJob>> FinishedJobs::since(std::uint64_t store_revision) const {
  if (store_revision < complete_from_) return std::nullopt;
  std::vector<FinishedJob> recent;
  std::copy_if(jobs_.begin(), jobs_.end(), std::back_inserter(recent),
               [&](const FinishedJob& job) { return job.revision > store_revision; });
  return recent;
}

}  // namespace eiderreel
