// Announcements of model weights, as exchanged between gateways.

#pragma once

#include <vector>

#include "gateway/gateway_gossip.h"
#include "gateway/weights_history.h"

namespace ridgehold {

/// Returns the latest announcements for each model, also those whose time is only assumed: the
/// store may not hold their numbers any more.
std::vector<AnnouncementUpdate> RecentNamings(const WeightsHistory& named, TimePoint now);

/// Applies the announcements of another gateway. A time that it assumes counts only for a number
/// that is not known here.
void ApplyNamings(WeightsHistory& named, const std::vector<AnnouncementUpdate>& namings,
                  TimePoint now);

}  // namespace ridgehold
