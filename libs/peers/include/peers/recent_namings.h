// Announcements of model weights, as exchanged between gateways.

#pragma once

#include <vector>

#include "gateway/gateway_gossip.h"
#include "gateway/weights_history.h"

namespace ridgehold {

/// Returns the latest announcements for each model. Announcements whose time is only assumed are
/// omitted, since they would override the times known to other gateways.
std::vector<AnnouncementUpdate> RecentNamings(const WeightsHistory& named, TimePoint now);

/// Applies the announcements of another gateway.
void ApplyNamings(WeightsHistory& named, const std::vector<AnnouncementUpdate>& namings,
                  TimePoint now);

}  // namespace ridgehold
