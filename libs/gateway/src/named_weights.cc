#include "gateway/named_weights.h"

#include <algorithm>

namespace ridgehold {

bool NamedWeights::Take(const ModelId& model, WeightsNumber number, TimePoint now) {
  std::vector<Naming>& namings = namings_[model];
  if (!namings.empty() && number <= namings.back().number) return false;
  if (namings.size() >= kMostRemembered) namings.erase(namings.begin());
  namings.push_back({number, now});
  return true;
}

std::optional<WeightsNumber> NamedWeights::Newest(const ModelId& model) const {
  const auto found = namings_.find(model);
  if (found == namings_.end() || found->second.empty()) return std::nullopt;
  return found->second.back().number;
}

std::optional<TimePoint> NamedWeights::NewestSince(const ModelId& model) const {
  const auto found = namings_.find(model);
  if (found == namings_.end() || found->second.empty()) return std::nullopt;
  return found->second.back().at;
}

std::optional<TimePoint> NamedWeights::OutdatedSince(const ModelId& model,
                                                     WeightsNumber number) const {
  const auto found = namings_.find(model);
  if (found == namings_.end()) return std::nullopt;
  const auto newer = std::ranges::upper_bound(found->second, number, {}, &Naming::number);
  return newer == found->second.end() ? std::nullopt : std::optional(newer->at);
}

}  // namespace ridgehold
