// Announcements of model weights, as exchanged between gateways.

#pragma once

#include <vector>

#include "gateway/gateway_gossip.h"
#include "gateway/weights_history.h"

namespace ridgehold {

/// Returns the latest announcements for each model, without those whose time is assumed: they would
/// override the times that other gateways know.
std::vector<AnnouncementUpdate> RecentNamings(const WeightsHistory& named, TimePoint now);

/// Applies the announcements of another gateway.
void ApplyNamings(WeightsHistory& named, const std::vector<AnnouncementUpdate>& namings,
                  TimePoint now);

}  // namespace ridgehold
