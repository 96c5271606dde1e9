// The fair share of a partition in the machines.
#pragma once
#include "config/settings.h"

namespace eiderreel {

/// The sum of the fair shares of a partition's teams in CPUs, at least 1.
double fair_share_cpus_of(const Settings& settings, int partition);

}  // namespace eiderreel
