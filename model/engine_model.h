// Engines, their links and a store of kept cache in virtual time, for experiments without a
// network.

#pragma once

#include <cstdint>
#include <deque>
#include <utility>
#include <vector>

#include "base/ids.h"
#include "gateway/engine_cache.h"

namespace ridgehold::model {

/// What an engine is like; the figures of a test say where they come from.
struct EngineFigures {
  double tokens_per_ms = 40;             ///< that a prompt is read at
  std::uint64_t cache_tokens = 100'000;  ///< memory
  double link_ms_per_token = 0.0073;     ///< of KV cache over its link
};

/// A request as an engine sees it.
struct ModelRequest {
  std::uint64_t number = 0;
  std::vector<SharedPart> parts;
  std::uint32_t own_tokens = 0;
  TimePoint parts_there{};  ///< when what is fetched will have come
  bool fetches = false;     ///< the missing shared parts come from elsewhere
};

/// When a request got its first event, and what the engine read for it.
struct Beginning {
  std::uint64_t number = 0;
  TimePoint at{};
  std::uint32_t shared_read = 0;
};

/// Reads prompts one after the other in the order of arrival, as engines do with
/// pieces of prompts, and evicts by last use.
class EngineModel {
 public:
  explicit EngineModel(EngineFigures figures) : figures_(figures) {}

  void Send(ModelRequest request, TimePoint now) { waiting_.push_back({std::move(request), now}); }

  /// Reads until `now`; returns the requests that begin by then.
  std::vector<Beginning> Advance(TimePoint now);

  /// Newer weights: what was kept is of no use.
  void Forget() { cache_.Clear(); }

 private:
  struct Waiting {
    ModelRequest request;
    TimePoint sent{};
  };

  EngineFigures figures_;
  EngineCache cache_;
  std::deque<Waiting> waiting_;
  TimePoint busy_until_{};
};

}  // namespace ridgehold::model
