#include "peers/poison_gossip.h"

namespace ridgehold {

void AppendNews(PoisonUpdate& to, const PoisonUpdate& news, std::size_t max_items) {
  AppendItems(to.ends, news.ends, max_items);
  AppendItems(to.survived, news.survived, max_items);
  AppendItems(to.quarantined, news.quarantined, max_items);
}

}  // namespace ridgehold
