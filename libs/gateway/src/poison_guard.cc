#include "gateway/poison_guard.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "gateway/request_fingerprint.h"
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

CrashSuspect SuspectOf(BackendHash backend, const RequestFeatures& request) {
  CrashSuspect suspect{backend, request.content, request.workspace, {}, false};
  for (const PartFeature& part : request.parts) suspect.parts.push_back(part.anywhere);
  return suspect;
}

std::uint64_t RankOf(RequestFingerprint request, const Backend& backend) {
  const BackendHash hash = HashOf(backend);
  return XXH3_64bits_withSeed(&hash, sizeof hash, request.value());
}

}  // namespace

PoisonGuard::PoisonGuard(Metrics& metrics, PoisonOptions options, AttributionOptions attribution)
    : metrics_(metrics), detector_(options), parts_(attribution) {
  if (options.max_crashes > 0) return;
  attribution.min_crashes = 0;
  parts_ = PartAttribution(attribution);
}

Suspicion PoisonGuard::SuspicionOf(const RequestFeatures& request, TimePoint now) const {
  if (QuarantineOf(request, now)) return Suspicion::kQuarantined;
  if (LastTrialOf(request, now)) return Suspicion::kLastTrial;
  return SuspicionOf(request.content, now);
}

std::optional<RequestFingerprint> PoisonGuard::QuarantineOf(const RequestFeatures& request,
                                                            TimePoint now) const {
  if (detector_.suspects() == 0) return std::nullopt;
  if (detector_.SuspicionOf(request.content, now) == Suspicion::kQuarantined) {
    return request.content;
  }
  for (const PartFeature& part : request.parts) {
    for (const RequestFingerprint fingerprint : {part.anywhere, part.in_workspace}) {
      // After its quarantine, a part may be sent only under a trial that the store has granted.
      if (detector_.SuspicionOf(fingerprint, now) >= Suspicion::kLastTrial) return fingerprint;
    }
  }
  return std::nullopt;
}

std::optional<RequestFingerprint> PoisonGuard::LastTrialOf(const RequestFeatures& request,
                                                           TimePoint now) const {
  if (detector_.SuspicionOf(request.content, now) == Suspicion::kLastTrial) return request.content;
  const auto found = std::ranges::find_if(request.parts, [&](const PartFeature& part) {
    return parts_.CrashesLeft(part.anywhere, 0, now) <= 1;
  });
  return found == request.parts.end() ? std::nullopt : std::optional(found->anywhere);
}

bool PoisonGuard::TakeTrial(const RequestFeatures& request, TimePoint now) {
  if (detector_.suspects() == 0) return false;
  bool granted = false;
  for (const PartFeature& part : request.parts) {
    for (const RequestFingerprint fingerprint : {part.anywhere, part.in_workspace}) {
      switch (detector_.SuspicionOf(fingerprint, now)) {
        case Suspicion::kLastTrial:
          trials_wanted_.insert(fingerprint);
          return false;
        case Suspicion::kQuarantined:
          if (trials_granted_.erase(fingerprint) == 0) return false;
          granted = true;
          break;
        default:
          break;
      }
    }
  }
  return granted;
}

std::vector<RequestFingerprint> PoisonGuard::TakeTrialsWanted() {
  const std::set<RequestFingerprint> wanted = std::exchange(trials_wanted_, {});
  return {wanted.begin(), wanted.end()};
}

void PoisonGuard::GrantTrial(RequestFingerprint part, TimePoint now) {
  detector_.ApplyQuarantine(part, Duration::max(), now);
  decided_locally_.insert(part);
  trials_granted_.insert(part);
  Log(LogLevel::kInfo, "quarantined prompt part gets a trial", {{"fingerprint", ToText(part)}});
}

void PoisonGuard::RecordInterruption(const Backend& backend, RequestFingerprint request,
                                     TimePoint now) {
  const BackendHash hash = HashOf(backend);
  if (interrupted_.Record(hash, request, now)) ReportCrash({hash, request}, now);
}

void PoisonGuard::RecordInterruption(const Backend& backend, const RequestFeatures& request,
                                     bool survived, TimePoint now) {
  RecordInterruption(backend, request.content, now);
  if (survived || request.parts.empty()) return;
  const BackendHash hash = HashOf(backend);
  CrashSuspect suspect = SuspectOf(hash, request);
  if (suspects_.Record(hash, suspect, now)) ReportSuspect(std::move(suspect), now);
}

void PoisonGuard::RecordPossibleCrash(const Backend& backend, const RequestFeatures& request,
                                      std::uint32_t gateways, TimePoint now) {
  RecordInterruption(backend, request, false, now);
  if (HasCrashed(backend) || successes_.Contains(request.content, now)) return;
  const BackendHash hash = HashOf(backend);
  for (const PartFeature& part : request.parts) unproven_.Add(hash, part.anywhere, now);
  const bool is_new = unproven_.Add(hash, request.content, now);
  if (!is_new || !notices_.TryTake(gateways, now)) return;
  pending_.interruptions.push_back({hash, request.content});
  if (!request.parts.empty()) pending_.suspects.push_back(SuspectOf(hash, request));
  NotifyUpdate();
}

