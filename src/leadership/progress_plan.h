// Which values hold the progress of an array, and which of them a commit should write: to record
// tasks that have ended, or to convert what is stored in another form. Pure: no I/O.
//
// A job's tasks are laid out in ranges, each with a value of its own. In the compact form a job of
// several ranges has one value for all of its tasks, as long as that fits. Values may overlap: done
// is done for ever, so what is stored is the union of all values, and each is only ever replaced by
// one that holds at least as much of its range.
#pragma once
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "codec/state_json.h"
#include "versioning/cluster_version.h"

namespace eiderreel::upgrade {

/// What is known of a stored progress value.
struct StoredProgress {
  std::uint64_t revision = 0;
  ProgressForm form = ProgressForm::bits;
  bool unreadable = false;  ///< in neither form: never written, converted or deleted by its leader
};
/// By key.
using StoredValues = std::map<std::string, StoredProgress>;

/// What a row of the state store holds; one that is not there has revision 0.
StoredProgress stored_progress(const codec::StateRow& row);

/// The job whose progress is stored.
struct ProgressOfJob {
  int partition = 0;
  std::string id;
  std::uint32_t tasks = 0;
  std::size_t value_bytes = 0;  ///< the largest value that the state store takes
  /// Of `count` tasks from `first` on, those that are done.
  std::function<std::vector<std::uint32_t>(std::uint32_t first, std::uint32_t count)> done;
  const StoredValues& stored;
};

/// A value to be written.
struct ProgressValue {
  std::string key, value;
  ProgressForm form = ProgressForm::bits;
};

/// The changes of one commit.
struct ProgressBatch {
  std::vector<ProgressValue> writes;
  std::vector<std::string> deletes;     ///< keys
  std::vector<std::uint32_t> recorded;  ///< of the tasks to be recorded, those in `writes`

  /// Whether there is nothing to write.
  bool empty() const { return size() == 0; }
  /// The number of changes.
  std::size_t size() const { return writes.size() + deletes.size(); }
};

/// Values that record these tasks, at most `most` of them; the rest is left for the next batch.
ProgressBatch batch_to_record(const ProgressOfJob& job, const std::vector<std::uint32_t>& tasks,
                              ProgressForm form, std::size_t most, const std::string& nonce);

/// The next values to write and to delete, together at most `most`, so that none in another form is
/// left.
ProgressBatch batch_to_convert(const ProgressOfJob& job, ProgressForm to, std::size_t most,
                               const std::string& nonce);

/// How many readable values are in another form.
std::size_t values_to_convert(const StoredValues& stored, ProgressForm to);

}  // namespace eiderreel::upgrade
