#include "peers/poison_gossip.h"

namespace ridgehold {
namespace {

/// Appends suspects until `to` holds `max_items` parts, which make up most of a message.
void AppendSuspects(std::vector<CrashSuspect>& to, const std::vector<CrashSuspect>& suspects,
                    std::size_t max_items) {
  std::size_t items = 0;
  for (const CrashSuspect& suspect : to) items += suspect.parts.size() + 1;
  for (const CrashSuspect& suspect : suspects) {
    items += suspect.parts.size() + 1;
    if (items > max_items) return;
    to.push_back(suspect);
  }
}

}  // namespace

void AppendNews(PoisonUpdate& to, const PoisonUpdate& news, std::size_t max_items) {
  AppendItems(to.crashes, news.crashes, max_items);
  AppendItems(to.cleared, news.cleared, max_items);
  AppendItems(to.quarantined, news.quarantined, max_items);
  AppendItems(to.interruptions, news.interruptions, max_items);
  AppendItems(to.survivals, news.survivals, max_items);
  AppendSuspects(to.suspects, news.suspects, max_items);
}

}  // namespace ridgehold
