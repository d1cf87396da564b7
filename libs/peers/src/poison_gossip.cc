#include "peers/poison_gossip.h"

namespace ridgehold {

void AppendNews(PoisonNews& to, const PoisonNews& news, std::size_t most) {
  AppendItems(to.ends, news.ends, most);
  AppendItems(to.survived, news.survived, most);
  AppendItems(to.quarantined, news.quarantined, most);
}

}  // namespace ridgehold
