#include "admission/admission.h"

#include <algorithm>
#include <cmath>

namespace ridgehold {
namespace {

// From this fill on, fair parts are enforced.
constexpr std::uint32_t kFairFromNumerator = 3;
constexpr std::uint32_t kFairFromDenominator = 4;

constexpr double kMeanWeight = 0.05;
constexpr double kLongestRetrySeconds = 30;

}  // namespace

std::optional<Refusal> Admission::Enter(const WorkspaceId& workspace, const WorkspaceLimits& limits,
                                        TimePoint now) {
  Usage& usage = usage_[workspace];
  usage.share = limits.share;
  usage.last_seen = now;
  if (in_flight_ >= max_in_flight_) return Refusal{ResultCode::kOverloaded, RetryAfter()};
  if (usage.in_flight >= limits.max_streams) {
    return Refusal{ResultCode::kWorkspaceLimit, RetryAfter()};
  }
  const bool scarce = in_flight_ * kFairFromDenominator >= max_in_flight_ * kFairFromNumerator;
  if (scarce && usage.in_flight >= FairPart(workspace, now)) {
    return Refusal{ResultCode::kWorkspaceLimit, RetryAfter()};
  }
  ++usage.in_flight;
  ++in_flight_;
  return std::nullopt;
}

void Admission::Leave(const WorkspaceId& workspace, Duration took) {
  --usage_[workspace].in_flight;
  --in_flight_;
  const double seconds = std::chrono::duration<double>(took).count();
  mean_seconds_ += kMeanWeight * (seconds - mean_seconds_);
}

std::uint32_t Admission::InFlightOf(const WorkspaceId& workspace) const {
  const auto found = usage_.find(workspace);
  return found == usage_.end() ? 0 : found->second.in_flight;
}

std::uint32_t Admission::FairPart(const WorkspaceId& workspace, TimePoint now) const {
  std::uint64_t all_shares = 0;
  for (const auto& [id, usage] : usage_) {
    const bool active = usage.in_flight > 0 || now - usage.last_seen <= kActiveFor;
    if (active) all_shares += usage.share;
  }
  const std::uint64_t share = usage_.at(workspace).share;
  const std::uint64_t part =
      std::uint64_t{max_in_flight_} * share / std::max<std::uint64_t>(all_shares, 1);
  return static_cast<std::uint32_t>(std::max<std::uint64_t>(part, 1));
}

std::chrono::seconds Admission::RetryAfter() const {
  const double seconds = std::clamp(std::ceil(mean_seconds_), 1.0, kLongestRetrySeconds);
  return std::chrono::seconds(static_cast<std::int64_t>(seconds));
}

}  // namespace ridgehold
