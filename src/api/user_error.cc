// Statuses and texts of all errors of the job API.
#include "api/user_error.h"

#include <spdlog/spdlog.h>

#include "codec/job_json.h"
#include "runtime/http_status.h"

namespace eiderreel {
namespace {

struct Description {
  int status;
  const char* text;
};

Description describe(UserError error) {
  using namespace http_status;
  switch (error) {
    case UserError::record_too_large:
      return {kBadRequest, "the job is too large to be kept"};
    case UserError::no_such_job:
      return {kNotFound, "no such job"};
    case UserError::unknown_team:
      return {kUnprocessable, "unknown team"};
    case UserError::over_team_limit:
      return {kUnprocessable, "the job needs more than the team's limit"};
    case UserError::fits_no_machine_type:
      return {kUnprocessable, "a task fits no allowed machine type"};
    case UserError::unknown_prerequisite:
      return {kUnprocessable, "a job that it awaits was never accepted"};
    case UserError::not_ready:
      return {kServiceUnavailable, "not ready yet"};
    case UserError::machine_types_unknown:
      return {kServiceUnavailable, "the machine types are not known yet"};
    case UserError::controller_in_standby:
      return {kServiceUnavailable,
              "this controller's build does not act under the cluster version"};
    case UserError::peer_without_prerequisites:
      return {kServiceUnavailable, "a controller of an earlier version is still running"};
    case UserError::commit_unconfirmed:
      return {kServiceUnavailable, "the state service did not confirm; try again"};
    case UserError::store_unreachable:
      return {kServiceUnavailable, "the state service does not answer"};
    case UserError::reply_too_old:
      return {kServiceUnavailable, "the answer took too long; ask again"};
    case UserError::leader_unreachable:
      return {kServiceUnavailable, "the job's owner cannot be reached; ask again"};
    case UserError::leader_unreachable_for_cancel:
      return {kServiceUnavailable, "the job's owner cannot be reached; try again"};
  }
  return {kServerError, "unknown error"};
}

}  // namespace

int http_status_of(UserError error) { return describe(error).status; }

const char* text_of(UserError error) { return describe(error).text; }

void reply_error(const Reply& reply, UserError error) {
  const Description description = describe(error);
  if (description.status == http_status::kServiceUnavailable)
    spdlog::debug("request refused why=\"{}\"", description.text);
  reply(description.status, codec::error_body(description.text));
}

}  // namespace eiderreel
