// What gateways tell each other of a backend server's own words.

#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

#include "gateway/gateway_gossip.h"
#include "quota/request_rate.h"

namespace ridgehold {

/// One backend server's last words to all gateways. Whoever hears something new gives it
/// the number after the one known, so that the latest is told from late news.
struct BackendNews {
  BackendHash backend = 0;
  std::uint64_t number = 0;
  std::optional<RequestRate> limit;  ///< none: it names none any more
  bool leaving = false;
  /// Of the rest that it has asked the teller for; none: it has asked for none.
  std::optional<std::chrono::milliseconds> rest_left{};

  bool operator==(const BackendNews&) const = default;
};

/// Words of several backend servers.
struct BackendNewsList {
  std::vector<BackendNews> items;

  bool empty() const { return items.empty(); }
};

}  // namespace ridgehold
