#include "daemon/claimed_calls.h"

#include <asio.hpp>
#include <utility>

#include "base/random_id.h"
#include "dispatch/claim_store.h"
#include "dispatch/dispatcher.h"
#include "dispatch/service_session.h"
#include "kv/etcd_gateway.h"

namespace ridgehold {
namespace {

constexpr std::size_t kThreads = 8;

std::string Fingerprint(const ServiceCall& call) {
  return Sha256Hex(call.method + "\n" + call.target + "\n" + call.body);
}

std::optional<Failure> FailureOfVerdict(ClaimVerdict verdict) {
  switch (verdict) {
    case ClaimVerdict::kInProgress:
      return Failure{ResultCode::kIdempotencyInProgress, ""};
    case ClaimVerdict::kUnknown:
      return Failure{ResultCode::kOutcomeUnknown, ""};
    case ClaimVerdict::kMismatch:
      return Failure{ResultCode::kIdempotencyMismatch, ""};
    case ClaimVerdict::kMine:
    case ClaimVerdict::kAnswered:
      break;
  }
  return std::nullopt;
}

ServiceAnswer Refused(Failure failure) {
  const Execution execution = Describe(failure.code).execution;
  const SessionReport report{failure.code, 0, {}};
  return {std::move(failure), execution, 0, {}, "", report};
}

ServiceAnswer Replayed(const IdempotencyClaim& stored) {
  const Headers headers = {{"Content-Type", stored.content_type}, {"X-Ridgehold-Replayed", "1"}};
  return {std::nullopt, Execution::kRan, stored.status, headers, stored.body, {}};
}

}  // namespace

struct ClaimedCalls::Impl {
  Impl(EtcdGateway& store, Dispatcher& calls_dispatcher, std::chrono::milliseconds longest_call)
      : dispatcher(calls_dispatcher), claims(store, {.longest_call = longest_call}) {}

  Dispatcher& dispatcher;
  ClaimStore<EtcdGateway> claims;
  asio::thread_pool pool{kThreads};
};

ClaimedCalls::ClaimedCalls(EtcdGateway& store, Dispatcher& dispatcher,
                           std::chrono::milliseconds longest_call)
    : impl_(std::make_unique<Impl>(store, dispatcher, longest_call)) {}

ClaimedCalls::~ClaimedCalls() { Stop(); }

void ClaimedCalls::Run(ClaimedCall claimed) {
  asio::post(impl_->pool,
             [this, claimed = std::move(claimed)]() mutable { RunNow(std::move(claimed)); });
}

void ClaimedCalls::Stop() { impl_->pool.join(); }

void ClaimedCalls::RunNow(ClaimedCall claimed) {
  const ServiceCall& call = claimed.call;
  std::optional<Failure> failure;
  ClaimOutcome outcome;
  ValueOr(
      [&]() -> Result<void> {
        BOOST_LEAF_ASSIGN(
            outcome, impl_->claims.Claim(call.workspace, claimed.key, call.id, Fingerprint(call)));
        return {};
      },
      [&](const Failure& fault) { failure = fault; });
  if (!failure) failure = FailureOfVerdict(outcome.verdict);
  if (failure) return claimed.on_answer(Refused(std::move(*failure)));
  if (outcome.verdict == ClaimVerdict::kAnswered) {
    return claimed.on_answer(Replayed(outcome.stored));
  }
  Send(std::move(claimed), std::move(outcome.stored));
}

void ClaimedCalls::Send(ClaimedCall claimed, IdempotencyClaim claim) {
  ServiceCall call = std::move(claimed.call);
  const WorkspaceId workspace = call.workspace;
  auto on_answer = [this, workspace, claim = std::move(claim), key = claimed.key,
                    answered = std::move(claimed.on_answer)](ServiceAnswer answer) {
    // The store is told on the pool: this is the HTTP client's thread.
    asio::post(impl_->pool, [this, workspace, claim, key, answered, answer] {
      if (answer.execution == Execution::kRan) {
        impl_->claims.Complete(workspace, key, claim, answer.status,
                               answer.headers.Get("Content-Type"), answer.body);
      } else if (answer.execution == Execution::kNotRun) {
        impl_->claims.Release(workspace, key, claim);
      }
      answered(answer);
    });
  };
  ServiceSession::Start(impl_->dispatcher, std::move(call), std::move(on_answer));
}

}  // namespace ridgehold
