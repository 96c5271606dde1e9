// The text form of problems in settings files.
#include "config/config_problem.h"

namespace eiderreel {

std::string to_string(const ConfigProblem& problem) {
  return problem.file + ": " + problem.field + ": " + problem.message;
}

}  // namespace eiderreel
