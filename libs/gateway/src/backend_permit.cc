#include "gateway/backend_permit.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <utility>

#include "gateway/fallback_slots.h"
#include "gateway/gateway_state.h"

namespace ridgehold {
namespace {

// Requests are sent without a permit for this long after a limit is first seen. A quota share
// without a holder is taken over within about 300 ms; if all backend servers set limits at once, no
// request would be served until then.
constexpr std::chrono::milliseconds kHolderTakeoverTime{1'000};
// Retry interval while there is no quota holder; it may be back by then.
constexpr std::chrono::milliseconds kHolderRetryInterval{250};
// Minimum block time; a response from another zone takes as long.
constexpr std::chrono::milliseconds kMinBlockTime{5};

/// Whether a request may be sent while no quota holder has answered.
bool MayUseFallback(Backend& backend, bool asked, const PermitRequester& requester, TimePoint now) {
  PushbackState& state = backend.notice_state;
  if (!asked && now - state.limited_since() < kHolderTakeoverTime) return true;
  if (state.TryUseFallbackSlot(HashOf(backend), requester.gateway, requester.gateways, now))
    return true;
  state.BlockUntilPermit(
      std::min<TimePoint>(FallbackSlots::NextSlot(now), now + kHolderRetryInterval));
  return false;
}

}  // namespace

PermitVerdict ResolvePermit(Backend& backend, const QuotaOutcome& outcome,
                            const PermitRequester& requester, TimePoint now) {
  switch (outcome.verdict) {
    case QuotaVerdict::kGranted:
      return PermitVerdict::kGranted;
    case QuotaVerdict::kOverQuota:
    case QuotaVerdict::kTooLarge:
      backend.notice_state.BlockUntilPermit(now +
                                            std::max<Duration>(outcome.retry_after, kMinBlockTime));
      return PermitVerdict::kRefused;
    case QuotaVerdict::kNotHolder:
      break;
  }
  const bool may_send = MayUseFallback(backend, outcome.messages_sent > 0, requester, now);
  return may_send ? PermitVerdict::kFallback : PermitVerdict::kNoHolder;
}

net::awaitable<Permit> AcquirePermit(GatewayState& state, BackendPtr backend) {
  Permit permit;
  if (!backend->notice_state.limit()) co_return permit;
  const TimePoint start = Clock::now();
  QuotaDemand demand;
  demand.subject = state.pushback().SubjectFor(*backend);
  demand.tokens = kQuotaTokensPerRequest;
  demand.limits = state.pushback().TermsFor(*backend);
  const QuotaOutcome outcome = co_await state.AcquireQuota(std::move(demand));
  const TimePoint now = Clock::now();
  permit.took = std::chrono::duration_cast<Duration>(now - start);
  const PermitRequester requester{state.gateway_hash(), state.gateways()};
  permit.verdict = ResolvePermit(*backend, outcome, requester, now);
  if (permit.verdict == PermitVerdict::kGranted) permit.ticket = outcome.ticket;
  state.metrics()
      .GetCounter("ridgehold_permits", "verdict=\"" + std::string(NameOf(permit.verdict)) + "\"")
      .Add();
  state.metrics()
      .GetSummary("ridgehold_permit_seconds")
      .Observe(std::chrono::duration<double>(permit.took).count());
  co_return permit;
}

std::string_view NameOf(PermitVerdict verdict) {
  constexpr std::array<std::string_view, 5> kNames = {"not_needed", "granted", "uncounted",
                                                      "refused", "nobody_counts"};
  return kNames.at(static_cast<std::size_t>(verdict));
}

}  // namespace ridgehold
