// Reads the final records of prerequisites that the watch will not deliver.
#pragma once
#include "constants.h"
#include "runtime/runtime.h"
#include "state_store/replicated_view.h"
#include "state_store/store_reader.h"

namespace eiderreel {

/// Reads the final records of prerequisites that have neither an open nor a final record in the
/// replica. Their final records may have been written before the replica began to watch the store.
class PrerequisiteResolver {
 public:
  PrerequisiteResolver(Runtime& runtime, const ReplicatedView& replica, StoreReader& reader)
      : runtime_(runtime), replica_(replica), reader_(reader) {}

  /// Starts a read if any prerequisite is unresolved and no read is in progress.
  void tick();

 private:
  Runtime& runtime_;
  const ReplicatedView& replica_;
  StoreReader& reader_;
  bool reading_ = false;
  Ms read_at_ = 0;  // earliest time of the next read
};

}  // namespace eiderreel
