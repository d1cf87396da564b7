// What is to be told of poison requests.

#pragma once

#include "gateway/poison_news.h"
#include "peers/gossip.h"

namespace ridgehold {

void AppendNews(PoisonNews& to, const PoisonNews& news, std::size_t most);

using PoisonGossip = Gossip<PoisonNews>;

}  // namespace ridgehold
