#include "gateway/gateway_state.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace ridgehold {

ReadingSpeed& GatewayState::reading_speed(const ServiceId& service) {
  return reading_speeds_.try_emplace(service, placement_weights_.prefill_tokens_per_ms)
      .first->second;
}

double GatewayState::TokensPerMs(const ServiceId& service) const {
  const auto found = reading_speeds_.find(service);
  const bool observed = placement_weights_.observe_speed && found != reading_speeds_.end();
  return observed ? found->second.tokens_per_ms() : placement_weights_.prefill_tokens_per_ms;
}

NewsItems GatewayState::TakeNews(std::size_t most_placed) {
  NewsItems taken;
  std::swap(taken.holds, news_.holds);
  std::swap(taken.weights, news_.weights);
  std::swap(taken.unreachable, news_.unreachable);
  const auto end = news_.placed.begin() +
                   static_cast<std::ptrdiff_t>(std::min(most_placed, news_.placed.size()));
  taken.placed.assign(std::make_move_iterator(news_.placed.begin()), std::make_move_iterator(end));
  news_.placed.erase(news_.placed.begin(), end);
  return taken;
}

std::uint64_t GatewayState::CacheTokensOf(const ServiceId& service) const {
  const ServiceRule* rule = snapshot_ ? snapshot_->FindService(service) : nullptr;
  return rule != nullptr && rule->engine ? rule->engine->cache_tokens : 0;
}

std::uint64_t GatewayState::StoreTokensAt(LinkHash link) const {
  if (!snapshot_) return 0;
  for (const ServiceRule& service : snapshot_->services()) {
    if (service.kv_store && LinkOf(service.kv_store->address) == link) {
      return service.kv_store->cache_tokens;
    }
  }
  return 0;
}

void GatewayState::NoteTransfers(const PlacedNews& placed, TimePoint now) {
  if (placed.fetched_from != 0) links_.Add(placed.fetched_from, placed.fetch_length, now);
  if (placed.saved_to == 0) return;
  links_.Add(placed.saved_to, placed.save_length, now);
  const std::vector<SharedPart> parts = KeptParts(placed.parts, placed.weights);
  kept_[placed.saved_to].Use(parts, 0, StoreTokensAt(placed.saved_to), now);
}

void GatewayState::TakePlaced(const PlacedNews& placed, TimePoint now) {
  if (!placed.parts.empty()) {
    prefix_shares_.Note(placed.parts.front().hash, placed.new_tokens, now);
  }
  NoteTransfers(placed, now);
  const BackendPtr backend = directory_.FindByHash(placed.backend);
  if (!backend) return;
  backend->cache.Use(placed.parts, placed.own_tokens, CacheTokensOf(backend->entry.service), now);
}

void GatewayState::TellPlaced(PlacedNews placed) {
  TakePlaced(placed, Clock::now());
  news_.placed.push_back(std::move(placed));
  if (on_placed_) on_placed_();
}

void GatewayState::Hold(Backend& backend, std::chrono::milliseconds length, TimePoint now) {
  backend.hold_until = now + length;
  news_.holds.push_back({HashOf(backend), length});
}

void GatewayState::NoteUnreachable(Backend& backend) {
  backend.doubted = true;
  if (!std::exchange(backend.reachable, false)) return;
  news_.unreachable.push_back(HashOf(backend));
}

std::uint32_t GatewayState::Uncovered(const Backend& backend, TimePoint now) {
  // Another engine may be broken off at the same moment, or fail.
  constexpr double kForOneEngine = 0.5;
  const double covered = kForOneEngine * retries_.Left(backend.entry.service, now);
  const double resumable = backend.in_flight - std::min(backend.in_flight, backend.unrepeatable);
  return static_cast<std::uint32_t>(std::max(0.0, resumable - covered));
}

void GatewayState::NoteWeights(Backend& backend, const ModelId& model, WeightsNumber number) {
  const auto known = backend.weights.find(model);
  if (known != backend.weights.end() && known->second >= number) return;
  BackendDirectory::NoteWeights(backend, model, number);
  news_.weights.push_back({HashOf(backend), model, number});
}

}  // namespace ridgehold
