// Teams, and the service-level objectives of classes of jobs.
#pragma once
#include <string>

namespace eiderreel {

/// A team's fair share, which it is guaranteed and beyond which it borrows, and its quota, which
/// its tasks may never exceed (infinite: none).
struct Team {
  std::string name;
  double fair_share_cpus = 0;
  double quota_cpus = 0;
  double fair_share_gpus = 0;
  double quota_gpus = 0;
};

/// When jobs of a class should be complete: within so many seconds, or within so many times their
/// deadline. The one that is 0 does not apply.
struct CompletionObjective {
  double within_s = 0;
  double times = 0;
};

}  // namespace eiderreel
