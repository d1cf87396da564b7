// Gossip about requests that crash backend servers.

#pragma once

#include "gateway/poison_update.h"
#include "peers/gossip.h"

namespace ridgehold {

void AppendNews(PoisonUpdate& to, const PoisonUpdate& news, std::size_t max_items);

using PoisonGossip = Gossip<PoisonUpdate>;

}  // namespace ridgehold
