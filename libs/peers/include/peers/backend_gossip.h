// What is to be told of backend servers' own words.

#pragma once

#include "gateway/backend_news.h"
#include "peers/gossip.h"

namespace ridgehold {

inline void AppendNews(BackendNewsList& to, const BackendNewsList& news, std::size_t most) {
  AppendItems(to.items, news.items, most);
}

using BackendGossip = Gossip<BackendNewsList>;

}  // namespace ridgehold
