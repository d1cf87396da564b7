#include "resumption/release_history.h"

namespace ridgehold {

void ReleaseHistory::Observe(const std::set<ReleaseId>& releases, TimePoint now) {
  if (releases.empty()) return;
  if (!first_observed_) first_observed_ = now;
  for (const ReleaseId& release : releases) {
    last_seen_[release] = now;
    if (!recorded_.contains(release)) unrecorded_.try_emplace(release, now);
  }
}

void ReleaseHistory::Restore(const ReleaseRecord& record, TimePoint now) {
  known_complete_ = known_complete_ || record.complete;
  recorded_ = record.releases;
  has_record_ = true;
  std::erase_if(unrecorded_, [&](const auto& entry) { return recorded_.contains(entry.first); });
  recorded_at_ = now;
}

std::set<ReleaseId> ReleaseHistory::Recent(Duration lifetime, TimePoint now) const {
  std::set<ReleaseId> recent;
  if (now - recorded_at_ <= lifetime) recent = recorded_;
  for (const auto& [release, seen] : last_seen_) {
    if (now - seen <= lifetime) recent.insert(release);
  }
  return recent;
}

std::set<ReleaseId> ReleaseHistory::Unrecorded(TimePoint now) const {
  std::set<ReleaseId> unrecorded;
  if (!has_record_) return unrecorded;
  for (const auto& [release, since] : unrecorded_) {
    if (now - since < kMaxRecordDelay) unrecorded.insert(release);
  }
  return unrecorded;
}

ReleaseRecord ReleaseHistory::ToRecord(Duration lifetime, TimePoint now) const {
  return {Recent(lifetime, now), Summarize(lifetime, now).complete};
}

ReleaseHistory::Summary ReleaseHistory::Summarize(Duration lifetime, TimePoint now) const {
  Summary summary;
  const std::set<ReleaseId> recent = Recent(lifetime, now);
  summary.several = recent.size() > 1;
  summary.releases = recent.size();
  if (recent.size() == 1) summary.single = *recent.begin();
  summary.complete = known_complete_ || (first_observed_ && now - *first_observed_ > lifetime);
  return summary;
}

}  // namespace ridgehold
