#include "peers/tracked_news.h"

#include <algorithm>
#include <set>
#include <utility>

namespace ridgehold {

std::vector<NewsForTracker> TrackedNews::Collect(const std::vector<LoadNews>& loads,
                                                 const NewsItems& items, const TrackerMap& trackers,
                                                 TimePoint now) {
  ByTracker news;
  for (const LoadNews& load : loads) {
    if (NewsForTracker* to = For(load.backend, trackers, now, news)) to->loads.push_back(load);
  }
  for (const PlacedNews& placed : items.placed) AddPlaced(placed, trackers, now, news);
  for (const HoldNews& hold : items.holds) {
    if (NewsForTracker* to = For(hold.backend, trackers, now, news))
      to->items.holds.push_back(hold);
  }
  for (const WeightsNews& weights : items.weights) {
    NewsForTracker* to = For(weights.backend, trackers, now, news);
    if (to != nullptr) to->items.weights.push_back(weights);
  }
  for (const BackendHash backend : items.unreachable) {
    NewsForTracker* to = For(backend, trackers, now, news);
    if (to != nullptr) to->items.unreachable.push_back(backend);
  }
  // Who was told of load that is gone has to hear that, too.
  for (const auto& [address, told] : told_) {
    const TrackerMap::Gateway* gateway = trackers.Find(address);
    if (gateway != nullptr && !told.loads.empty()) ForGateway(gateway, news);
  }
  std::vector<NewsForTracker> due;
  for (auto& [address, to] : news) {
    Told& told = told_[address];
    const bool changed = !to.items.empty() || to.loads != told.loads;
    if (!changed && now - told.at < kRepeat) continue;
    told = {to.loads, now};
    due.push_back(std::move(to));
  }
  std::erase_if(told_, [](const auto& entry) { return entry.second.loads.empty(); });
  return due;
}

NewsForTracker* TrackedNews::For(BackendHash backend, const TrackerMap& trackers, TimePoint now,
                                 ByTracker& news) const {
  const BackendPtr known = state_.directory().FindByHash(backend);
  if (!known) return nullptr;
  return ForGateway(trackers.TrackerOf(backend, known->entry.zone, now), news);
}

NewsForTracker* TrackedNews::ForStore(LinkHash link, const TrackerMap& trackers, TimePoint now,
                                      ByTracker& news) const {
  const KvCacheStore* store = state_.StoreAt(link);
  if (store == nullptr) return nullptr;
  return ForGateway(trackers.TrackerOf(link, store->zone, now), news);
}

NewsForTracker* TrackedNews::ForGateway(const TrackerMap::Gateway* tracker, ByTracker& news) const {
  if (tracker == nullptr || tracker->address == own_address_) return nullptr;
  NewsForTracker& to = news[tracker->address];
  if (to.tracker.address.empty()) to.tracker = *tracker;
  return &to;
}

void TrackedNews::AddPlaced(const PlacedNews& placed, const TrackerMap& trackers, TimePoint now,
                            ByTracker& news) const {
  // One gateway may track the engine, the home, and what is fetched from.
  std::set<NewsForTracker*> told = {For(placed.backend, trackers, now, news)};
  if (placed.home != 0) told.insert(For(placed.home, trackers, now, news));
  if (placed.source != 0) told.insert(For(placed.source, trackers, now, news));
  if (placed.source == 0 && placed.fetched_from != 0) {
    told.insert(ForStore(placed.fetched_from, trackers, now, news));
  }
  if (placed.saved_to != 0) told.insert(ForStore(placed.saved_to, trackers, now, news));
  for (NewsForTracker* to : told) {
    if (to != nullptr) to->items.placed.push_back(placed);
  }
}

}  // namespace ridgehold
