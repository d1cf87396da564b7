// What a gateway of a large fleet tells those that track the backend servers it uses.

#pragma once

#include <chrono>
#include <map>
#include <string>
#include <vector>

#include "gateway/gateway_gossip.h"
#include "gateway/gateway_state.h"
#include "peers/tracker_map.h"

namespace ridgehold {

/// News for one gateway: all of this gateway's load at what that one tracks.
struct NewsForTracker {
  TrackerMap::Gateway tracker;
  std::vector<LoadUpdate> loads;
  GossipItems items;
};

/// Divides the news among the trackers and remembers what each was told. Not
/// thread-safe; time comes in as a value.
class TrackedNews {
 public:
  /// Load that has not changed is told again so often: a tracker that starts anew
  /// knows nothing, and forgets gateways that fall silent (PeerLoads).
  static constexpr std::chrono::milliseconds kRepeat{500};

  TrackedNews(GatewayState& state, std::string own_address)
      : state_(state), own_address_(std::move(own_address)) {}

  /// Returns what is to be sent now. `items` are taken out of the state's news.
  std::vector<NewsForTracker> Collect(const std::vector<LoadUpdate>& loads,
                                      const GossipItems& items, const TrackerMap& trackers,
                                      TimePoint now);

 private:
  /// What a tracker was told last.
  struct Told {
    std::vector<LoadUpdate> loads;
    TimePoint at{};
  };
  using ByTracker = std::map<std::string, NewsForTracker>;

  using Receivers = std::vector<NewsForTracker*>;

  /// Where news of the backend server goes, this gateway left out.
  Receivers For(BackendHash backend, const TrackerMap& trackers, TimePoint now,
                ByTracker& news) const;
  Receivers ForStore(LinkHash link, const TrackerMap& trackers, TimePoint now,
                     ByTracker& news) const;
  Receivers ForAll(const std::vector<const TrackerMap::Gateway*>& trackers, ByTracker& news) const;
  NewsForTracker* ForGateway(const TrackerMap::Gateway& tracker, ByTracker& news) const;
  void AddPlaced(const PlacementUpdate& placed, const TrackerMap& trackers, TimePoint now,
                 ByTracker& news) const;

  GatewayState& state_;
  std::string own_address_;
  std::map<std::string, Told> told_;  ///< by address
};

}  // namespace ridgehold
