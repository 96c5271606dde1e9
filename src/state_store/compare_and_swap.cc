// Names of transaction outcomes.
#include "state_store/compare_and_swap.h"

namespace eiderreel {

std::string to_string(CasOutcome outcome) {
  switch (outcome) {
    case CasOutcome::ok:
      return "ok";
    case CasOutcome::conflict:
      return "conflict";
    case CasOutcome::superseded:
      return "superseded";
    case CasOutcome::refused:
      return "refused";
    case CasOutcome::unknown:
      return "unknown";
  }
  return "invalid outcome";
}

}  // namespace eiderreel