bool PoisonGuard::AwaitsProof(RequestFingerprint request, TimePoint now) const {
  if (successes_.Contains(request, now)) return false;
  const std::uint32_t crashes_left = detector_.CrashesLeft(request, now);
  return crashes_left > 0 && unproven_.AwaitsProof(request, crashes_left, now);
}

bool PoisonGuard::AwaitsProof(const RequestFeatures& request, TimePoint now) const {
  return AwaitsProof(request.content, now) ||
         std::ranges::any_of(request.parts, [&](const PartFeature& part) {
           return IsPartAwaitingProof(part.anywhere, now);
         });
}

/// The unproved crashes may be so many that, together with those that are proved, one more is
/// decisive.
bool PoisonGuard::IsPartAwaitingProof(RequestFingerprint part, TimePoint now) const {
  const std::size_t suspects = unproven_.SuspectsOf(part, now).size();
  return suspects > 0 && parts_.CrashesLeft(part, suspects, now) <= 1;
}

std::vector<BackendHash> PoisonGuard::SuspectsOf(const RequestFeatures& request,
                                                 TimePoint now) const {
  std::vector<BackendHash> suspects = unproven_.SuspectsOf(request.content, now);
  for (const PartFeature& part : request.parts) {
    for (const BackendHash backend : unproven_.SuspectsOf(part.anywhere, now)) {
      if (std::ranges::find(suspects, backend) == suspects.end()) suspects.push_back(backend);
    }
  }
  return suspects;
}

