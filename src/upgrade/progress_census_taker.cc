// Reading and counting of all stored progress.
#include "upgrade/progress_census_taker.h"

#include <set>
#include <string>
#include <utility>

namespace eiderreel::upgrade {

// A controller may not know yet of values that it would have to convert, so the state store alone
// can tell that nothing is left. A job that the view does not have may be new to it. Only a job
// with a final record is over; its values are left to the garbage collection.
void ProgressCensusTaker::take(Done done) {
  state_store_.list(codec::all_progress_prefix(), [this, done = std::move(done)](auto rows) {
    if (!rows) return done(std::nullopt);
    std::set<std::string> unknown;
    for (const auto& row : *rows) {
      std::string job = codec::progress_key_job(row.key);
      if (!state_store_.view().jobs.contains(job)) unknown.insert(std::move(job));
    }
    state_store_.read_ends({unknown.begin(), unknown.end()},
                           [this, done, rows = std::move(*rows)](const auto& read) {
                             if (!read) return done(std::nullopt);
                             done(count(rows));
                           });
  });
}

ProgressCensus ProgressCensusTaker::count(const std::vector<codec::StateRow>& rows) const {
  const auto& finals = state_store_.view().finals;
  ProgressCensus census;
  for (const auto& row : rows) {
    if (finals.contains(codec::progress_key_job(row.key))) continue;
    if (!row.progress)
      census.unreadable.push_back(row.key);
    else if (row.progress->form == ProgressForm::compact)
      ++census.compact;
    else
      ++census.bits;
  }
  return census;
}

}  // namespace eiderreel::upgrade
