#include "groups/group_size.h"

#include <algorithm>
#include <cmath>

namespace ridgehold {
namespace {

constexpr double kMsPerSecond = 1'000;
/// Decayed averages never reach zero. Less than this fraction of one engine counts as none.
constexpr double kMinEngines = 0.05;
/// Utilization of the bulk engines above which the group is made smaller.
constexpr double kMaxBulkUtilization = 0.7;

/// The fractions of the group's slots and prefill capacity that may be used.
struct UtilizationTargets {
  double slots = 0;
  double prefill = 0;
};
constexpr UtilizationTargets kUsual{0.5, 0.3};
constexpr UtilizationTargets kScarce{0.8, 0.6};

double TokensPerSecond(const GroupCapacity& capacity) {
  return kMsPerSecond * capacity.tokens_per_ms;
}

double EnginesFor(const DemandSample& fleet, const GroupCapacity& capacity,
                  const UtilizationTargets& targets) {
  const double for_prefill = fleet.interactive_rate / (targets.prefill * TokensPerSecond(capacity));
  if (capacity.slots == 0) return for_prefill;
  return std::max(for_prefill, fleet.interactive_running / (targets.slots * capacity.slots));
}

}  // namespace

std::optional<std::size_t> RequiredGroupSize(const DemandSample& fleet,
                                             const GroupCapacity& capacity) {
  if (capacity.tokens_per_ms <= 0) return 0;
  const double bulk_engines = fleet.bulk_rate / TokensPerSecond(capacity);
  const double usual = EnginesFor(fleet, capacity, kUsual);
  if (usual < kMinEngines) return 0;
  if (bulk_engines < kMinEngines) return std::nullopt;
  const auto most = static_cast<double>(capacity.max_group_size());
  double size = std::min(std::ceil(usual), most);
  const double left = static_cast<double>(capacity.engines) - size;
  if (bulk_engines > kMaxBulkUtilization * left) {
    size = std::min(std::ceil(EnginesFor(fleet, capacity, kScarce)), most);
  }
  return static_cast<std::size_t>(size);
}

}  // namespace ridgehold
