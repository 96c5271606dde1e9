// Teams, and the service-level objectives of job classes.
#pragma once
#include <string>

namespace eiderreel {

/// A team's fair share and quota. The fair share is guaranteed; use beyond it is borrowed and may
/// be reclaimed. The quota is a hard limit for the team's tasks (infinite: no limit).
struct Team {
  std::string name;
  double fair_share_cpus = 0;
  double quota_cpus = 0;
  double fair_share_gpus = 0;
  double quota_gpus = 0;
};

/// When jobs of a class should be complete: within a number of seconds after they are ready to
/// start, or within a multiple of their deadline. The member that is 0 does not apply.
struct CompletionObjective {
  double within_s = 0;
  double deadline_multiple = 0;
};

}  // namespace eiderreel
