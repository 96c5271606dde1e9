// Amounts of CPUs, GPUs and memory.
#pragma once
#include "model/job.h"
#include "model/machine.h"

namespace eiderreel {

/// Sums of resource amounts carry rounding errors; differences below this tolerance are ignored.
constexpr double kRoundingTolerance = 1e-9;

/// An amount of each resource that tasks use on machines.
struct Resources {
  double cpus = 0;
  double gpus = 0;
  double memory_gb = 0;

  /// The amounts that one task of the job uses.
  static Resources of(const JobSpec& spec) {
    return {.cpus = spec.cpus, .gpus = spec.gpus, .memory_gb = spec.memory_gb};
  }
  /// The capacity of a machine of the type.
  static Resources of(const MachineType& type) {
    return {.cpus = type.cpus, .gpus = type.gpus, .memory_gb = type.memory_gb};
  }
  Resources& operator+=(const Resources& other) {
    cpus += other.cpus;
    gpus += other.gpus;
    memory_gb += other.memory_gb;
    return *this;
  }
  Resources& operator-=(const Resources& other) {
    cpus -= other.cpus;
    gpus -= other.gpus;
    memory_gb -= other.memory_gb;
    return *this;
  }
};

}  // namespace eiderreel
