#include "peers/poison_gossip.h"

namespace ridgehold {

void AppendNews(PoisonUpdate& to, const PoisonUpdate& news, std::size_t max_items) {
  AppendItems(to.crashes, news.crashes, max_items);
  AppendItems(to.cleared, news.cleared, max_items);
  AppendItems(to.quarantined, news.quarantined, max_items);
  AppendItems(to.interruptions, news.interruptions, max_items);
}

}  // namespace ridgehold
