#include "event_log.h"

#include <array>
#include <cstdio>
#include <utility>

namespace ridgehold::standin {

using nlohmann::json;

json HexList(const std::vector<BlockHash>& blocks) {
  json list = json::array();
  for (const BlockHash block : blocks) {
    std::array<char, 17> text{};
    std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(block));
    list.push_back(text.data());
  }
  return list;
}

void EventLog::Publish(const std::string& kind, std::vector<BlockHash> blocks) {
  if (blocks.empty()) return;
  ++last_sequence_;
  const bool lost = std::uniform_real_distribution<>(0, 1)(random_) < loss_;
  if (lost) return;  // the sequence number tells the reader of the gap
  events_.push_back({last_sequence_, Clock::now() + delay_, kind, std::move(blocks)});
  if (events_.size() > kKeptEvents) events_.pop_front();
}

json EventLog::After(std::uint64_t sequence) const {
  json list = json::array();
  const TimePoint now = Clock::now();
  for (const Event& event : events_) {
    if (event.sequence <= sequence || event.visible > now) continue;
    list.push_back(
        {{"seq", event.sequence}, {"kind", event.kind}, {"blocks", HexList(event.blocks)}});
  }
  return list;
}

void EventLog::Clear() {
  events_.clear();
  last_sequence_ = 0;
}

}  // namespace ridgehold::standin
