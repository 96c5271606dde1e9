// Exit codes of the command line and the report of a failure.
#pragma once
#include <string>

namespace eiderreel::cli {

/// Exit codes. Scripts of operators rely on them.
namespace exit_code {

inline constexpr int kSuccess = 0;
inline constexpr int kFailure = 1;         ///< It failed, or a condition is not met.
inline constexpr int kUsage = 2;           ///< Malformed command line or settings.
inline constexpr int kOutcomeUnknown = 3;  ///< It may have been carried out, or still may be.

}  // namespace exit_code

/// Writes "eiderreel COMMAND: what" to standard error.
void print_error(const std::string& command, const std::string& what);

/// Writes the error as print_error does and returns the exit code, for `return fail(...)`.
int fail(int code, const std::string& command, const std::string& what);

}  // namespace eiderreel::cli
