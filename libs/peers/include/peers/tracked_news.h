// Updates that a gateway of a large fleet sends to the trackers of the backend servers it uses.

#pragma once

#include <chrono>
#include <map>
#include <string>
#include <vector>

#include "gateway/gateway_gossip.h"
#include "gateway/gateway_state.h"
#include "peers/tracker_map.h"
#include "performance/pending_performance.h"

namespace ridgehold {

/// An update for one gateway, with all of this gateway's load at the backend servers it tracks.
struct NewsForTracker {
  TrackerMap::Gateway tracker;
  std::vector<LoadUpdate> loads;
  GossipItems items;
};

/// Distributes updates among the trackers and remembers what each was sent. Not thread-safe; time
/// is passed in.
class TrackedNews {
 public:
  /// Unchanged load is sent again at this interval: a restarted tracker has no state, and trackers
  /// drop gateways that fall silent (PeerLoads).
  static constexpr std::chrono::milliseconds kRepeatInterval{500};

  TrackedNews(GatewayState& state, std::string own_address)
      : state_(state), own_address_(std::move(own_address)) {}

  /// Returns the updates to send now. `items` have been removed from the state's queue.
  std::vector<NewsForTracker> Collect(const std::vector<LoadUpdate>& loads,
                                      const GossipItems& items, const TrackerMap& trackers,
                                      TimePoint now);

 private:
  /// The last update sent to a tracker.
  struct LastSent {
    std::vector<LoadUpdate> loads;
    TimePoint at{};
  };
  using ByTracker = std::map<std::string, NewsForTracker>;

  using Receivers = std::vector<NewsForTracker*>;

  /// Returns the receivers of updates about the backend server, except this gateway itself.
  Receivers ReceiversFor(BackendHash backend, const TrackerMap& trackers, TimePoint now,
                         ByTracker& news) const;
  Receivers ReceiversForStore(LinkHash link, const TrackerMap& trackers, TimePoint now,
                              ByTracker& news) const;
  Receivers AddReceivers(const std::vector<const TrackerMap::Gateway*>& trackers,
                         ByTracker& news) const;
  NewsForTracker* AddReceiver(const TrackerMap::Gateway& tracker, ByTracker& news) const;
  void AddPlaced(const PlacementUpdate& placed, const TrackerMap& trackers, TimePoint now,
                 ByTracker& news) const;

  GatewayState& state_;
  std::string own_address_;
  std::map<std::string, LastSent> last_sent_;  ///< by address
  /// Samples that wait for the next message to a tracker, by address. They cause no message: an
  /// engine with requests has one within kRepeatInterval.
  std::map<std::string, PendingPerformance> performance_;
};

}  // namespace ridgehold
