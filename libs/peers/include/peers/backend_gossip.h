// Gossip of the notices that backend servers give about themselves.

#pragma once

#include "gateway/pushback_update.h"
#include "peers/gossip.h"

namespace ridgehold {

inline void AppendNews(PushbackUpdateList& to, const PushbackUpdateList& news,
                       std::size_t max_items) {
  AppendItems(to.items, news.items, max_items);
}

using BackendGossip = Gossip<PushbackUpdateList>;

}  // namespace ridgehold
