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
  if (broken_.Note(hash, request, now)) NoteEnd({hash, request}, now);
}

void PoisonGuard::RecordCrash(const Backend& backend, const char* evidence, TimePoint now) {
  const BackendHash hash = HashOf(backend);
  if (broken_.HasCrashed(hash)) return;
  const std::vector<RequestFingerprint> present = broken_.End(hash, now);
  if (present.empty()) return;
  metrics_.GetCounter("ridgehold_backend_ends_under_requests").Add();
  Log(LogLevel::kWarn, "backend ended under requests",
      {{"backend", backend.entry.id.value()},
       {"address", backend.entry.address},
       {"evidence", evidence},
       {"requests", std::to_string(present.size())},
       {"fingerprints", ListOf(present)}});
  for (const RequestFingerprint request : present) NoteEnd({hash, request}, now);
}

void PoisonGuard::NoteEnd(const CrashReport& end, TimePoint now) {
  news_.ends.push_back(end);
  const bool quarantines = detector_.TakeEnd(end.request, end.backend, now);
  if (!Forgive(end.request, now) && quarantines) {
    decided_here_.insert(end.request);
    news_.quarantined.push_back(end.request);
    OnQuarantined(end.request, "own");
  }
  Tell();
}

/// Clears a request at its last trial or in quarantine if a server has recently completed it, and
/// reports this to peers, which might decide otherwise. Returns whether it was cleared.
bool PoisonGuard::Forgive(RequestFingerprint request, TimePoint now) {
  const Suspicion suspicion = detector_.SuspicionOf(request, now);
  if (suspicion < Suspicion::kLastTrial || !survivors_.Contains(request, now)) return false;
  Lift(request, now);
  news_.survived.push_back(request);
  Tell();
  return true;
}

/// Clears the crashes counted against the request; returns whether there were any. A quarantine
/// that this gateway wrote to the store or read from it is queued for deletion, as gateways that
/// start later would apply it.
bool PoisonGuard::Lift(RequestFingerprint request, TimePoint now) {
  const bool quarantined = detector_.SuspicionOf(request, now) == Suspicion::kQuarantined;
  const bool is_stored = decided_here_.contains(request) || from_store_.contains(request);
  if (quarantined && is_stored) NoteReleased(request);
  Forget(request);
  return detector_.ClearSuspicion(request, now);
}

void PoisonGuard::RecordCompletion(RequestFingerprint request, TimePoint now) {
  survivors_.Add(request, now);
  if (detector_.suspects() == 0) return;
  const bool quarantined = detector_.SuspicionOf(request, now) == Suspicion::kQuarantined;
  if (!Lift(request, now)) return;
  if (quarantined) {
    Log(LogLevel::kInfo, "quarantine ended: a backend server completed the request",
        {{"fingerprint", ToText(request)}});
    NoteReleased(request);
  }
  news_.survived.push_back(request);
  Tell();
}

bool PoisonGuard::Release(RequestFingerprint request, TimePoint now) {
  const bool quarantined = detector_.SuspicionOf(request, now) == Suspicion::kQuarantined;
  Lift(request, now);
  Log(LogLevel::kInfo, "quarantine released by operator",
      {{"fingerprint", ToText(request)}, {"quarantined", quarantined ? "yes" : "no"}});
  NoteReleased(request);
  news_.survived.push_back(request);
  Tell();
  return quarantined;
}

void PoisonGuard::NoteReleased(RequestFingerprint request) {
  if (std::ranges::find(released_, request) == released_.end()) released_.push_back(request);
}

void PoisonGuard::Take(const PoisonUpdate& news, TimePoint now) {
  for (const CrashReport& end : news.ends) {
    TellQuarantined(end.request, now);
    const bool quarantines = detector_.TakeEnd(end.request, end.backend, now);
    if (!Forgive(end.request, now) && quarantines) OnQuarantined(end.request, "peers");
  }
  for (const RequestFingerprint request : news.quarantined) {
    const bool taken = detector_.TakeQuarantine(request, Duration::max(), now);
    if (!Forgive(request, now) && taken) OnQuarantined(request, "peer");
  }
  for (const RequestFingerprint request : news.survived) {
    Lift(request, now);
  }
}

/// Resends a quarantine decided here. A peer that reports a crash for the quarantined request has
/// missed the quarantine: it has just started while the store was unavailable.
void PoisonGuard::TellQuarantined(RequestFingerprint request, TimePoint now) {
  const bool quarantined = detector_.SuspicionOf(request, now) == Suspicion::kQuarantined;
  if (!quarantined || !DecidedLocally(request)) return;
  if (std::ranges::find(news_.quarantined, request) != news_.quarantined.end()) return;
  news_.quarantined.push_back(request);
  Tell();
}

void PoisonGuard::TakeStored(RequestFingerprint request, Duration left, TimePoint now) {
  if (left <= Duration::zero() || !detector_.TakeQuarantine(request, left, now)) return;
  from_store_.insert(request);
  if (!Forgive(request, now)) OnQuarantined(request, "store");
}

std::vector<PoisonDetector::Quarantine> PoisonGuard::Decided(TimePoint now) {
  const auto is_not_quarantined = [&](RequestFingerprint request) {
    return detector_.SuspicionOf(request, now) != Suspicion::kQuarantined;
  };
  std::erase_if(decided_here_, is_not_quarantined);
  std::erase_if(from_store_, is_not_quarantined);
  std::vector<PoisonDetector::Quarantine> decided = detector_.Quarantined(now);
  std::erase_if(decided, [&](const auto& entry) { return from_store_.contains(entry.request); });
  return decided;
}

std::vector<RequestFingerprint> PoisonGuard::TakeReleased() { return std::exchange(released_, {}); }

PoisonUpdate PoisonGuard::TakeNews() { return std::exchange(news_, {}); }

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

void PoisonGuard::Forget(RequestFingerprint request) {
  decided_here_.erase(request);
  from_store_.erase(request);
}

void PoisonGuard::Tell() {
  if (on_news_) on_news_();
}

BackendPtr TrialBackend(RequestFingerprint request, std::span<const BackendPtr> candidates) {
  return *std::ranges::max_element(candidates, {}, [&](const BackendPtr& backend) {
    return std::pair(backend->reachable, RankOf(request, *backend));
  });
}

}  // namespace ridgehold
