#include "resumption/release_history.h"

namespace ridgehold {

void ReleaseHistory::Observe(const std::set<ReleaseId>& releases, TimePoint now) {
  if (releases.empty()) return;
  if (!first_observed_) first_observed_ = now;
  for (const ReleaseId& release : releases) last_seen_[release] = now;
}

ReleaseHistory::Summary ReleaseHistory::Summarize(Duration lifetime, TimePoint now) const {
  Summary summary;
  for (const auto& [release, seen] : last_seen_) {
    if (now - seen > lifetime) continue;
    summary.several = summary.single.has_value();
    if (summary.several) break;
    summary.single = release;
  }
  if (summary.several) summary.single.reset();
  summary.complete = first_observed_ && now - *first_observed_ > lifetime;
  return summary;
}

}  // namespace ridgehold
