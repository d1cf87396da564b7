#include "control/state_store.h"

namespace ridgehold {

std::string_view NameOf(StoreError fault) {
  switch (fault) {
    case StoreError::kNotSent:
      return "not_sent";
    case StoreError::kUnavailable:
      return "unavailable";
    case StoreError::kRateLimited:
      return "too_many_calls";
    case StoreError::kNoAnswer:
      return "no_answer";
    case StoreError::kCompacted:
      return "history_gone";
    case StoreError::kConditionFailed:
      return "condition_failed";
    case StoreError::kNotFound:
      return "not_found";
    case StoreError::kRejected:
      return "rejected";
    case StoreError::kMalformed:
      return "malformed";
  }
  return "unknown";
}

}  // namespace ridgehold
