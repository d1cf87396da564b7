#include "peers/recent_namings.h"

#include <algorithm>
#include <chrono>
#include <string>

#include "log/duration_text.h"
#include "log/log.h"

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
      const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - namings[i].at);
      recent.push_back({model, namings[i].number, age, namings[i].assumed});
    }
  }
  return recent;
}

void ApplyNamings(WeightsHistory& named, const std::vector<AnnouncementUpdate>& namings,
                  TimePoint now) {
  for (const AnnouncementUpdate& naming : namings) {
    // An assumed time of another gateway is no better than the own one.
    if (naming.assumed && named.Contains(naming.model, naming.number)) continue;
    if (!named.Record(naming.model, naming.number, now - naming.age, naming.assumed)) continue;
    Log(LogLevel::kInfo, "weights named",
        {{"model", naming.model.value()},
         {"weights", std::to_string(naming.number.value())},
         {"age_ms", MillisecondsText(naming.age)},
         {"age_is", naming.assumed ? "assumed" : "known"},
         {"source", "gateway"}});
  }
}

}  // namespace ridgehold
