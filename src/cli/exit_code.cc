// Error messages of the command line.
#include "cli/exit_code.h"

#include <iostream>

namespace eiderreel::cli {

void print_error(const std::string& command, const std::string& message) {
  std::cerr << "eiderreel " << command << ": " << message << "\n";
}

int fail(int code, const std::string& command, const std::string& message) {
  print_error(command, message);
  return code;
}

}  // namespace eiderreel::cli
