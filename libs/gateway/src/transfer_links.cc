#include "gateway/transfer_links.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>

namespace ridgehold {
namespace {

// Bounds memory as engines come and go: above this, idle links are removed.
constexpr std::size_t kMaxLinks = 10'000;

}  // namespace

LinkHash LinkOf(std::string_view address) { return XXH3_64bits(address.data(), address.size()); }

Duration TransferLinks::QueueDelay(LinkHash link, TimePoint now) const {
  const auto found = busy_until_.find(link);
  if (found == busy_until_.end() || found->second <= now) return Duration::zero();
  return std::chrono::duration_cast<Duration>(found->second - now);
}

void TransferLinks::Reserve(LinkHash link, Duration duration, TimePoint now) {
  if (duration <= Duration::zero()) return;
  if (busy_until_.size() >= kMaxLinks) {
    std::erase_if(busy_until_, [&](const auto& entry) { return entry.second <= now; });
  }
  TimePoint& busy_until = busy_until_[link];
  const TimePoint limit = now + kMaxWait + duration;
  busy_until = std::min(std::max(busy_until, now) + duration, limit);
}

}  // namespace ridgehold
