#include "peers/recent_namings.h"

#include <algorithm>
#include <chrono>

namespace ridgehold {
namespace {

// Older announcements are of no use to a rollout that lags by more than this many.
constexpr std::size_t kMaxNamings = 6;

}  // namespace

std::vector<AnnouncementUpdate> RecentNamings(const WeightsHistory& named, TimePoint now) {
  std::vector<AnnouncementUpdate> recent;
  for (const auto& [model, namings] : named.all()) {
    const std::size_t skipped = namings.size() - std::min(namings.size(), kMaxNamings);
    for (std::size_t i = skipped; i < namings.size(); ++i) {
      if (namings[i].assumed) continue;
      const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - namings[i].at);
      recent.push_back({model, namings[i].number, age});
    }
  }
  return recent;
}

void ApplyNamings(WeightsHistory& named, const std::vector<AnnouncementUpdate>& namings,
                  TimePoint now) {
  for (const AnnouncementUpdate& naming : namings) {
    named.Record(naming.model, naming.number, now - naming.age);
  }
}

}  // namespace ridgehold
