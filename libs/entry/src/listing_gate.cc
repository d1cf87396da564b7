#include "entry/listing_gate.h"

#include <algorithm>

namespace ridgehold {
namespace {

// Instances at this depth follow the first of all instances, or the first of their zone.
constexpr std::size_t kNextToStore = 1;

}  // namespace

bool ListingGate::MayList(const ListingDemand& demand, TimePoint now) {
  if (!demand.has_relay) return true;
  const auto levels = static_cast<int>(demand.depth);
  const auto wait = options_.copy_wait + levels * options_.copy_wait_per_level;
  if (demand.waited < wait) return false;
  return demand.depth <= kNextToStore || Draw(demand, now);
}

bool ListingGate::Draw(const ListingDemand& demand, TimePoint now) {
  if (now < next_draw_) return false;
  next_draw_ = now + options_.draw_interval;
  const auto members = static_cast<double>(std::max<std::size_t>(demand.zone_members, 1));
  return std::bernoulli_distribution(std::min(1.0, options_.readers_per_zone / members))(random_);
}

}  // namespace ridgehold
