// A problem found in a settings file.
#pragma once
#include <string>

namespace eiderreel {

/// One thing that is wrong in a settings file.
struct ConfigProblem {
  std::string file;     ///< Path as it was given on the command line.
  std::string field;    ///< Dotted path of the field, e.g. "params.teams[0].cpus".
  std::string message;  ///< What is wrong with it.
};

/// The line that operators see: "FILE: FIELD: what is wrong".
std::string to_string(const ConfigProblem& problem);

}  // namespace eiderreel
