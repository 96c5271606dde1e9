// The fair share of a partition: the part of the machines to which its teams are entitled.
#pragma once
#include "config/settings.h"

namespace eiderreel {

/// Returns the sum of the fair shares of a partition's teams, in CPUs, but at least 1.
double fair_share_cpus_of(const Settings& settings, int partition);

}  // namespace eiderreel
