// What a gateway tells the others about the backend servers.

#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/ids.h"
#include "gateway/engine_cache.h"
#include "gateway/inbound_request.h"
#include "gateway/transfer_links.h"

namespace ridgehold {

/// Stands for one incarnation of a backend server between gateways.
using BackendHash = std::uint64_t;

/// Differs for two incarnations with the same id, if their starts are known: news
/// of the former must not count for the latter.
BackendHash HashOf(const BackendId& id, StartStamp started = StartStamp());

/// One gateway's requests at a backend server.
struct LoadUpdate {
  BackendHash backend = 0;
  std::uint32_t running = 0;
  std::uint32_t unread_tokens = 0;  ///< prompts of requests without a first event
  std::uint32_t unrepeatable = 0;   ///< requests that cannot be resumed elsewhere
  std::uint32_t uncovered = 0;      ///< others that there are no retries left to resume

  bool operator==(const LoadUpdate&) const = default;
};

/// A request was sent; its parts will be in the backend server's cache.
struct PlacementUpdate {
  BackendHash backend = 0;
  std::uint32_t new_tokens = 0;  ///< that its cache takes in
  std::uint32_t own_tokens = 0;  ///< of those, what only this request uses
  std::vector<SharedPart> parts;
  WeightsNumber weights;       ///< that the engine runs
  LinkHash fetched_from = 0;   ///< 0: nothing is fetched
  BackendHash source = 0;      ///< the engine at that link, if it is one; not sent
  BackendHash home = 0;        ///< the prompt's home, whose tracker knows who has it; not sent
  Duration fetch_duration{0};  ///< that the link is busy
  LinkHash saved_to = 0;       ///< store that gets the parts; 0: none
  Duration save_duration{0};   ///< that its link is busy
};

/// A backend server is to get no new requests for a while; 0: it may again.
struct HoldUpdate {
  BackendHash backend = 0;
  std::chrono::milliseconds duration{0};
};

/// A backend server was seen to run these weights.
struct WeightsUpdate {
  BackendHash backend = 0;
  ModelId model;
  WeightsNumber number;
};

/// The operator named these weights so long ago at the least.
struct AnnouncementUpdate {
  ModelId model;
  WeightsNumber number;
  std::chrono::milliseconds age{0};
};

/// What has happened since the last message.
struct GossipItems {
  std::vector<PlacementUpdate> placed;
  std::vector<HoldUpdate> holds;
  std::vector<WeightsUpdate> weights;
  std::vector<BackendHash> unreachable;  ///< from the sender; to be probed by others

  bool empty() const {
    return placed.empty() && holds.empty() && weights.empty() && unreachable.empty();
  }
};

/// One message of news.
struct GossipMessage {
  DaemonId daemon;
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;
  std::vector<LoadUpdate> loads;
  GossipItems items;
  std::vector<AnnouncementUpdate> namings;  ///< in some messages only
};

}  // namespace ridgehold
