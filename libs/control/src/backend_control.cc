#include "control/backend_control.h"

namespace ridgehold {

std::string_view NameOf(ReloadMode mode) {
  switch (mode) {
    case ReloadMode::kFinishRuns:
      return "finish_runs";
    case ReloadMode::kBreakRuns:
      return "break_runs";
    case ReloadMode::kContinueRuns:
      break;
  }
  return "continue_runs";
}

}  // namespace ridgehold
