#include "incarnation/connection_end.h"

namespace ridgehold {
namespace {

// Servers state idle timeouts in whole seconds and may close somewhat earlier.
constexpr std::chrono::milliseconds kTimeoutMargin{500};
// No server that states no timeout closes connections earlier than this.
constexpr std::chrono::milliseconds kMinIdleTimeout{1'000};

}  // namespace

bool ShowsProcessEnd(const ConnectionEnd& end) {
  if (end.others_open) return false;
  if (end.amid_exchange) return true;
  if (end.idle_timeout) return end.idle + kTimeoutMargin < *end.idle_timeout;
  return end.idle < kMinIdleTimeout;
}

}  // namespace ridgehold
