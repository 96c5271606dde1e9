// Reads all stored progress values and counts them by form.
#include "upgrade/progress_census_taker.h"

#include <set>
#include <string>
#include <utility>

namespace eiderreel::upgrade {

// The census reads the state store, because a controller's view may lag behind and lack values that
// still have to be converted. A job that is missing from the view may be new or finished, so the
// final records of such jobs are read. Values of a job with a final record are not counted; garbage
// collection deletes them.
void ProgressCensusTaker::take(Done done) {
  state_store_.list(codec::all_progress_prefix(), [this, done = std::move(done)](auto rows) {
    if (!rows) return done(std::nullopt);
    std::set<std::string> jobs_not_in_view;
    for (const auto& row : *rows) {
      std::string job = codec::progress_key_job(row.key);
      if (!state_store_.view().jobs.contains(job)) jobs_not_in_view.insert(std::move(job));
    }
    state_store_.read_final_records({jobs_not_in_view.begin(), jobs_not_in_view.end()},
                                    [this, done, rows = std::move(*rows)](const auto& read) {
                                      if (!read) return done(std::nullopt);
                                      done(count(rows));
                                    });
  });
}

ProgressCensus ProgressCensusTaker::count(const std::vector<codec::StateRow>& rows) const {
  const auto& finals = state_store_.view().final_states;
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
