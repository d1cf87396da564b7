#include "gateway/backend_prober.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <utility>

#include "log/duration_text.h"
#include "log/log.h"
#include "net/wait.h"

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
    if (IsDue(*backend, now)) StartProbe(backend);
  }
}

void BackendProber::StartProbe(const BackendPtr& backend) {
  ++running_;
  backend->probing = true;
  state_.directory().MarkActive(backend);
  net::co_spawn(state_.executor(), Probe(backend), net::detached);
}

net::awaitable<void> BackendProber::ConfirmCrash(BackendPtr backend) {
  const TimePoint start = Clock::now();
  if (!options_.enabled) co_return;
  const bool known =
      state_.poison().HasCrashed(*backend) || start - backend->probed_at < options_.pause;
  if (!known && !backend->probing && running_ < options_.max_concurrent) StartProbe(backend);
  Timer timer(state_.executor());
  while (backend->probing && Clock::now() - start < options_.confirm_timeout) {
    co_await WaitFor(timer, kConfirmPollInterval);
  }
  if (state_.poison().HasCrashed(*backend)) co_await WaitFor(timer, options_.peer_report_delay);
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

net::awaitable<void> BackendProber::Probe(BackendPtr backend) {
  const TimePoint start = Clock::now();
  backend->probed_at = start;
  const auto connection = OutboundConnection::Create(state_.executor());
  const tcp::endpoint endpoint = state_.pool().EndpointOf(backend->entry.address);
  const ExchangeFault fault = co_await connection->Connect(endpoint, start + options_.connect_limit,
                                                           options_.connect_limit);
  --running_;
  backend->probing = false;
  const bool reached = fault == ExchangeFault::kNone;
  if (connection->connection_refused() && HasNoOpenConnection(*backend)) {
    state_.poison().RecordCrash(*backend, "refused", Clock::now());
  }
  if (reached == backend->reachable && !backend->needs_probe) co_return;
  const bool changed = reached != backend->reachable;
  if (reached) {
    BackendDirectory::RecordReachable(*backend);
  } else {
    state_.pool().CloseIdle(backend->entry.address);  // idle pooled connections are broken as well
    state_.ReportUnreachable(backend);
  }
  if (!changed) co_return;
  state_.metrics().GetCounter("ridgehold_backend_reachability_changes").Add();
  Log(LogLevel::kInfo, reached ? "backend reached again" : "backend unreachable",
      {{"backend", backend->entry.id.value()},
       {"address", backend->entry.address},
       {"zone", backend->entry.zone.value()},
       {"refused", connection->connection_refused() ? "yes" : "no"},
       {"probe_ms", MillisecondsText(Clock::now() - start)}});
}

}  // namespace ridgehold
