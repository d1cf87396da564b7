// The updates about backend servers that gateways gossip to each other.

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
#include "performance/performance_update.h"

namespace ridgehold {

/// Differs between two incarnations with the same id if their start stamps are known, so that
/// updates about the earlier one are not applied to the later one.
BackendHash HashOf(const BackendId& id, StartStamp started = StartStamp());

/// One gateway's load on a backend server.
struct LoadUpdate {
  BackendHash backend = 0;
  std::uint32_t running = 0;
  std::uint32_t unread_tokens = 0;  ///< prompt tokens of requests without a first event
  std::uint32_t unrepeatable = 0;   ///< requests that cannot be resumed elsewhere
  std::uint32_t uncovered = 0;      ///< resumable requests whose retries are used up
  std::uint64_t memory_tokens = 0;  ///< KV cache that its requests hold, see RequestMemory

  bool operator==(const LoadUpdate&) const = default;
};

/// A request was sent; its parts will be in the backend server's cache.
struct PlacementUpdate {
  BackendHash backend = 0;
  std::uint32_t new_tokens = 0;  ///< tokens added to its cache
  std::uint32_t own_tokens = 0;  ///< of these, tokens that no other request shares
  std::vector<SharedPart> parts;
  WeightsNumber weights;      ///< the weights that the engine runs
  LinkHash fetched_from = 0;  ///< 0: nothing is fetched
  BackendHash source = 0;     ///< the engine at that link, if any; not sent
  BackendHash home = 0;  ///< the prompt's home, whose tracker knows which engines hold it; not sent
  Duration fetch_duration{0};  ///< how long the fetch occupies the link
  LinkHash saved_to = 0;       ///< store that saves the parts; 0: none
  Duration save_duration{0};   ///< how long saving occupies the store's link
};

/// A backend server gets no new requests for `duration`; 0 ends the hold.
struct HoldUpdate {
  BackendHash backend = 0;
  std::chrono::milliseconds duration{0};
};

/// A backend server was observed running these weights.
struct WeightsUpdate {
  BackendHash backend = 0;
  ModelId model;
  WeightsNumber number;
};

/// The process at the backend server's address has ended and last showed life `age` ago.
struct ProcessEndUpdate {
  BackendHash backend = 0;
  std::chrono::milliseconds age{0};
};

/// The operator announced these weights at least `age` ago.
struct AnnouncementUpdate {
  ModelId model;
  WeightsNumber number;
  std::chrono::milliseconds age{0};
  bool assumed = false;  ///< the sender does not know the time; `age` is the maximum
};

/// The events since the last message.
struct GossipItems {
  std::vector<PlacementUpdate> placed;
  std::vector<HoldUpdate> holds;
  std::vector<WeightsUpdate> weights;
  std::vector<BackendHash> unreachable;  ///< cannot be reached by the sender; receivers probe them
  std::vector<ProcessEndUpdate> ended;   ///< seen by the sender itself
  /// Sent with a message that is due anyway, so not counted by empty().
  std::vector<PerformanceUpdate> performance;

  bool empty() const {
    return placed.empty() && holds.empty() && weights.empty() && unreachable.empty() &&
           ended.empty();
  }
};

/// One gossip message.
struct GossipMessage {
  DaemonId daemon;
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;
  std::vector<LoadUpdate> loads;
  GossipItems items;
  std::vector<AnnouncementUpdate> namings;  ///< not in every message
};

}  // namespace ridgehold
