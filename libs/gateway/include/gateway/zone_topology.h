// How far availability zones are from each other.

#pragma once

#include <cstdint>
#include <map>
#include <utility>

#include "base/ids.h"

namespace ridgehold {

enum class ZoneDistance : std::uint8_t {
  kSameZone,
  kSameRegion,   ///< about a millisecond
  kOtherRegion,  ///< tens of milliseconds, over a link that all traffic between the regions shares
};

/// The regions of the availability zones. A zone whose region is not known counts as near.
class ZoneTopology {
 public:
  void SetRegion(ZoneId zone, RegionId region) { regions_[std::move(zone)] = std::move(region); }

  /// The region of a zone; empty if not known.
  RegionId RegionOf(const ZoneId& zone) const {
    const auto region = regions_.find(zone);
    return region == regions_.end() ? RegionId() : region->second;
  }

  ZoneDistance Between(const ZoneId& a, const ZoneId& b) const {
    if (a == b) return ZoneDistance::kSameZone;
    const auto region_a = regions_.find(a);
    const auto region_b = regions_.find(b);
    if (region_a == regions_.end() || region_b == regions_.end()) return ZoneDistance::kSameRegion;
    return region_a->second == region_b->second ? ZoneDistance::kSameRegion
                                                : ZoneDistance::kOtherRegion;
  }

 private:
  std::map<ZoneId, RegionId> regions_;
};

}  // namespace ridgehold
