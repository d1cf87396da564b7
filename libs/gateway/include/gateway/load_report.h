// What a gateway is asked about backend servers that it tracks, and what it answers.

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "gateway/backend_directory.h"
#include "gateway/engine_cache.h"
#include "gateway/inbound_request.h"
#include "gateway/transfer_links.h"

namespace ridgehold {

/// A store of kept cache that is asked about.
struct StoreQuery {
  LinkHash link = 0;
  ZoneId zone;
};

/// What is asked before a request is placed.
struct LoadQuestion {
  std::vector<BackendPtr> backends;
  std::vector<SharedPart> parts;  ///< of the prompt; only their hashes are sent
  ModelId model;
  WeightsNumber weights;            ///< of the parts in the store
  std::optional<StoreQuery> store;  ///< none: nothing is fetched from one
  BackendPtr home;                  ///< whose tracker is asked who has the parts; null: nobody
};

/// How a backend server is, by the gateway that tracks it.
struct BackendReport {
  BackendHash backend = 0;
  PeerLoad work;                          ///< of all gateways but the asking one
  Duration hold{0};                       ///< to get no new requests so long
  WeightsNumber weights;                  ///< of the model asked for; 0: not known
  EngineCache::PrefixMatch prefix_match;  ///< of the parts asked for
  Duration link_wait{0};                  ///< until its link is free
  bool reachable = true;                  ///< from the gateway that reports
};

/// How a store of kept cache is.
struct StoreReport {
  LinkHash link = 0;
  std::uint32_t readable_tokens = 0;  ///< of the parts asked for, from the beginning on
  Duration link_wait{0};
};

/// What one gateway has seen of a prompt's beginning among its own requests.
struct PrefixSample {
  double tokens = 0;  ///< brought to caches by prompts that begin so
  double total = 0;   ///< by all
};

/// The answers that came in time.
struct LoadAnswer {
  std::map<BackendHash, BackendReport> backends;
  std::optional<StoreReport> store;
  std::vector<BackendHash> holders;  ///< engines that are believed to have all parts
  std::vector<PrefixSample> samples;

  /// Null when it was not asked about, or did not answer.
  const BackendReport* Find(const Backend& backend) const {
    const auto found = backends.find(HashOf(backend));
    return found == backends.end() ? nullptr : &found->second;
  }
};

}  // namespace ridgehold
