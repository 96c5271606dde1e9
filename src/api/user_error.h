// What users are told when a request about a job is not carried out.
#pragma once
#include "runtime/runtime.h"

namespace eiderreel {

/// Why a user's request got no answer about a job. Each has one HTTP status and one text.
enum class UserError {
  // 400, not to be retried as it is
  record_too_large,
  // 404
  no_such_job,
  // 422, the job can never run
  unknown_team,
  over_team_limit,
  fits_no_machine_type,
  unknown_prerequisite,
  // 503, the same request may succeed later
  not_ready,
  machine_types_unknown,
  standing_by,
  older_peer,
  store_unconfirmed,
  store_silent,
  answer_too_old,
  leader_unreachable,
  cancel_unreachable,
};

/// The HTTP status of the error, see runtime/http_status.h.
int http_status_of(UserError error);
/// The text in the body of the reply. Users may match on it, so it does not change.
const char* text_of(UserError error);
/// Replies with the status and the text of the error. Refusals for the moment (503) are logged.
void reply_error(const Reply& reply, UserError error);

}  // namespace eiderreel
