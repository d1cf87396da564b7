#include "routing/router.h"

#include <algorithm>

namespace ridgehold {

Router::Router(ZoneId own_zone, Duration other_zone_distance, std::size_t picture_blocks)
    : table_(std::move(own_zone), other_zone_distance), picture_(picture_blocks) {}

void Router::Update(const Config& config) {
  const std::lock_guard lock(mutex_);
  for (const std::uint32_t index : table_.Update(config)) picture_.Forget(SlotAt(index));
}

void Router::SetLeaving(const std::set<BackendId>& leaving) {
  const std::lock_guard lock(mutex_);
  table_.SetLeaving(leaving);
}

Result<Route> Router::RouteModel(const ModelQuery& query, TimePoint now) {
  const std::lock_guard lock(mutex_);
  const std::vector<Candidate> candidates = CandidatesFor(query, now);
  if (candidates.empty()) return Fail(ResultCode::kNoBackend, "no engine can take the request");
  const RouteQuery route_query{query.chain, query.prompt_tokens, sequence_++};
  const Candidate& chosen = candidates[Choose(query, route_query, candidates)];
  Route route = Commit(chosen, route_query);
  // The next request with this prefix joins this prefill instead of starting
  // one elsewhere.
  picture_.Add(SlotAt(route.index), query.chain, now);
  return route;
}

Result<Route> Router::RouteService(const Selection& selection, TimePoint now) {
  const std::lock_guard lock(mutex_);
  const std::vector<Candidate> candidates = table_.Candidates(selection, now);
  if (candidates.empty()) return Fail(ResultCode::kNoBackend, "no instance of the service");
  const RouteQuery query{{}, 0, sequence_++};
  const auto nearest = std::ranges::min_element(candidates, {}, &Candidate::distance)->distance;
  std::vector<Candidate> near;
  std::ranges::copy_if(candidates, std::back_inserter(near),
                       [&](const Candidate& candidate) { return candidate.distance == nearest; });
  return Commit(near[LeastLoaded().Choose(query, near)], query);
}

std::vector<ExplainedCandidate> Router::Explain(const ModelQuery& query, TimePoint now) const {
  const std::lock_guard lock(mutex_);
  const std::vector<Candidate> candidates = CandidatesFor(query, now);
  std::vector<ExplainedCandidate> lines;
  if (candidates.empty()) return lines;
  const RouteQuery route_query{query.chain, query.prompt_tokens, sequence_};
  const std::size_t chosen = Choose(query, route_query, candidates);
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    lines.push_back({table_.at(candidates[i].index).server.id, candidates[i].cached_blocks,
                     Expect(route_query, candidates[i]), i == chosen});
  }
  return lines;
}

void Router::NoteFirstToken(const Route& route) {
  const std::lock_guard lock(mutex_);
  table_.NoteFirstToken(route.index, route.uncached_tokens);
}

void Router::NoteEnd(const Route& route, bool had_first_token) {
  const std::lock_guard lock(mutex_);
  if (!had_first_token) table_.NoteFirstToken(route.index, route.uncached_tokens);
  table_.NoteEnd(route.index);
}

void Router::NoteFailure(const Route& route, TimePoint now) {
  const std::lock_guard lock(mutex_);
  // What is believed cached there stays: if the engine lost it, it comes back
  // as another incarnation, and that voids it.
  table_.NoteFailure(route.index, now);
}

void Router::NoteSuccess(const Route& route) {
  const std::lock_guard lock(mutex_);
  table_.NoteSuccess(route.index);
}

void Router::NoteLeaving(const BackendId& backend) {
  const std::lock_guard lock(mutex_);
  table_.NoteLeaving(backend);
}

void Router::TakeReport(const BackendId& backend, const LoadReport& report, TimePoint now) {
  const std::lock_guard lock(mutex_);
  const auto index = table_.Find(backend);
  if (!index) return;
  if (table_.TakeReport(backend, report, now)) picture_.Forget(SlotAt(*index));
}

