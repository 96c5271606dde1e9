// Reads the ends of jobs that open jobs wait for, where no change will tell of them.
#include "state_store/prerequisite_resolver.h"

namespace eiderreel {

// A prerequisite may be unresolved only because a change was not followed yet, so the read waits
// for a moment.
void PrerequisiteResolver::tick() {
  const auto& unresolved = replica_.unresolved();
  const Ms now = runtime_.now();
  if (unresolved.empty() || reading_) {
    read_at_ = now + constants::kRetryDelayMs;
    return;
  }
  if (now < read_at_) return;
  reading_ = true;
  // What could not be read is still unresolved, so a later tick reads it again.
  reader_.read_ends({unresolved.begin(), unresolved.end()},
                    [this](const StoreResult<void>&) { reading_ = false; });
}

}  // namespace eiderreel
