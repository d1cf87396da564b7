// When weights were named, as gateways tell each other.

#pragma once

#include <vector>

#include "gateway/gateway_gossip.h"
#include "gateway/weights_history.h"

namespace ridgehold {

/// The last namings of each model, without those whose moment is a guess: it
/// would take the place of what others know.
std::vector<AnnouncementUpdate> RecentNamings(const WeightsHistory& named, TimePoint now);

/// Takes what another gateway tells.
void TakeNamings(WeightsHistory& named, const std::vector<AnnouncementUpdate>& namings,
                 TimePoint now);

}  // namespace ridgehold
