#include "gateway/weights_history.h"

#include <algorithm>

namespace ridgehold {

bool WeightsHistory::Record(const ModelId& model, WeightsNumber number, TimePoint at,
                            bool assumed) {
  std::vector<Announcement>& announcements = announcements_[model];
  const auto place = std::ranges::lower_bound(announcements, number, {}, &Announcement::number);
  const bool newest = place == announcements.end();
  if (!newest && place->number == number) {
    const bool better = place->assumed ? !assumed || at < place->at : !assumed && at < place->at;
    if (!better) return false;
    *place = {number, at, assumed};
    NotifyChanged();
    return false;
  }
  announcements.insert(place, {number, at, assumed});
  if (announcements.size() > kMaxEntries) announcements.erase(announcements.begin());
  NotifyChanged();
  return newest;
}

bool WeightsHistory::Contains(const ModelId& model, WeightsNumber number) const {
  const auto found = announcements_.find(model);
  if (found == announcements_.end()) return false;
  const auto place = std::ranges::lower_bound(found->second, number, {}, &Announcement::number);
  return place != found->second.end() && place->number == number;
}

std::optional<WeightsNumber> WeightsHistory::Newest(const ModelId& model) const {
  const auto found = announcements_.find(model);
  if (found == announcements_.end() || found->second.empty()) return std::nullopt;
  return found->second.back().number;
}

std::optional<TimePoint> WeightsHistory::NewestAnnouncedAt(const ModelId& model) const {
  const auto found = announcements_.find(model);
  if (found == announcements_.end() || found->second.empty()) return std::nullopt;
  return found->second.back().at;
}

std::optional<WeightsHistory::Announcement> WeightsHistory::SupersededBy(
    const ModelId& model, WeightsNumber number) const {
  const auto found = announcements_.find(model);
  if (found == announcements_.end()) return std::nullopt;
  // Any higher number supersedes these weights at its own time, whatever the order of the numbers.
  const auto newer = std::ranges::upper_bound(found->second, number, {}, &Announcement::number);
  const auto earliest = std::ranges::min_element(newer, found->second.end(), {}, &Announcement::at);
  return earliest == found->second.end() ? std::nullopt : std::optional(*earliest);
}

std::optional<TimePoint> WeightsHistory::SupersededSince(const ModelId& model,
                                                         WeightsNumber number) const {
  const auto announcement = SupersededBy(model, number);
  return announcement ? std::optional(announcement->at) : std::nullopt;
}

}  // namespace ridgehold
