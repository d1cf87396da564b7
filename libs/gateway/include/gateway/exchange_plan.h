// The decisions of an exchange that need no connection: plan, choice, limits, what is learned.

#pragma once

#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "base/result.h"
#include "gateway/attempt_messages.h"
#include "gateway/attempt_policy.h"
#include "gateway/gateway_state.h"
#include "gateway/inbound_request.h"
#include "gateway/placement.h"
#include "gateway/request_log.h"
#include "quota/quota_client.h"

namespace ridgehold {

/// How a request will be handled, under one version of the configuration.
struct ExchangePlan {
  std::shared_ptr<const RoutingSnapshot> snapshot;  ///< keeps what follows alive
  const RouteRule* route = nullptr;
  const WorkspaceRule* workspace = nullptr;  ///< null on public routes
  ServiceId service;
  RequestFingerprint fingerprint;
  TimePoint received{};
  TimePoint answer_by{};  ///< the caller's limit or the route's, whichever is first
  std::optional<int> priority;
  std::string cache_scope;  ///< who may share cache entries, without the weights
  std::optional<PromptChain> chain;
  std::optional<QuotaDemand> quota;  ///< what it takes of its workspace's quota
  bool avoid_rate_limited = false;   ///< goes to no backend server with a limit for now
};

/// The backend server an attempt goes to.
struct BackendChoice {
  BackendPtr backend;
  double queued_tokens = 0;           ///< that the engine has to read before
  double tokens_to_read = 0;          ///< prompt tokens expected not to be cached there
  std::uint32_t known_tokens = 0;     ///< shared tokens taken to be in its cache
  std::uint32_t tokens_to_store = 0;  ///< those, and what is fetched: what its cache takes in
  double expected_ms = 0;             ///< cost that decided, see Placement
  double queue_ms = 0;                ///< of that, until what is before it has been read
  double first_event_ms = 0;          ///< of that, until the prompt is read
  std::optional<WeightsNumber> weights;
  std::optional<std::string> fetch_from;  ///< address that has shared parts
  BackendPtr fetch_backend;               ///< the engine there; null: a store
  BackendPtr home;                        ///< of the prompt, in a large fleet; else null
  Duration fetch_duration{0};             ///< that the link to it is busy
  std::optional<std::string> save_to;     ///< address of a store that is to keep them
  Duration save_duration{0};              ///< that its link is busy
};

/// Checks route, key and freshness. Fails with the code to answer.
Result<ExchangePlan> PlanExchange(const GatewayState& state, const InboundRequest& request,
                                  TimePoint now);

/// Chooses a backend server; those in `tried` only when nothing else is left
/// and none of them may have run the request. Nothing: none can take it.
std::optional<BackendChoice> ChooseFor(GatewayState& state, const ExchangePlan& plan,
                                       const InboundRequest& request,
                                       const std::set<BackendId>& tried, TimePoint now);

/// Those that may be given the request at all.
std::vector<BackendPtr> CandidatesFor(const GatewayState& state, const ExchangePlan& plan,
                                      const InboundRequest& request,
                                      const std::set<BackendId>& tried, TimePoint now);

/// Whether a request leaves backend servers with a limit to others, and rather waits for
/// one without: a limit counts requests, so it is best used up by the largest.
bool AvoidsRateLimited(const GatewayState& state, const ExchangePlan& plan, TimePoint now);

/// When the first of those that may be given the request takes one, by its own word; now
/// or later, nothing if there is none.
std::optional<TimePoint> EarliestCapacity(const GatewayState& state, const ExchangePlan& plan,
                                          const InboundRequest& request,
                                          const std::set<BackendId>& tried, TimePoint now);

/// When a refused caller should come back that nothing is known for.
std::chrono::milliseconds DefaultRetryAfter(const ExchangePlan& plan);

/// When a caller should come back for which there is room from `room` on. Callers that are
/// refused at one moment come back at different ones.
std::chrono::milliseconds RetryAfterCapacity(const ExchangePlan& plan,
                                             const InboundRequest& request, TimePoint room,
                                             TimePoint now);

/// The same among `candidates`, which are never none; `answers` is what the
/// gateways say that track them, null where everything is known here.
BackendChoice ChooseAmong(GatewayState& state, const ExchangePlan& plan,
                          const InboundRequest& request, std::span<const BackendPtr> candidates,
                          const LoadAnswer* answers, TimePoint now);

/// The store that would keep the prompt's shared parts, or null.
const KvCacheStore* KvStoreForPrompt(const ExchangePlan& plan);

/// What decides whether a request for text is sent to the chosen engine now.
AdmissionQuery AdmissionQueryFor(const ExchangePlan& plan, const BackendChoice& choice,
                                 TimePoint now);

/// Whether the attempt may still be sent there: the backend server is not
/// leaving, and has weights on which the request may begin.
bool MayStillSend(const GatewayState& state, const InboundRequest& request,
                  const BackendChoice& choice, TimePoint now);

/// What the attempt tells the backend server.
AttemptDirectives DirectivesFor(const GatewayState& state, const ExchangePlan& plan,
                                const BackendChoice& choice, TimePoint now);

/// What is to be noted if `weights` are not the newest at `now`.
std::optional<OlderWeightsUse> OlderWeightsAt(const GatewayState& state,
                                              const InboundRequest& request,
                                              std::optional<WeightsNumber> weights, TimePoint now);

/// Until when to wait for an answer's head.
TimePoint HeadDeadline(const GatewayState& state, const ExchangePlan& plan,
                       const AttemptFacts& facts, TimePoint now);

/// Until when to wait for the next bytes of a stream.
TimePoint EventDeadline(const ExchangePlan& plan, const AttemptFacts& facts, bool passed_any,
                        TimePoint now);

bool IsSuccess(int status);

/// Whether the head can be of this request's true answer.
bool IsAcceptable(const AnswerHead& head);

/// Whether the head is of an answer to an earlier request on the connection.
bool IsStaleAnswer(const AnswerHead& head);

/// Takes what an answer's head tells of the backend server; the request was sent at `sent`.
void ApplyAnswerHead(GatewayState& state, Backend& backend, const InboundRequest& request,
                     const AnswerHead& head, TimePoint sent);

/// Takes what an attempt's outcome tells of the backend server.
void RecordOutcome(const GatewayState& state, const InboundRequest& request, Backend& backend,
                   const AttemptFacts& facts, TimePoint now);

/// The code of a request that has not run.
ResultCode NotRunCode(ResultCode last, const AttemptFacts& facts);

/// The code of a request that may have run.
ResultCode FailedCode(ResultCode last);

/// Why a request may not go on that has asked for its part of a quota; nothing if it may.
std::optional<ResultCode> QuotaRefusalCode(QuotaVerdict verdict);

}  // namespace ridgehold
