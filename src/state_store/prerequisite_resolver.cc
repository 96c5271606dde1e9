// Reads the final records of prerequisites that the watch will not deliver.
#include "state_store/prerequisite_resolver.h"

namespace eiderreel {

// The read is delayed by kRetryDelayMs, since a prerequisite may be unresolved only because a
// change has not been received yet.
void PrerequisiteResolver::tick() {
  const auto& unresolved = replica_.unresolved_prerequisites();
  const Ms now = runtime_.now();
  if (unresolved.empty() || reading_) {
    read_at_ = now + constants::kRetryDelayMs;
    return;
  }
  if (now < read_at_) return;
  reading_ = true;
  // Prerequisites that could not be read stay unresolved, so a later tick retries them.
  reader_.read_final_records({unresolved.begin(), unresolved.end()},
                             [this](const StoreResult<void>&) { reading_ = false; });
}

}  // namespace eiderreel
