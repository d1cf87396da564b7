#include "gateway/poison_guard.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "log/log.h"

namespace ridgehold {
namespace {

// Maximum number of fingerprints in a log line; an engine runs up to a few hundred requests.
constexpr std::size_t kMaxLogged = 16;

std::string ListOf(std::span<const RequestFingerprint> requests) {
  std::string list;
  for (const RequestFingerprint request : requests.first(std::min(requests.size(), kMaxLogged))) {
    if (!list.empty()) list += ",";
    list += ToText(request);
  }
  return list;
}

std::uint64_t RankOf(RequestFingerprint request, const Backend& backend) {
  const BackendHash hash = HashOf(backend);
  return XXH3_64bits_withSeed(&hash, sizeof hash, request.value());
}

}  // namespace

void PoisonGuard::RecordInterruption(const Backend& backend, RequestFingerprint request,
                                     TimePoint now) {
  const BackendHash hash = HashOf(backend);
  if (interrupted_.Record(hash, request, now)) ReportCrash({hash, request}, now);
}

void PoisonGuard::RecordPossibleCrash(const Backend& backend, RequestFingerprint request,
                                      std::uint32_t gateways, TimePoint now) {
  RecordInterruption(backend, request, now);
  if (HasCrashed(backend) || successes_.Contains(request, now)) return;
  const BackendHash hash = HashOf(backend);
  if (!unproven_.Add(hash, request, now) || !notices_.TryTake(gateways, now)) return;
  pending_.interruptions.push_back({hash, request});
  NotifyUpdate();
}

bool PoisonGuard::AwaitsProof(RequestFingerprint request, TimePoint now) const {
  if (successes_.Contains(request, now)) return false;
  const std::uint32_t crashes_left = detector_.CrashesLeft(request, now);
  return crashes_left > 0 && unproven_.AwaitsProof(request, crashes_left, now);
}

void PoisonGuard::RecordCrash(const Backend& backend, const char* evidence, TimePoint now) {
  const BackendHash hash = HashOf(backend);
  if (interrupted_.HasCrashed(hash)) return;
  const std::vector<RequestFingerprint> running = interrupted_.RecordCrash(hash, now);
  // The gateway that saw the interruption may have ended before the crash was proved.
  for (const RequestFingerprint request : interrupted_elsewhere_.RecordCrash(hash, now)) {
    CountCrash({hash, request}, now);
  }
  if (running.empty()) return;
  metrics_.GetCounter("ridgehold_backend_ends_under_requests").Add();
  Log(LogLevel::kWarn, "backend ended under requests",
      {{"backend", backend.entry.id.value()},
       {"address", backend.entry.address},
       {"evidence", evidence},
       {"requests", std::to_string(running.size())},
       {"fingerprints", ListOf(running)}});
  for (const RequestFingerprint request : running) ReportCrash({hash, request}, now);
}

/// Counts a crash of which the other gateways know.
void PoisonGuard::CountCrash(const CrashReport& crash, TimePoint now) {
  unproven_.MarkProved(crash.backend, crash.request, now);
  const bool quarantines = detector_.RecordCrash(crash.request, crash.backend, now);
  if (!ClearIfRecentlySucceeded(crash.request, now) && quarantines)
    OnQuarantined(crash.request, "peers");
}

void PoisonGuard::ReportCrash(const CrashReport& crash, TimePoint now) {
  unproven_.MarkProved(crash.backend, crash.request, now);
  pending_.crashes.push_back(crash);
  const bool quarantines = detector_.RecordCrash(crash.request, crash.backend, now);
  if (!ClearIfRecentlySucceeded(crash.request, now) && quarantines) {
    decided_locally_.insert(crash.request);
    pending_.quarantined.push_back(crash.request);
    OnQuarantined(crash.request, "own");
  }
  NotifyUpdate();
}

/// Clears a request at its last trial or in quarantine if a server has recently completed it, and
/// reports this to peers, which might decide otherwise. Returns whether it was cleared.
bool PoisonGuard::ClearIfRecentlySucceeded(RequestFingerprint request, TimePoint now) {
  const Suspicion suspicion = detector_.SuspicionOf(request, now);
  if (suspicion < Suspicion::kLastTrial || !successes_.Contains(request, now)) return false;
  ClearRequest(request, now);
  pending_.cleared.push_back(request);
  NotifyUpdate();
  return true;
}

/// Clears the crashes counted against the request; returns whether there were any. A quarantine
/// that this gateway wrote to the store or read from it is queued for deletion, as gateways that
/// start later would apply it.
bool PoisonGuard::ClearRequest(RequestFingerprint request, TimePoint now) {
  const bool quarantined = detector_.SuspicionOf(request, now) == Suspicion::kQuarantined;
  const bool is_stored = decided_locally_.contains(request) || from_store_.contains(request);
  if (quarantined && is_stored) QueueRelease(request);
  ForgetOrigin(request);
  return detector_.ClearSuspicion(request, now);
}

void PoisonGuard::RecordCompletion(RequestFingerprint request, TimePoint now) {
  successes_.Add(request, now);
  if (detector_.suspects() == 0) return;
  const bool quarantined = detector_.SuspicionOf(request, now) == Suspicion::kQuarantined;
  if (!ClearRequest(request, now)) return;
  if (quarantined) {
    Log(LogLevel::kInfo, "quarantine ended: a backend server completed the request",
        {{"fingerprint", ToText(request)}});
    QueueRelease(request);
  }
  pending_.cleared.push_back(request);
  NotifyUpdate();
}

bool PoisonGuard::Release(RequestFingerprint request, TimePoint now) {
  const bool quarantined = detector_.SuspicionOf(request, now) == Suspicion::kQuarantined;
  ClearRequest(request, now);
  Log(LogLevel::kInfo, "quarantine released by operator",
      {{"fingerprint", ToText(request)}, {"quarantined", quarantined ? "yes" : "no"}});
  QueueRelease(request);
  pending_.cleared.push_back(request);
  NotifyUpdate();
  return quarantined;
}

void PoisonGuard::QueueRelease(RequestFingerprint request) {
  if (std::ranges::find(released_, request) == released_.end()) released_.push_back(request);
}

void PoisonGuard::ApplyUpdate(const PoisonUpdate& update, TimePoint now) {
  for (const CrashReport& crash : update.crashes) {
    ResendQuarantine(crash.request, now);
    CountCrash(crash, now);
  }
  for (const InterruptionReport& interruption : update.interruptions) {
    ApplyInterruption(interruption, now);
  }
  for (const RequestFingerprint request : update.quarantined) {
    const bool is_new = detector_.ApplyQuarantine(request, Duration::max(), now);
    if (!ClearIfRecentlySucceeded(request, now) && is_new) OnQuarantined(request, "peer");
  }
  for (const RequestFingerprint request : update.cleared) {
    ClearRequest(request, now);
  }
}

void PoisonGuard::ApplyInterruption(const InterruptionReport& interruption, TimePoint now) {
  const auto& [backend, request] = interruption;
  if (interrupted_.HasCrashed(backend)) return CountCrash(interruption, now);
  if (!unproven_.Add(backend, request, now)) return;
  interrupted_elsewhere_.Record(backend, request, now);
}

/// Resends a quarantine decided here. A peer that reports a crash for the quarantined request has
/// missed the quarantine: it has just started while the store was unavailable.
void PoisonGuard::ResendQuarantine(RequestFingerprint request, TimePoint now) {
  const bool quarantined = detector_.SuspicionOf(request, now) == Suspicion::kQuarantined;
  if (!quarantined || !DecidedLocally(request)) return;
  if (std::ranges::find(pending_.quarantined, request) != pending_.quarantined.end()) return;
  pending_.quarantined.push_back(request);
  NotifyUpdate();
}

void PoisonGuard::ApplyStored(RequestFingerprint request, Duration left, TimePoint now) {
  if (left <= Duration::zero() || !detector_.ApplyQuarantine(request, left, now)) return;
  from_store_.insert(request);
  if (!ClearIfRecentlySucceeded(request, now)) OnQuarantined(request, "store");
}

std::vector<PoisonDetector::Quarantine> PoisonGuard::UnstoredQuarantines(TimePoint now) {
  const auto is_not_quarantined = [&](RequestFingerprint request) {
    return detector_.SuspicionOf(request, now) != Suspicion::kQuarantined;
  };
  std::erase_if(decided_locally_, is_not_quarantined);
  std::erase_if(from_store_, is_not_quarantined);
  std::vector<PoisonDetector::Quarantine> unstored = detector_.Quarantines(now);
  std::erase_if(unstored, [&](const auto& entry) { return from_store_.contains(entry.request); });
  return unstored;
}

std::vector<RequestFingerprint> PoisonGuard::TakeReleased() { return std::exchange(released_, {}); }

PoisonUpdate PoisonGuard::TakeUpdate() { return std::exchange(pending_, {}); }

void PoisonGuard::OnQuarantined(RequestFingerprint request, const char* source) {
  metrics_.GetCounter("ridgehold_requests_quarantined", "source=\"" + std::string(source) + "\"")
      .Add();
  Log(LogLevel::kWarn, "request quarantined",
      {{"fingerprint", ToText(request)},
       {"ends", std::to_string(detector_.CrashesOf(request))},
       {"source", source}});
  // Copies queued at engines would crash these when started.
  running_.CancelIf([&](RequestFingerprint running) { return running == request; });
}

void PoisonGuard::ForgetOrigin(RequestFingerprint request) {
  decided_locally_.erase(request);
  from_store_.erase(request);
}

void PoisonGuard::NotifyUpdate() {
  if (on_update_) on_update_();
}

BackendPtr TrialBackend(RequestFingerprint request, std::span<const BackendPtr> candidates) {
  return *std::ranges::max_element(candidates, {}, [&](const BackendPtr& backend) {
    return std::pair(HasPath(*backend), RankOf(request, *backend));
  });
}

}  // namespace ridgehold
