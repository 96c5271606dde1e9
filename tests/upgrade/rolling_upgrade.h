// The fixture of the days on which the cluster version changes while jobs run. On every day the
// version checker looks at each transaction that lands; see standin/version_checker.h.
#pragma once
#include "upgrade/upgrade_cluster.h"

namespace eiderreel::standin {

using Seeds = testing::TestWithParam<std::uint64_t>;

class RollingUpgrade : public Seeds {
 protected:
  Options seeded_options() const { return upgrade_options(GetParam()); }
};

}  // namespace eiderreel::standin
