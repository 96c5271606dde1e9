// The report of a failure.
#include "cli/exit_code.h"

#include <iostream>

namespace eiderreel::cli {

void print_error(const std::string& command, const std::string& what) {
  std::cerr << "eiderreel " << command << ": " << what << "\n";
}

int fail(int code, const std::string& command, const std::string& what) {
  print_error(command, what);
  return code;
}

}  // namespace eiderreel::cli
