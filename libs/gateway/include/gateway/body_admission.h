// Decides from its head whether a request's large body is read.

#pragma once

#include <chrono>
#include <optional>

#include "buffering/body_gate.h"
#include "gateway/body_verdict.h"
#include "gateway/exchange_plan.h"
#include "gateway/gateway_state.h"
#include "gateway/wire_format.h"

namespace ridgehold {

/// A body that has no room stays in the kernel's buffers at both ends.
template <WireFormat Wire>
class BodyAdmission {
 public:
  /// How long a body waits for room. Callers are told soon enough to try another instance.
  static constexpr std::chrono::milliseconds kMaxWait{500};

  explicit BodyAdmission(GatewayState& state) : state_(state) {}

  /// Waits for room for `bytes`. A request that cannot be served is refused at once.
  net::awaitable<BodyVerdict> operator()(const RequestHead& head, std::size_t bytes) const {
    const TimePoint now = Clock::now();
    BodyVerdict verdict;
    verdict.refusal = RefusalOf(head, now, verdict.request);
    if (verdict.refusal) co_return std::move(verdict);
    auto room = co_await state_.body_gate()->Acquire(bytes, now + kMaxWait);
    if (room) {
      verdict.room = std::move(*room);
    } else {
      verdict.refusal = Failure{ResultCode::kOverloaded, "no room for the body"};
    }
    co_return std::move(verdict);
  }

 private:
  std::optional<Failure> RefusalOf(const RequestHead& head, TimePoint now,
                                   RequestId& request) const {
    return FailureOf([&]() -> Result<void> {
      BOOST_LEAF_AUTO(inbound, Wire::ReadRequest(head, now));
      request = inbound.id;
      BOOST_LEAF_AUTO(plan, PlanExchange(state_, inbound, now));
      const bool served = !state_.directory().OfService(plan.service).empty();
      if (!served) return Fail(ResultCode::kNoBackend, "");
      return {};
    });
  }

  GatewayState& state_;
};

}  // namespace ridgehold