void Router::TakeUnreachable(const BackendId& backend, TimePoint now) {
  const std::lock_guard lock(mutex_);
  if (const auto index = table_.Find(backend)) table_.NoteFailure(*index, now);
}

void Router::TakeStored(const BackendId& backend, const Incarnation& incarnation,
                        std::span<const BlockHash> blocks, TimePoint now) {
  const std::lock_guard lock(mutex_);
  if (const auto slot = SlotOf(backend, incarnation)) picture_.Add(*slot, blocks, now);
}

void Router::TakeRemoved(const BackendId& backend, const Incarnation& incarnation,
                         std::span<const BlockHash> blocks) {
  const std::lock_guard lock(mutex_);
  if (const auto slot = SlotOf(backend, incarnation)) picture_.Remove(*slot, blocks);
}

void Router::TakeWhole(const BackendId& backend, const Incarnation& incarnation,
                       std::span<const BlockHash> blocks, TimePoint now) {
  const std::lock_guard lock(mutex_);
  const auto slot = SlotOf(backend, incarnation);
  if (!slot) return;
  picture_.Forget(*slot);
  picture_.Add(*slot, blocks, now);
}

std::vector<BlockHash> Router::BlocksOf(const BackendId& backend, std::size_t most) const {
  const std::lock_guard lock(mutex_);
  const auto index = table_.Find(backend);
  if (!index) return {};
  return picture_.BlocksOf(SlotAt(*index), most);
}

std::vector<BackendState> Router::Rows() const {
  const std::lock_guard lock(mutex_);
  std::vector<BackendState> rows;
  for (std::uint32_t i = 0; i < table_.size(); ++i) rows.push_back(table_.at(i));
  return rows;
}

std::size_t Router::picture_size() const {
  const std::lock_guard lock(mutex_);
  return picture_.size();
}

std::vector<Candidate> Router::CandidatesFor(const ModelQuery& query, TimePoint now) const {
  std::vector<Candidate> candidates = table_.Candidates(query.selection, now);
  std::vector<std::uint32_t> matched(table_.size());
  picture_.Match(query.chain, now, matched);
  for (Candidate& candidate : candidates) {
    candidate.cached_blocks = matched[SlotAt(candidate.index)];
  }
  return candidates;
}

std::size_t Router::Choose(const ModelQuery& query, const RouteQuery& route_query,
                           std::span<const Candidate> candidates) const {
  switch (query.policy) {
    case PolicyKind::kPrefixCost:
      return PrefixCost().Choose(route_query, candidates);
    case PolicyKind::kPrefixHash:
      return PrefixHash().Choose(route_query, candidates);
    case PolicyKind::kLeastLoaded:
      return LeastLoaded().Choose(route_query, candidates);
    case PolicyKind::kRoundRobin:
      break;
  }
  return RoundRobin().Choose(route_query, candidates);
}

Route Router::Commit(const Candidate& candidate, const RouteQuery& query) {
  const BackendState& row = table_.at(candidate.index);
  Route route;
  route.index = candidate.index;
  route.backend = row.server.id;
  route.url = row.server.url;
  route.incarnation = row.incarnation;
  route.cached_blocks = candidate.cached_blocks;
  const double cached = static_cast<double>(candidate.cached_blocks) * kBlockTokens;
  route.uncached_tokens = std::max(0.0, static_cast<double>(query.prompt_tokens) - cached);
  route.expectation = Expect(query, candidate);
  table_.NoteSent(candidate.index, route.uncached_tokens);
  return route;
}

std::optional<HolderSlot> Router::SlotOf(const BackendId& backend,
                                         const Incarnation& incarnation) const {
  const auto index = table_.Find(backend);
  if (!index || table_.at(*index).incarnation != incarnation) return std::nullopt;
  return SlotAt(*index);
}

}  // namespace ridgehold
