// What the machines of the simulated cluster are like.
#pragma once
#include "constants.h"

namespace eiderreel::standin {

constexpr Ms kWorkerStep = 50;        // ms; pace of the workers
constexpr double kMachineCpus = 8;    // of every machine
constexpr double kFetchGbPerS = 1.0;  // GB a second, for images

}  // namespace eiderreel::standin
