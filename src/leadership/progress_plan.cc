// Plans which values store the progress of a job array, and which of them a commit writes.
#include "leadership/progress_plan.h"

#include <algorithm>
#include <optional>
#include <set>

namespace eiderreel::upgrade {
namespace {

using codec::TaskRange;

bool is_unreadable(const ProgressOfJob& job, const std::string& key) {
  const auto stored = job.stored.find(key);
  return stored != job.stored.end() && stored->second.unreadable;
}

std::string key_of(const ProgressOfJob& job, const TaskRange& range) {
  return codec::progress_key(job.partition, job.id, range);
}

ProgressValue value_of(const ProgressOfJob& job, const TaskRange& range, ProgressForm form,
                       const std::string& nonce) {
  const auto done = job.done(range.first, range.count);
  return {key_of(job, range), codec::encode_progress(done, range, form, nonce), form};
}

// The single value for all tasks, if the form and the job's size allow one and it fits into the
// largest value of the state store.
std::optional<ProgressValue> whole_value(const ProgressOfJob& job, ProgressForm form,
                                         const std::string& nonce) {
  const TaskRange first_range = codec::progress_range(0, job.tasks, job.value_bytes);
  if (form != ProgressForm::compact || first_range.count >= job.tasks) return std::nullopt;
  const TaskRange whole{0, job.tasks, true};
  if (is_unreadable(job, key_of(job, whole))) return std::nullopt;
  ProgressValue value = value_of(job, whole, form, nonce);
  if (value.value.size() > job.value_bytes) return std::nullopt;
  return value;
}

// The values that together hold all done tasks in this form, without those whose stored value is
// unreadable.
std::vector<ProgressValue> all_values(const ProgressOfJob& job, ProgressForm form,
                                      const std::string& nonce) {
  if (auto whole = whole_value(job, form, nonce)) return {std::move(*whole)};
  std::vector<ProgressValue> values;
  for (std::uint32_t first = 0; first < job.tasks;) {
    const TaskRange range = codec::progress_range(first, job.tasks, job.value_bytes);
    const bool any_done = !job.done(range.first, range.count).empty();
    if (any_done && !is_unreadable(job, key_of(job, range)))
      values.push_back(value_of(job, range, form, nonce));
    first = range.first + range.count;
  }
  return values;
}

bool is_stored_as(const StoredValues& stored, const ProgressValue& value) {
  const auto found = stored.find(value.key);
  return found != stored.end() && found->second.form == value.form;
}

}  // namespace

StoredProgress stored_progress(const codec::StateRow& row) {
  StoredProgress stored;
  stored.revision = row.revision;
  if (row.progress) stored.form = row.progress->form;
  stored.unreadable = row.revision != 0 && !row.progress;
  return stored;
}

ProgressBatch batch_to_record(const ProgressOfJob& job, const std::vector<std::uint32_t>& tasks,
                              ProgressForm form, std::size_t max_changes,
                              const std::string& nonce) {
  ProgressBatch batch;
  if (tasks.empty()) return batch;
  if (auto whole = whole_value(job, form, nonce)) {
    batch.writes.push_back(std::move(*whole));
    batch.recorded = tasks;
    return batch;
  }
  std::set<TaskRange> ranges;
  for (const std::uint32_t task : tasks) {
    const TaskRange range = codec::progress_range(task, job.tasks, job.value_bytes);
    if (is_unreadable(job, key_of(job, range))) continue;
    if (ranges.size() == max_changes && !ranges.contains(range)) break;
    ranges.insert(range);
    batch.recorded.push_back(task);
  }
  for (const TaskRange& range : ranges) batch.writes.push_back(value_of(job, range, form, nonce));
  return batch;
}

ProgressBatch batch_to_convert(const ProgressOfJob& job, ProgressForm to, std::size_t max_changes,
                               const std::string& nonce) {
  ProgressBatch batch;
  if (values_to_convert(job.stored, to) == 0) return batch;
  std::set<std::string> kept;
  for (ProgressValue& value : all_values(job, to, nonce)) {
    kept.insert(value.key);
    if (is_stored_as(job.stored, value)) continue;
    if (batch.writes.size() < max_changes) batch.writes.push_back(std::move(value));
  }
  // Deletes come after all writes: the content of a deleted value is then stored in other values,
  // or written by the same commit.
  for (const auto& [key, stored] : job.stored) {
    if (batch.size() == max_changes) break;
    if (!stored.unreadable && stored.form != to && !kept.contains(key))
      batch.deletes.push_back(key);
  }
  return batch;
}

std::size_t values_to_convert(const StoredValues& stored, ProgressForm to) {
  return static_cast<std::size_t>(std::count_if(
      stored.begin(), stored.end(),
      [&](const auto& entry) { return !entry.second.unreadable && entry.second.form != to; }));
}

}  // namespace eiderreel::upgrade
