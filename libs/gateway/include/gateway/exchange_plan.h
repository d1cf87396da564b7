// The decisions of an exchange that need no connection: how to handle the request, which backend
// server to choose, the deadlines, and how to interpret answers.

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
#include "gateway/placement_scope.h"
#include "gateway/request_log.h"
#include "groups/request_group.h"
#include "memory/memory_fit.h"
#include "priority/urgency.h"
#include "quota/quota_client.h"

namespace ridgehold {

/// How a request is handled, under one version of the configuration.
struct ExchangePlan {
  std::shared_ptr<const RoutingSnapshot> snapshot;  ///< owns what the pointers below refer to
  const RouteRule* route = nullptr;
  const WorkspaceRule* workspace = nullptr;  ///< null on public routes
  ServiceId service;
  RequestFeatures features;
  TimePoint received{};
  TimePoint answer_by{};  ///< the earlier of the caller's and the route's time limit
  std::optional<int> priority;
  /// Identifies the requests that may share cache entries if they run on the same weights.
  std::string cache_scope;  ///< see RefreshCacheScope()
  std::optional<PromptChain> chain;
  /// Set for generation requests where GatewayState::HasStrictPauses().
  std::optional<RequestGroup> group;
  /// Set where requests are ordered by urgency, see OrderOf().
  std::optional<RequestOrder> order;
  /// Set for generation requests where GatewayState::LimitsMemory() and an engine's memory is
  /// known.
  std::optional<MemoryFit> memory;
  std::optional<QuotaDemand> quota;  ///< how much of its workspace's quota the request uses
  bool avoid_rate_limited = false;   ///< excludes backend servers with a rate limit
  /// The release that began the stream, which alone can resume it; none before the first event.
  std::optional<ReleaseId> release;
};

/// The backend server chosen for an attempt.
struct BackendChoice {
  BackendPtr backend;
  double queued_tokens = 0;           ///< tokens the engine has to prefill first
  double tokens_to_prefill = 0;       ///< prompt tokens not expected in its cache
  std::uint32_t known_tokens = 0;     ///< shared tokens expected in its cache
  std::uint32_t tokens_to_cache = 0;  ///< tokens added to its cache, read or fetched
  double expected_ms = 0;             ///< cost of the placement, see Placement
  double queue_ms = 0;                ///< of that, until queued prompts are prefilled
  double first_event_ms = 0;          ///< of that, until this prompt is prefilled
  /// Of the engine, see EnginePerformance; none if speeds are not considered.
  std::optional<double> slowness;
  std::uint64_t memory_held = 0;  ///< tokens that its running requests hold
  bool fits = true;               ///< the request fits into its memory beside them
  std::optional<WeightsNumber> weights;
  std::optional<std::string> fetch_from;  ///< address to fetch shared parts from
  BackendPtr fetch_backend;               ///< the engine at that address; null: a store
  BackendPtr home;                        ///< the prompt's home in a large fleet; else null
  Duration fetch_duration{0};             ///< how long the fetch occupies the link
  std::optional<std::string> save_to;     ///< address of the store that saves the parts
  Duration save_duration{0};              ///< how long saving occupies the link
};

/// Checks the route, the API key and the configuration's freshness. Fails with the result code to
/// send to the client.
Result<ExchangePlan> PlanExchange(const GatewayState& state, const InboundRequest& request,
                                  TimePoint now);

/// Brings the scope of the request's KV cache, and what is expected of caches, to the configuration
/// now in force; call before each attempt.
void RefreshCacheScope(const GatewayState& state, const InboundRequest& request,
                       ExchangePlan& plan);

/// Chooses a backend server, excluding those in `tried`. Returns nothing if none can take the
/// request.
std::optional<BackendChoice> ChooseFor(GatewayState& state, const ExchangePlan& plan,
                                       const InboundRequest& request,
                                       const std::set<BackendId>& tried, TimePoint now);

/// Whether a request that no backend server has got yet will be answered before a shutdown ends;
/// true while none is in progress.
bool FitsBeforeShutdown(const GatewayState& state, const ExchangePlan& plan, TimePoint now);

/// Whether a usable backend server may get the request.
bool MayGetRequest(const GatewayState& state, const ExchangePlan& plan,
                   const InboundRequest& request, const std::set<BackendId>& tried,
                   const Backend& backend, TimePoint now);

/// Whether one more crash quarantines the request or a part of its prompt, so that only one backend
/// server may get it, the same for all gateways; see TrialBackend().
bool IsOnLastTrial(const GatewayState& state, const ExchangePlan& plan, TimePoint now);

/// The backend servers that may get the request, wherever they are.
std::vector<BackendPtr> CandidatesFor(const GatewayState& state, const ExchangePlan& plan,
                                      const InboundRequest& request,
                                      const std::set<BackendId>& tried, TimePoint now);

/// Backend servers that may get a request, and the scope that they are from.
struct ScopedCandidates {
  PlacementScope scope = PlacementScope::kAll;
  std::vector<BackendPtr> backends;
};

/// The backend servers that may get the request, of the smallest scope that suffices; of all if
/// none of that scope may, or if the request is on its last trial.
ScopedCandidates NearCandidatesFor(const GatewayState& state, const ExchangePlan& plan,
                                   const InboundRequest& request, const std::set<BackendId>& tried,
                                   TimePoint now);

/// Whether a request avoids backend servers with a rate limit. A rate limit counts requests, so it
/// is best spent on the largest ones.
bool AvoidsRateLimited(const GatewayState& state, const ExchangePlan& plan, TimePoint now);

/// The earliest time, not before `now`, at which a backend server that may get the request accepts
/// requests, according to its own notices. Returns nothing if there is no such backend server.
std::optional<TimePoint> EarliestCapacity(const GatewayState& state, const ExchangePlan& plan,
                                          const InboundRequest& request,
                                          const std::set<BackendId>& tried, TimePoint now);

/// The retry delay for a refused caller when it is not known when capacity will be available.
std::chrono::milliseconds DefaultRetryAfter(const ExchangePlan& plan);

/// The retry delay for a caller when there is capacity from `capacity_at` on. Adds jitter derived
/// from the request id, so that callers refused at the same moment do not retry together.
std::chrono::milliseconds RetryAfterCapacity(const ExchangePlan& plan,
                                             const InboundRequest& request, TimePoint capacity_at,
                                             TimePoint now);

/// Whether the chosen backend server is so loaded that others should be considered.
bool IsBusy(const BackendChoice& choice, bool plain_call);

/// Like ChooseFor, among `candidates`, which must not be empty. `answers` are the reports of the
/// gateways that track them; null if they were not queried.
BackendChoice ChooseAmong(GatewayState& state, const ExchangePlan& plan,
                          const InboundRequest& request, std::span<const BackendPtr> candidates,
                          const LoadAnswer* answers, TimePoint now);

/// The store responsible for the prompt's shared parts, or null.
const KvCacheStore* KvStoreForPrompt(const GatewayState& state, const ExchangePlan& plan);

/// The input of admission control for a generation request on the chosen engine.
AdmissionQuery AdmissionQueryFor(const ExchangePlan& plan, const BackendChoice& choice,
                                 TimePoint now);

/// Whether the backend server's release is the one that began the request's stream, if any did.
bool MayResumeAt(const GatewayState& state, const ExchangePlan& plan, const Backend& backend);

/// The release of the process at the other end of the connection: that of the registration if the
/// process has told on the connection that it is the registered one, or if it tells no start and
/// nothing shows that another has taken its place.
ReleaseId ReleaseOnConnection(const GatewayState& state, const Backend& backend,
                              const OutboundConnection& connection);

/// Number of gateways for each backend server of the service, as requests of all gateways reach
/// each of them.
double GatewaysPerBackend(const GatewayState& state, const ServiceId& service);

/// Whether another usable backend server of the same service and release could resume a stream.
bool HasAnotherOfRelease(const GatewayState& state, const Backend& backend, TimePoint now);

/// Whether the attempt may still be sent: the backend server is not leaving, and the request may
/// begin on its weights and go on at its release.
bool MayStillSend(const GatewayState& state, const ExchangePlan& plan,
                  const InboundRequest& request, const BackendChoice& choice, TimePoint now);

/// The directives sent to the backend server with the attempt.
AttemptDirectives DirectivesFor(const GatewayState& state, const ExchangePlan& plan,
                                const BackendChoice& choice, TimePoint now);

/// The record to log if `weights` are not the newest at `now`; else nothing.
std::optional<OlderWeightsUse> OlderWeightsAt(const GatewayState& state,
                                              const InboundRequest& request,
                                              std::optional<WeightsNumber> weights, TimePoint now);

/// When an attempt without the head of an answer is better replaced by another one, if that may
/// start; TimePoint::max() if the request may not be executed again.
TimePoint HeadPatience(const GatewayState& state, const ExchangePlan& plan,
                       const RetryDecisionInput& facts, TimePoint now);

/// The same for an attempt whose stream has begun and is silent from now on.
TimePoint EventPatience(const RetryDecisionInput& facts, TimePoint now);

/// Whether another backend server than `current` can be reached and takes the request now.
bool HasReplacement(GatewayState& state, const ExchangePlan& plan, const InboundRequest& request,
                    std::set<BackendId> tried, const BackendId& current);

bool IsSuccess(int status);

/// Whether the head can belong to a complete answer to this request.
bool IsAcceptable(const BackendResponseHead& head);

/// Whether the head belongs to the answer to an earlier request on the connection.
bool IsStaleAnswer(const BackendResponseHead& head);

/// Updates the backend server's state from an answer's head; the request was sent at `sent`.
void ApplyAnswerHead(GatewayState& state, Backend& backend, const InboundRequest& request,
                     const BackendResponseHead& head, TimePoint sent);

/// Updates the backend server's state from an attempt's outcome.
void RecordOutcome(GatewayState& state, const InboundRequest& request, const BackendPtr& backend,
                   const RetryDecisionInput& facts, TimePoint now);

/// The result code of a request that has not run.
ResultCode NotRunCode(ResultCode last, const RetryDecisionInput& facts);

/// The result code of a request that may have run.
ResultCode MayHaveRunCode(ResultCode last);

/// The result code for a quota verdict that refuses the request; nothing if it may proceed.
std::optional<ResultCode> QuotaRefusalCode(QuotaVerdict verdict);

}  // namespace ridgehold
