#include "gateway/backend_prober.h"

#include <algorithm>
#include <utility>

#include "log/duration_text.h"
#include "log/log.h"
#include "net/wait.h"
#include "task/spawn.h"

namespace ridgehold {
namespace {

// Polling interval for the end of a probe, which takes 1 to 6 ms.
constexpr std::chrono::milliseconds kConfirmPollInterval{2};

}  // namespace

net::awaitable<void> BackendProber::Run() {
  while (options_.enabled) {
    StartProbes(Clock::now());
    co_await WaitFor(timer_, options_.look);
  }
}

void BackendProber::StartProbes(TimePoint now) {
  for (const BackendPtr& backend : state_.directory().Active()) {
    if (running_ >= options_.max_concurrent) return;
    if (IsDue(*backend, now)) StartProbe(backend, Purpose::kReachability);
  }
}

void BackendProber::StartProbe(const BackendPtr& backend, Purpose purpose) {
  ++running_;
  backend->probing = true;
  state_.directory().MarkActive(backend);
  Spawn(state_.executor(), "backend probe", Probe(backend, purpose), [this, backend] {
    --running_;
    backend->probing = false;
  });
}

net::awaitable<void> BackendProber::ConfirmCrash(BackendPtr backend) {
  const TimePoint start = Clock::now();
  if (!options_.enabled) co_return;
  const bool known =
      state_.poison().HasCrashed(*backend) || start - backend->probed_at < options_.pause;
  if (!known && !backend->probing && running_ < options_.max_concurrent) {
    StartProbe(backend, Purpose::kCrash);
  }
  Timer timer(state_.executor());
  while (backend->probing && Clock::now() - start < options_.confirm_timeout) {
    co_await WaitFor(timer, kConfirmPollInterval);
  }
  if (state_.poison().HasCrashed(*backend)) co_await WaitFor(timer, options_.peer_report_delay);
}

net::awaitable<void> BackendProber::AwaitCrashProof(const RequestFeatures& request,
                                                    TimePoint limit) {
  if (!options_.enabled) co_return;
  // Copies of the request may be interrupted meanwhile; they do not prolong the wait.
  const TimePoint end = std::min<TimePoint>(limit, Clock::now() + UnprovenCrashes::kProofTime);
  Timer timer(state_.executor());
  for (TimePoint now = Clock::now(); now < end && state_.poison().AwaitsProof(request, now);
       now = Clock::now()) {
    for (const BackendHash suspect : state_.poison().SuspectsOf(request, now)) {
      const BackendPtr backend = state_.directory().FindByHash(suspect);
      const bool due = backend && !backend->probing &&
                       now - backend->probed_at >= options_.proof_pause &&
                       running_ < options_.max_concurrent;
      if (due) StartProbe(backend, Purpose::kCrash);
    }
    co_await WaitFor(timer, kConfirmPollInterval);
  }
}

bool BackendProber::HasNoOpenConnection(const Backend& backend) {
  return backend.in_flight == 0 && !state_.pool().HasOpenConnection(backend.entry.address);
}

bool BackendProber::IsDue(const Backend& backend, TimePoint now) const {
  if (backend.superseded || backend.probing) return false;
  if (now - backend.probed_at < options_.pause) return false;
  return backend.needs_probe || IsSuspicious(backend, now);
}

bool BackendProber::IsSuspicious(const Backend& backend, TimePoint now) const {
  if (backend.waiting_since.empty() || !state_.snapshot()) return false;
  const Duration objective = state_.snapshot()->ShortestObjective(backend.entry.service);
  if (objective <= Duration::zero()) return false;
  return now - *backend.waiting_since.begin() >= options_.suspect_after_objectives * objective;
}

net::awaitable<void> BackendProber::Probe(BackendPtr backend, Purpose purpose) {
  const bool direct = purpose == Purpose::kReachability || backend->reachable;
  if (direct) co_await ProbeDirectly(backend);
  if (!direct || NeedsPeerPath(*backend, Clock::now())) co_await ProbeThroughPeer(backend);
  --running_;
  backend->probing = false;
}

void BackendProber::VerifyContact(TimePoint now) {
  constexpr std::size_t kSampleSize = 3;
  if (!state_.ShouldVerifyContact(now)) return;
  samples_ += kSampleSize;
  for (const BackendPtr& backend : state_.directory().Sample(kSampleSize, samples_)) {
    const bool recent = now - backend->probed_at < options_.pause;
    if (backend->probing || recent || running_ >= options_.max_concurrent) continue;
    StartProbe(backend, Purpose::kReachability);
  }
}

bool BackendProber::NeedsPeerPath(const Backend& backend, TimePoint now) const {
  if (!state_.has_peer_paths() || backend.reachable || backend.has_peer_path) return false;
  return now - backend.peer_path_checked_at >= options_.peer_path_pause;
}

net::awaitable<void> BackendProber::ProbeThroughPeer(BackendPtr backend) {
  const PeerPath path =
      co_await state_.OpenPeerPath(backend, Clock::now() + options_.peer_path_limit);
  if (path.connection) path.connection->Close();
  RecordCrashIfRefused(backend, path.result == TunnelResult::kRefused);
}

bool BackendProber::MayBePartitioned(const Backend& backend) const {
  return state_.has_peer_paths() && (state_.IsIsolated(Clock::now()) || !backend.reachable);
}

void BackendProber::RecordCrashIfRefused(const BackendPtr& backend, bool refused) {
  if (!refused || !HasNoOpenConnection(*backend)) return;
  state_.poison().RecordCrash(*backend, "refused", Clock::now());
}

net::awaitable<void> BackendProber::ProbeDirectly(BackendPtr backend) {
  const TimePoint start = Clock::now();
  backend->probed_at = start;
  const auto connection = OutboundConnection::Create(state_.executor());
  const tcp::endpoint endpoint = state_.pool().EndpointOf(backend->entry.address);
  const ExchangeFault fault = co_await connection->Connect(endpoint, start + options_.connect_limit,
                                                           options_.connect_limit);
  const bool reached = fault == ExchangeFault::kNone;
  const bool refused = connection->connection_refused();
  if (reached) {
    state_.RecordContact();
    backend->continuity.RecordContact(connection->opened_at());
  } else {
    state_.RecordLoss(backend);
    VerifyContact(Clock::now());
  }
  if (!MayBePartitioned(*backend)) RecordCrashIfRefused(backend, refused);
  if (refused) state_.RecordRefusal(backend);
  if (reached == backend->reachable && !backend->needs_probe) co_return;
  const bool changed = reached != backend->reachable;
  if (reached) {
    BackendDirectory::RecordReachable(*backend);
  } else {
    // Idle connections are broken as well, unless only new ones are refused.
    if (!refused) state_.pool().CloseIdle(backend->entry.address);
    state_.ReportUnreachable(backend, !refused);
  }
  if (!changed) co_return;
  state_.metrics().GetCounter("ridgehold_backend_reachability_changes").Add();
  Log(LogLevel::kInfo, reached ? "backend reached again" : "backend unreachable",
      {{"backend", backend->entry.id.value()},
       {"address", backend->entry.address},
       {"zone", backend->entry.zone.value()},
       {"refused", refused ? "yes" : "no"},
       {"probe_ms", MillisecondsText(Clock::now() - start)}});
}

}  // namespace ridgehold
