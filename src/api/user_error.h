// Errors returned to users of the job API.
#pragma once
#include "runtime/runtime.h"

namespace eiderreel {

/// Why a user's request about a job failed. Each error has one HTTP status and one text.
enum class UserError {
  // 400: must not be retried unchanged
  record_too_large,
  // 404: not found
  no_such_job,
  // 422: the job can never run
  unknown_team,
  over_team_limit,
  fits_no_machine_type,
  unknown_prerequisite,
  // 503: the same request may succeed later
  not_ready,
  machine_types_unknown,
  controller_in_standby,
  peer_without_prerequisites,
  commit_unconfirmed,
  store_unreachable,
  reply_too_old,
  leader_unreachable,
  leader_unreachable_for_cancel,
};

/// The HTTP status of the error; see runtime/http_status.h.
int http_status_of(UserError error);
/// The text in the body of the reply. Users may match on it, so it must not change.
const char* text_of(UserError error);
/// Replies with the status and the text of the error. Temporary errors (503) are logged.
void reply_error(const Reply& reply, UserError error);

}  // namespace eiderreel
