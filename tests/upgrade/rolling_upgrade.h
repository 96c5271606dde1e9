// Fixture of the tests that change the cluster version while jobs run. In each of them the version
// checker inspects every transaction that the state store commits; see standin/version_checker.h.
#pragma once
#include "upgrade/upgrade_cluster.h"

namespace eiderreel::standin {

using Seeds = testing::TestWithParam<std::uint64_t>;

class RollingUpgrade : public Seeds {
 protected:
  Options seeded_options() const { return upgrade_options(GetParam()); }
};

}  // namespace eiderreel::standin
