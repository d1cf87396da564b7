#include "control/backend_control.h"

namespace ridgehold {

std::string_view NameOf(ReloadMode mode) {
  switch (mode) {
    case ReloadMode::kFinishRequests:
      return "finish_runs";
    case ReloadMode::kAbortRequests:
      return "break_runs";
    case ReloadMode::kContinueRequests:
      break;
  }
  return "continue_runs";
}

std::string_view NameOf(OrderOutcome outcome) {
  switch (outcome) {
    case OrderOutcome::kStarted:
      return "started";
    case OrderOutcome::kAlreadyLoaded:
      return "already_holds";
    case OrderOutcome::kConflict:
      return "conflict";
    case OrderOutcome::kFenced:
      return "fenced";
    case OrderOutcome::kWrongIncarnation:
      return "other_backend";
    case OrderOutcome::kInvalid:
      return "invalid";
    case OrderOutcome::kNotSent:
      return "not_sent";
    case OrderOutcome::kUnknown:
      break;
  }
  return "unknown";
}

}  // namespace ridgehold
