// Plans which values store the progress of a job array, and which of them a commit writes: to
// record done tasks, or to convert values that are stored in another form. Pure functions without
// I/O.
//
// A job's tasks are divided into ranges, each with its own value. In the compact form, a job of
// several ranges has one value for all its tasks if that fits into the largest value of the state
// store. Values may overlap: a done task stays done, so the stored progress is the union of all
// values, and a value is only replaced by one that contains at least the same done tasks of its
// range.
#pragma once
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "codec/state_json.h"
#include "versioning/cluster_version.h"

namespace eiderreel::upgrade {

/// Metadata of a stored progress value.
struct StoredProgress {
  std::uint64_t revision = 0;
  ProgressForm form = ProgressForm::bits;
  bool unreadable = false;  ///< not decodable in either form: never written, converted or deleted
};
/// Stored progress values by key.
using StoredValues = std::map<std::string, StoredProgress>;

/// The metadata of a row of the state store. A missing row has revision 0.
StoredProgress stored_progress(const codec::StateRow& row);

/// A job and its stored progress.
struct ProgressOfJob {
  int partition = 0;
  std::string id;
  std::uint32_t tasks = 0;
  std::size_t value_bytes = 0;  ///< the largest value that the state store accepts, in bytes
  /// Returns the indices of the done tasks among `count` tasks starting at `first`.
  std::function<std::vector<std::uint32_t>(std::uint32_t first, std::uint32_t count)> done;
  const StoredValues& stored;
};

/// A progress value to write.
struct ProgressValue {
  std::string key, value;
  ProgressForm form = ProgressForm::bits;
};

/// The changes of one commit.
struct ProgressBatch {
  std::vector<ProgressValue> writes;
  std::vector<std::string> deletes;  ///< keys
  /// Those of the tasks to record that `writes` records; empty for a conversion.
  std::vector<std::uint32_t> recorded;

  /// Whether there is nothing to write.
  bool empty() const { return size() == 0; }
  /// The number of changes.
  std::size_t size() const { return writes.size() + deletes.size(); }
};

/// Returns at most `max_changes` values that record these tasks. The remaining tasks are left for
/// the next batch.
ProgressBatch batch_to_record(const ProgressOfJob& job, const std::vector<std::uint32_t>& tasks,
                              ProgressForm form, std::size_t max_changes, const std::string& nonce);

/// Returns the next values to write and to delete, together at most `max_changes`, on the way to a
/// state in which no readable value is in another form than `to`.
ProgressBatch batch_to_convert(const ProgressOfJob& job, ProgressForm to, std::size_t max_changes,
                               const std::string& nonce);

/// The number of readable values in another form than `to`.
std::size_t values_to_convert(const StoredValues& stored, ProgressForm to);

}  // namespace eiderreel::upgrade
