#include "crash/notice_limiter.h"

#include <algorithm>
#include <chrono>

namespace ridgehold {

bool NoticeLimiter::TryTake(std::uint32_t gateways, TimePoint now) {
  const double rate = options_.fleet_rate / std::max(gateways, 1U);
  const double elapsed = std::chrono::duration<double>(now - refilled_at_).count();
  available_ = std::min(options_.burst, available_ + rate * elapsed);
  refilled_at_ = now;
  if (available_ < 1) return false;
  available_ -= 1;
  return true;
}

}  // namespace ridgehold
