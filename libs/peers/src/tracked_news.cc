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
    for (auto* to : ReceiversFor(load.backend, trackers, now, news)) to->loads.push_back(load);
  }
  for (const PlacementUpdate& placed : items.placed) AddPlaced(placed, trackers, now, news);
  for (const HoldUpdate& hold : items.holds) {
    for (auto* to : ReceiversFor(hold.backend, trackers, now, news))
      to->items.holds.push_back(hold);
  }
  for (const WeightsUpdate& weights : items.weights) {
    for (auto* to : ReceiversFor(weights.backend, trackers, now, news))
      to->items.weights.push_back(weights);
  }
  for (const BackendHash backend : items.unreachable) {
    for (auto* to : ReceiversFor(backend, trackers, now, news))
      to->items.unreachable.push_back(backend);
  }
  for (const ProcessEndUpdate& end : items.ended) {
    for (auto* to : ReceiversFor(end.backend, trackers, now, news)) to->items.ended.push_back(end);
  }
  for (const PerformanceUpdate& update : items.performance) {
    for (auto* to : ReceiversFor(update.backend, trackers, now, news))
      performance_[to->tracker.address].Add(update);
  }
  // Trackers whose last update reported load that has since ended need an update as well.
  for (const auto& [address, last_sent] : last_sent_) {
    const TrackerMap::Gateway* gateway = trackers.Find(address);
    if (gateway != nullptr && !last_sent.loads.empty()) AddReceiver(*gateway, news);
  }
  std::vector<NewsForTracker> due;
  for (auto& [address, to] : news) {
    LastSent& last_sent = last_sent_[address];
    const bool changed = !to.items.empty() || to.loads != last_sent.loads;
    if (!changed && now - last_sent.at < kRepeatInterval) continue;
    last_sent = {to.loads, now};
    if (auto waiting = performance_.extract(address))
      to.items.performance = waiting.mapped().Take();
    due.push_back(std::move(to));
  }
  std::erase_if(last_sent_, [](const auto& entry) { return entry.second.loads.empty(); });
  // A tracker without an entry in `news` has no load to be told of; what waits for it is dropped.
  std::erase_if(performance_, [&](const auto& entry) { return !news.contains(entry.first); });
  return due;
}

TrackedNews::Receivers TrackedNews::ReceiversFor(BackendHash backend, const TrackerMap& trackers,
                                                 TimePoint now, ByTracker& news) const {
  const BackendPtr known = state_.directory().FindByHash(backend);
  if (!known) return {};
  return AddReceivers(trackers.TrackersOf(backend, known->entry.zone, now), news);
}

TrackedNews::Receivers TrackedNews::ReceiversForStore(LinkHash link, const TrackerMap& trackers,
                                                      TimePoint now, ByTracker& news) const {
  const KvCacheStore* store = state_.StoreAt(link);
  if (store == nullptr) return {};
  return AddReceivers(trackers.TrackersOf(link, store->zone, now), news);
}

TrackedNews::Receivers TrackedNews::AddReceivers(
    const std::vector<const TrackerMap::Gateway*>& trackers, ByTracker& news) const {
  Receivers receivers;
  for (const TrackerMap::Gateway* tracker : trackers) {
    if (NewsForTracker* to = AddReceiver(*tracker, news)) receivers.push_back(to);
  }
  return receivers;
}

NewsForTracker* TrackedNews::AddReceiver(const TrackerMap::Gateway& tracker,
                                         ByTracker& news) const {
  if (tracker.address == own_address_) return nullptr;
  NewsForTracker& to = news[tracker.address];
  if (to.tracker.address.empty()) to.tracker = tracker;
  return &to;
}

void TrackedNews::AddPlaced(const PlacementUpdate& placed, const TrackerMap& trackers,
                            TimePoint now, ByTracker& news) const {
  // One gateway may track the engine, the home engine, and the source of a fetch.
  std::set<NewsForTracker*> receiver_set;
  const auto add = [&](const Receivers& receivers) {
    receiver_set.insert(receivers.begin(), receivers.end());
  };
  add(ReceiversFor(placed.backend, trackers, now, news));
  if (placed.home != 0) add(ReceiversFor(placed.home, trackers, now, news));
  if (placed.source != 0) add(ReceiversFor(placed.source, trackers, now, news));
  const bool from_store = placed.source == 0 && placed.fetched_from != 0;
  if (from_store) add(ReceiversForStore(placed.fetched_from, trackers, now, news));
  if (placed.saved_to != 0) add(ReceiversForStore(placed.saved_to, trackers, now, news));
  for (NewsForTracker* to : receiver_set) to->items.placed.push_back(placed);
}

}  // namespace ridgehold
