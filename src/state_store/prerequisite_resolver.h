// Reads the ends of jobs that open jobs wait for, where no change will tell of them.
#pragma once
#include "constants.h"
#include "runtime/runtime.h"
#include "state_store/replicated_view.h"
#include "state_store/store_reader.h"

namespace eiderreel {

/// Reads the final records of the prerequisites of which the replica knows nothing. They may have
/// been written before it began to follow the state store.
class PrerequisiteResolver {
 public:
  PrerequisiteResolver(Runtime& runtime, const ReplicatedView& replica, StoreReader& reader)
      : runtime_(runtime), replica_(replica), reader_(reader) {}

  /// Begins to read if anything is unresolved.
  void tick();

 private:
  Runtime& runtime_;
  const ReplicatedView& replica_;
  StoreReader& reader_;
  bool reading_ = false;
  Ms read_at_ = 0;  // not before
};

}  // namespace eiderreel
