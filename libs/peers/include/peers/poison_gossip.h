// Gossip about requests that crash backend servers.

#pragma once

#include "gateway/poison_news.h"
#include "peers/gossip.h"

namespace ridgehold {

void AppendNews(PoisonNews& to, const PoisonNews& news, std::size_t max_items);

using PoisonGossip = Gossip<PoisonNews>;

}  // namespace ridgehold