void PoisonGuard::RecordCrash(const Backend& backend, const char* evidence, TimePoint now) {
  const BackendHash hash = HashOf(backend);
  if (interrupted_.HasCrashed(hash)) return;
  const std::vector<RequestFingerprint> running = interrupted_.RecordCrash(hash, now);
  // The gateway that saw the interruption may have ended before the crash was proved.
  for (const RequestFingerprint request : interrupted_elsewhere_.RecordCrash(hash, now)) {
    CountCrash({hash, request}, now);
  }
  for (CrashSuspect& suspect : suspects_.RecordCrash(hash, now)) {
    ReportSuspect(std::move(suspect), now);
  }
  for (const CrashSuspect& suspect : suspects_elsewhere_.RecordCrash(hash, now)) {
    CountSuspect(suspect, now);
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
  if (!ClearIfExonerated(crash.request, now) && quarantines) OnQuarantined(crash.request, "peers");
}

void PoisonGuard::ReportCrash(const CrashReport& crash, TimePoint now) {
  unproven_.MarkProved(crash.backend, crash.request, now);
  pending_.crashes.push_back(crash);
  const bool quarantines = detector_.RecordCrash(crash.request, crash.backend, now);
  if (!ClearIfExonerated(crash.request, now) && quarantines) {
    decided_locally_.insert(crash.request);
    pending_.quarantined.push_back(crash.request);
    OnQuarantined(crash.request, "own");
  }
  NotifyUpdate();
}

void PoisonGuard::ReportSuspect(CrashSuspect suspect, TimePoint now) {
  suspect.proved = true;
  pending_.suspects.push_back(suspect);
  CountSuspect(suspect, now);
  NotifyUpdate();
}

void PoisonGuard::CountSuspect(const CrashSuspect& suspect, TimePoint now) {
  for (const RequestFingerprint part : suspect.parts) {
    unproven_.MarkProved(suspect.backend, part, now);
  }
  if (!parts_.RecordCrash(suspect, now)) return;
  for (const RequestFingerprint part : suspect.parts) {
    ReportSurvival(part, now);
  }
  const auto verdict = parts_.Judge(suspect, now, [&](RequestFingerprint fingerprint) {
    return detector_.SuspicionOf(fingerprint, now) >= Suspicion::kLastTrial;
  });
  if (verdict) QuarantinePart(*verdict, suspect, now);
}

/// In a large fleet many gateways have seen requests with a popular part, so some of them suffice;
/// a rare part is vindicated by those that have, see ClearIfExonerated().
void PoisonGuard::ReportSurvival(RequestFingerprint part, TimePoint now) {
  constexpr double kMaxReporters = 10;
  const auto begun = parts_.SurvivalToReport(part, now);
  if (!begun) return;
  const std::uint64_t draw = XXH3_64bits_withSeed(&++survival_draws_, sizeof survival_draws_,
                                                  gateway_hash_ ^ part.value());
  const double fraction = static_cast<double>(draw) / static_cast<double>(UINT64_MAX);
  if (fraction * gateways_ >= kMaxReporters) return;
  pending_.survivals.push_back(
      {part, std::chrono::duration_cast<std::chrono::milliseconds>(now - *begun)});
  NotifyUpdate();
}

void PoisonGuard::QuarantinePart(const PartVerdict& verdict, const CrashSuspect& suspect,
                                 TimePoint now) {
  if (!detector_.ApplyQuarantine(verdict.fingerprint, Duration::max(), now)) return;
  decided_locally_.insert(verdict.fingerprint);
  pending_.quarantined.push_back(verdict.fingerprint);
  NotifyUpdate();
  const bool everywhere = verdict.fingerprint == verdict.part;
  Log(LogLevel::kWarn, "prompt part crashes backends",
      {{"fingerprint", ToText(verdict.fingerprint)},
       {"workspaces", everywhere ? "all" : "one"},
       {"part", ToText(verdict.part)},
       {"crashes", std::to_string(verdict.evidence.crashes)},
       {"all_crashes", std::to_string(verdict.evidence.all_crashes)},
       {"presence", fmt::format("{:.4f}", verdict.evidence.presence)},
       {"evidence", fmt::format("{:.1f}", verdict.evidence.evidence)},
       {"trusted", verdict.evidence.trusted ? "yes" : "no"},
       {"suspects", ListOf(suspect.parts)}});
  OnQuarantined(verdict.fingerprint, "own");
}

bool PoisonGuard::IsExonerated(RequestFingerprint fingerprint, TimePoint now) const {
  return successes_.Contains(fingerprint, now) || parts_.Contradicts(fingerprint, now);
}

/// Clears a request or prompt part at its last trial or in quarantine if it is exonerated, and
/// reports this to peers, which might decide otherwise. Returns whether it was cleared.
bool PoisonGuard::ClearIfExonerated(RequestFingerprint request, TimePoint now) {
  const Suspicion suspicion = detector_.SuspicionOf(request, now);
  if (suspicion < Suspicion::kLastTrial || !IsExonerated(request, now)) return false;
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
  parts_.SetQuarantined(request, false);
  return detector_.ClearSuspicion(request, now);
}

void PoisonGuard::RecordSurvival(const RequestFeatures& request, TimePoint begun, TimePoint now) {
  parts_.RecordSurvival(request.parts, begun, now);
  if (detector_.suspects() == 0) return;
  for (const PartFeature& part : request.parts) {
    for (const RequestFingerprint fingerprint : {part.anywhere, part.in_workspace}) {
      const auto quarantined_at = detector_.QuarantinedAt(fingerprint, now);
      const bool proved_wrong = quarantined_at && begun >= *quarantined_at;
      if (proved_wrong || (quarantined_at && parts_.Contradicts(fingerprint, now))) {
        EndQuarantine(fingerprint, now);
      }
    }
  }
}

void PoisonGuard::EndQuarantine(RequestFingerprint part, TimePoint now) {
  Log(LogLevel::kInfo, "quarantine ended: a backend server survived the prompt part",
      {{"fingerprint", ToText(part)}});
  ClearRequest(part, now);
  QueueRelease(part);
  pending_.cleared.push_back(part);
  NotifyUpdate();
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
  parts_.ApplySurvival(request, now);
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
  for (const CrashSuspect& suspect : update.suspects) ApplySuspect(suspect, now);
  for (const SurvivalReport& survival : update.survivals) {
    parts_.ApplySurvival(survival.part, now - survival.age);
  }
  for (const RequestFingerprint request : update.quarantined) {
    const bool is_new = detector_.ApplyQuarantine(request, Duration::max(), now);
    if (!ClearIfExonerated(request, now) && is_new) OnQuarantined(request, "peer");
  }
  for (const RequestFingerprint request : update.cleared) {
    ClearRequest(request, now);
    parts_.ApplySurvival(request, now);
  }
}

void PoisonGuard::ApplySuspect(const CrashSuspect& suspect, TimePoint now) {
  const bool proved = suspect.proved || suspects_.HasCrashed(suspect.backend);
  if (proved) {
    for (const RequestFingerprint part : suspect.parts) {
      const PartFeature feature = FeatureOf(part, suspect.workspace);
      ResendQuarantine(feature.anywhere, now);
      ResendQuarantine(feature.in_workspace, now);
    }
    return CountSuspect(suspect, now);
  }
  bool is_new = false;
  for (const RequestFingerprint part : suspect.parts) {
    is_new = unproven_.Add(suspect.backend, part, now) || is_new;
  }
  if (is_new) suspects_elsewhere_.Record(suspect.backend, suspect, now);
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
  if (!ClearIfExonerated(request, now)) OnQuarantined(request, "store");
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
  parts_.SetQuarantined(request, true);
  // Copies queued at engines would crash these when started.
  running_.CancelIf([&](const RequestFeatures& running) { return running.Has(request); });
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
