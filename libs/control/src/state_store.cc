#include "control/state_store.h"

namespace ridgehold {

std::string_view NameOf(StoreFault fault) {
  switch (fault) {
    case StoreFault::kNotSent:
      return "not_sent";
    case StoreFault::kUnavailable:
      return "unavailable";
    case StoreFault::kTooManyCalls:
      return "too_many_calls";
    case StoreFault::kNoAnswer:
      return "no_answer";
    case StoreFault::kHistoryGone:
      return "history_gone";
    case StoreFault::kConditionFailed:
      return "condition_failed";
    case StoreFault::kNotFound:
      return "not_found";
    case StoreFault::kRejected:
      return "rejected";
    case StoreFault::kMalformed:
      return "malformed";
  }
  return "unknown";
}

}  // namespace ridgehold
