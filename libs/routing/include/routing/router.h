// The routing decision of a daemon: backend table, cache picture and policies together.

#pragma once

#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/result.h"
#include "cache/cache_picture.h"
#include "routing/backend_table.h"
#include "routing/policy.h"

namespace ridgehold {

/// Where a request goes, and what the backend server must answer.
struct Route {
  std::uint32_t index = 0;
  BackendId backend;
  std::string url;
  Incarnation incarnation;  ///< empty: not known yet
  double uncached_tokens = 0;
  std::uint32_t cached_blocks = 0;
  Expectation expectation;
};

/// A model request to be routed.
struct ModelQuery {
  Selection selection;
  PolicyKind policy = PolicyKind::kPrefixCost;
  std::span<const BlockHash> chain;
  std::uint64_t prompt_tokens = 0;
};

/// One line of an explanation.
struct ExplainedCandidate {
  BackendId backend;
  std::uint32_t cached_blocks = 0;
  Expectation expectation;
  bool chosen = false;
};

/// Thread-safe: one mutex over table and picture, held for microseconds.
class Router {
 public:
  Router(ZoneId own_zone, Duration other_zone_distance, std::size_t picture_blocks);

  void Update(const Config& config);
  void SetLeaving(const std::set<BackendId>& leaving);

  /// Chooses a backend server and counts the request as sent there, so that
  /// the next decision sees it. Fails with kNoBackend.
  Result<Route> RouteModel(const ModelQuery& query, TimePoint now);

  /// Same for a plain service, by fewest calls running.
  Result<Route> RouteService(const Selection& selection, TimePoint now);

  /// Shows what RouteModel would do; counts nothing.
  std::vector<ExplainedCandidate> Explain(const ModelQuery& query, TimePoint now) const;

  /// Ends of what a route started. First token and end come once each.
  void NoteFirstToken(const Route& route);
  void NoteEnd(const Route& route, bool had_first_token);
  void NoteFailure(const Route& route, TimePoint now);
  void NoteSuccess(const Route& route);
  void NoteLeaving(const BackendId& backend);

  /// What engines and peers report.
  void TakeReport(const BackendId& backend, const LoadReport& report, TimePoint now);
  /// A poll found no connection: not chosen for a while.
  void TakeUnreachable(const BackendId& backend, TimePoint now);
  void TakeStored(const BackendId& backend, const Incarnation& incarnation,
                  std::span<const BlockHash> blocks, TimePoint now);
  void TakeRemoved(const BackendId& backend, const Incarnation& incarnation,
                   std::span<const BlockHash> blocks);
  /// Replaces all that is believed of one engine.
  void TakeWhole(const BackendId& backend, const Incarnation& incarnation,
                 std::span<const BlockHash> blocks, TimePoint now);

  /// Blocks believed held by a backend server, newest first.
  std::vector<BlockHash> BlocksOf(const BackendId& backend, std::size_t most) const;

  /// A copy of all rows, for dumps and pollers.
  std::vector<BackendState> Rows() const;
  std::size_t picture_size() const;

 private:
  std::vector<Candidate> CandidatesFor(const ModelQuery& query, TimePoint now) const;
  std::size_t Choose(const ModelQuery& query, const RouteQuery& route_query,
                     std::span<const Candidate> candidates) const;
  Route Commit(const Candidate& candidate, const RouteQuery& query);
  static HolderSlot SlotAt(std::uint32_t index) { return static_cast<HolderSlot>(index); }
  std::optional<HolderSlot> SlotOf(const BackendId& backend, const Incarnation& incarnation) const;

  mutable std::mutex mutex_;
  BackendTable table_;
  CachePicture picture_;
  std::uint64_t sequence_ = 0;
};

}  // namespace ridgehold
