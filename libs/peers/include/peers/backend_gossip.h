// Gossip of the notices that backend servers give about themselves.

#pragma once

#include "gateway/backend_news.h"
#include "peers/gossip.h"

namespace ridgehold {

inline void AppendNews(BackendNewsList& to, const BackendNewsList& news, std::size_t max_items) {
  AppendItems(to.items, news.items, max_items);
}

using BackendGossip = Gossip<BackendNewsList>;

}  // namespace ridgehold
