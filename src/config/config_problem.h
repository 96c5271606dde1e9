// Problems found in settings files.
#pragma once
#include <string>

namespace eiderreel {

/// A missing or invalid field of a settings file, or an error of reading the file.
struct ConfigProblem {
  std::string file;     ///< Path as given on the command line.
  std::string field;    ///< Dotted path of the field, e.g. "params.teams[0].cpus".
  std::string message;  ///< Description of the problem.
};

/// The line printed for operators: "FILE: FIELD: MESSAGE".
std::string to_string(const ConfigProblem& problem);

}  // namespace eiderreel
