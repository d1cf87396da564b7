// An engine's cache events: numbered, published late, some never.

#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <vector>

#include "base/ids.h"
#include "cache/block_chain.h"

namespace ridgehold::standin {

/// Writes block hashes as the backend protocol does.
nlohmann::json HexList(const std::vector<BlockHash>& blocks);

class EventLog {
 public:
  /// `loss` is the share of events that get a number and are never shown.
  EventLog(std::chrono::milliseconds delay, double loss) : delay_(delay), loss_(loss) {}

  void Publish(const std::string& kind, std::vector<BlockHash> blocks);

  /// The visible events with numbers above `sequence`, as JSON.
  nlohmann::json After(std::uint64_t sequence) const;

  void Clear();
  std::uint64_t last_sequence() const { return last_sequence_; }

 private:
  static constexpr std::size_t kKeptEvents = 20'000;

  struct Event {
    std::uint64_t sequence;
    TimePoint visible;
    std::string kind;
    std::vector<BlockHash> blocks;
  };

  std::chrono::milliseconds delay_;
  double loss_;
  std::deque<Event> events_;
  std::uint64_t last_sequence_ = 0;
  std::mt19937 random_{1};
};

}  // namespace ridgehold::standin
