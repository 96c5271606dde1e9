// Exit codes and error messages of the command line.
#pragma once
#include <string>

namespace eiderreel::cli {

/// Exit codes of all commands. Operators' scripts depend on these values.
namespace exit_code {

inline constexpr int kSuccess = 0;
inline constexpr int kFailure = 1;         ///< The command failed or a precondition is not met.
inline constexpr int kUsage = 2;           ///< Malformed command line or settings.
inline constexpr int kOutcomeUnknown = 3;  ///< The step may have been executed or may still be.

}  // namespace exit_code

/// Writes "eiderreel COMMAND: MESSAGE" to standard error.
void print_error(const std::string& command, const std::string& message);

/// Writes the error with print_error and returns `code`, for use as `return fail(...)`.
int fail(int code, const std::string& command, const std::string& message);

}  // namespace eiderreel::cli
