#include "peers/tracked_news.h"

#include <algorithm>
#include <set>
#include <utility>

namespace ridgehold {

std::vector<NewsForTracker> TrackedNews::Collect(const std::vector<LoadUpdate>& loads,
                                                 const GossipItems& items,
                                                 const TrackerMap& trackers, TimePoint now) {
  ByTracker news;
  for (const LoadUpdate& load : loads) {
    for (auto* to : For(load.backend, trackers, now, news)) to->loads.push_back(load);
  }
  for (const PlacementUpdate& placed : items.placed) AddPlaced(placed, trackers, now, news);
  for (const HoldUpdate& hold : items.holds) {
    for (auto* to : For(hold.backend, trackers, now, news)) to->items.holds.push_back(hold);
  }
  for (const WeightsUpdate& weights : items.weights) {
    for (auto* to : For(weights.backend, trackers, now, news)) to->items.weights.push_back(weights);
  }
  for (const BackendHash backend : items.unreachable) {
    for (auto* to : For(backend, trackers, now, news)) to->items.unreachable.push_back(backend);
  }
  // Who was told of load that is gone has to hear that, too.
  for (const auto& [address, told] : told_) {
    const TrackerMap::Gateway* gateway = trackers.Find(address);
    if (gateway != nullptr && !told.loads.empty()) ForGateway(*gateway, news);
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

TrackedNews::Receivers TrackedNews::For(BackendHash backend, const TrackerMap& trackers,
                                        TimePoint now, ByTracker& news) const {
  const BackendPtr known = state_.directory().FindByHash(backend);
  if (!known) return {};
  return ForAll(trackers.TrackersOf(backend, known->entry.zone, now), news);
}

TrackedNews::Receivers TrackedNews::ForStore(LinkHash link, const TrackerMap& trackers,
                                             TimePoint now, ByTracker& news) const {
  const KvCacheStore* store = state_.StoreAt(link);
  if (store == nullptr) return {};
  return ForAll(trackers.TrackersOf(link, store->zone, now), news);
}

TrackedNews::Receivers TrackedNews::ForAll(const std::vector<const TrackerMap::Gateway*>& trackers,
                                           ByTracker& news) const {
  Receivers receivers;
  for (const TrackerMap::Gateway* tracker : trackers) {
    if (NewsForTracker* to = ForGateway(*tracker, news)) receivers.push_back(to);
  }
  return receivers;
}

NewsForTracker* TrackedNews::ForGateway(const TrackerMap::Gateway& tracker, ByTracker& news) const {
  if (tracker.address == own_address_) return nullptr;
  NewsForTracker& to = news[tracker.address];
  if (to.tracker.address.empty()) to.tracker = tracker;
  return &to;
}

void TrackedNews::AddPlaced(const PlacementUpdate& placed, const TrackerMap& trackers,
                            TimePoint now, ByTracker& news) const {
  // One gateway may track the engine, the home, and what is fetched from.
  std::set<NewsForTracker*> told;
  const auto add = [&](const Receivers& receivers) {
    told.insert(receivers.begin(), receivers.end());
  };
  add(For(placed.backend, trackers, now, news));
  if (placed.home != 0) add(For(placed.home, trackers, now, news));
  if (placed.source != 0) add(For(placed.source, trackers, now, news));
  const bool from_store = placed.source == 0 && placed.fetched_from != 0;
  if (from_store) add(ForStore(placed.fetched_from, trackers, now, news));
  if (placed.saved_to != 0) add(ForStore(placed.saved_to, trackers, now, news));
  for (NewsForTracker* to : told) to->items.placed.push_back(placed);
}

}  // namespace ridgehold
