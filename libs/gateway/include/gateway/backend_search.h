// Finds a backend server that takes a request now, or waits for one.

#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>

#include "gateway/deferred_requests.h"
#include "gateway/exchange_plan.h"
#include "net/beast.h"

namespace ridgehold {

/// One request's search, for each of its attempts. All that it refers to outlives it.
class BackendSearch {
 public:
  struct Request {
    ExchangePlan& plan;
    const InboundRequest& inbound;
    const std::set<BackendId>& tried;
    RequestRecord& record;
    /// Whether nobody waits for the request any more.
    std::function<bool()> abandoned;
    /// Until when an attempt may begin.
    std::function<TimePoint()> wait_limit;
  };

  BackendSearch(GatewayState& state, Request request) : state_(state), request_(request) {}

  /// Chooses a backend server and waits, if need be, until it has room. A stream that has
  /// begun goes on at once, since its caller is reading. Nothing: none takes the request.
  net::awaitable<std::optional<BackendChoice>> Find(bool stream_begun);

  /// When the first of those that were not tried takes a request, by its own word; nothing
  /// if there is none.
  std::optional<TimePoint> NextCapacity() const;

  /// When a caller that is refused should come back.
  std::chrono::milliseconds RetryAfter() const;

 private:
  /// How a look for a backend server has ended.
  enum class Outcome : std::uint8_t {
    kFound,
    kWait,  ///< for room that there will be
    kNone,
  };

  /// In one look. Each costs a round trip to whoever counts.
  static constexpr int kMaxPermitRefusals = 4;

  /// Chooses one that takes the request now, and gets the permit that it may need.
  net::awaitable<Outcome> TryOnce(std::optional<BackendChoice>& choice);
  net::awaitable<Outcome> WaitForCapacity(std::optional<BackendChoice>& choice);
  net::awaitable<std::optional<BackendChoice>> ChooseAvoidingRateLimited();
  net::awaitable<std::optional<BackendChoice>> Choose();
  bool MayRetry(DeferredRequests::Ticket& ticket, const std::optional<BackendChoice>& choice) const;
  bool MaySend(const BackendChoice& choice) const;
  bool HasCapacitySoon() const;
  Admission AdmissionRule() const { return Admission{state_.limits().admission}; }

  GatewayState& state_;
  Request request_;
  bool stream_begun_ = false;
};

}  // namespace ridgehold
