// Finds a backend server that has capacity for a request, or waits for one.

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

/// The search for a backend server for each attempt of one request. Everything it refers to must
/// outlive it.
class BackendSearch {
 public:
  struct Request {
    ExchangePlan& plan;
    const InboundRequest& inbound;
    const std::set<BackendId>& tried;
    RequestRecord& record;
    /// Whether the caller no longer waits for the request.
    std::function<bool()> abandoned;
    /// Latest time at which an attempt may begin.
    std::function<TimePoint()> wait_limit;
  };

  BackendSearch(GatewayState& state, Request request) : state_(state), request_(request) {}

  /// Chooses a backend server and, if necessary, waits until it has capacity. Does not wait for a
  /// stream that has begun, because its caller is already reading. Returns nothing if no backend
  /// server takes the request.
  net::awaitable<std::optional<BackendChoice>> Find(bool stream_begun);

  /// The earliest time at which one of the untried backend servers accepts a request, by its own
  /// notices; nothing if there is none.
  std::optional<TimePoint> NextCapacity() const;

  /// The delay after which a refused caller should retry.
  std::chrono::milliseconds RetryAfter() const;

 private:
  /// The result of one search.
  enum class Outcome : std::uint8_t {
    kFound,
    kWait,  ///< until a backend server has capacity
    kNone,
  };

  /// Permit refusals per search. Each costs a round trip to the instance that keeps count.
  static constexpr int kMaxPermitRefusals = 4;

  /// Chooses a backend server that takes the request now, and acquires a permit if it needs one.
  net::awaitable<Outcome> TryOnce(std::optional<BackendChoice>& choice);
  net::awaitable<Outcome> WaitForCapacity(std::optional<BackendChoice>& choice);
  net::awaitable<std::optional<BackendChoice>> ChooseAvoidingRateLimited();
  net::awaitable<std::optional<BackendChoice>> Choose();
  bool MayRetry(DeferredRequests::Ticket& ticket, const std::optional<BackendChoice>& choice) const;
  bool MaySend(const BackendChoice& choice) const;
  bool HasCapacitySoon() const;

  GatewayState& state_;
  Request request_;
  bool stream_begun_ = false;
};

}  // namespace ridgehold
