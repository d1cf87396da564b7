// Quarantines requests and prompt parts that crash backend servers, at this gateway and its peers.

#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <span>
#include <utility>
#include <vector>

#include "crash/crash_suspect.h"
#include "crash/interrupted_attempts.h"
#include "crash/notice_limiter.h"
#include "crash/part_attribution.h"
#include "crash/request_features.h"
#include "crash/unproven_crashes.h"
#include "gateway/backend_directory.h"
#include "gateway/cancellable_attempts.h"
#include "gateway/poison_detector.h"
#include "gateway/poison_update.h"
#include "gateway/recent_successes.h"
#include "metrics/metrics.h"

namespace ridgehold {

/// Without it, a request that crashed every one of nine engines caused 39 crashes in 40 s, since
/// each gateway retried each copy of it; with it the third crash is the last one, except for copies
/// that ran concurrently. Runs on one executor; must outlive its tickets.
class PoisonGuard {
 public:
  using Attempts = CancellableAttempts<RequestFeatures>;
  using Ticket = Attempts::Ticket;

  /// An answer counts as survived once the backend server has lived on for this long after its
  /// first event, or has completed it. Engines crash as they begin to answer.
  static constexpr std::chrono::milliseconds kSurvivalTime{250};

  PoisonGuard(Metrics& metrics, PoisonOptions options, AttributionOptions attribution = {});

  /// Of the request by itself, whatever the parts of its prompt.
  Suspicion SuspicionOf(RequestFingerprint request, TimePoint now) const {
    return detector_.SuspicionOf(request, now);
  }
  /// The highest of the request by itself and the parts of its prompt.
  Suspicion SuspicionOf(const RequestFeatures& request, TimePoint now) const;
  /// The fingerprint because of which the request is quarantined, if it is.
  std::optional<RequestFingerprint> QuarantineOf(const RequestFeatures& request,
                                                 TimePoint now) const;
  /// The fingerprint because of which only one backend server may get the request, if there is one;
  /// see TrialBackend().
  std::optional<RequestFingerprint> LastTrialOf(const RequestFeatures& request,
                                                TimePoint now) const;

  /// Whether the request is the one that may be sent although a part of its prompt was quarantined,
  /// as the quarantine has ended. If not, requests permission for a later one, see TrialsWanted().
  bool TakeTrial(const RequestFeatures& request, TimePoint now);
  /// Removes and returns the fingerprints of prompt parts whose quarantine has ended and of which
  /// requests have come since. One gateway at a time may grant itself a trial.
  std::vector<RequestFingerprint> TakeTrialsWanted();
  /// Permits one request with the prompt part, and quarantines the part again until a backend
  /// server survives that request.
  void GrantTrial(RequestFingerprint part, TimePoint now);

  /// Sets the number of gateways including this one, whose hash is unique.
  void SetGateways(std::uint64_t gateway_hash, std::uint32_t gateways) {
    gateway_hash_ = gateway_hash;
    gateways_ = gateways;
  }

  /// Registers an attempt, which is cancelled if its request is quarantined, and sets `ticket`.
  void Watch(std::optional<Ticket>& ticket, RequestFeatures request,
             Attempts::CancelCallback cancel) {
    running_.Add(ticket, std::move(request), std::move(cancel));
  }
  void Watch(std::optional<Ticket>& ticket, RequestFingerprint request,
             Attempts::CancelCallback cancel) {
    Watch(ticket, RequestFeatures{request, {}, {}}, std::move(cancel));
  }

  /// Records that an attempt waited so long until its answer began or it ended. `share` is the
  /// number of gateways for each backend server.
  void RecordWait(const RequestFeatures& request, Duration wait, double share, TimePoint now) {
    parts_.traffic().RecordWait(request.parts, wait, share, now);
  }
  /// Records that a backend server survived an answer that began at `begun`, see kSurvivalTime.
  void RecordSurvival(const RequestFeatures& request, TimePoint begun, TimePoint now);

  /// Records an attempt that was interrupted or got no response. `survived`: the backend server had
  /// survived the beginning of its answer, so that no part of the prompt is the cause.
  void RecordInterruption(const Backend& backend, const RequestFeatures& request, bool survived,
                          TimePoint now);
  /// The same for a request of which only the content is known.
  void RecordInterruption(const Backend& backend, RequestFingerprint request, TimePoint now);
  /// Records an attempt that was interrupted before its first event, and tells the other gateways,
  /// of which there are `gateways` with this one: until it is known whether the backend server has
  /// crashed, further attempts may have to wait.
  void RecordPossibleCrash(const Backend& backend, const RequestFeatures& request,
                           std::uint32_t gateways, TimePoint now);
  void RecordPossibleCrash(const Backend& backend, RequestFingerprint request,
                           std::uint32_t gateways, TimePoint now) {
    RecordPossibleCrash(backend, RequestFeatures{request, {}, {}}, gateways, now);
  }
  /// Whether the request must not be sent until it is known which of SuspectsOf() have crashed.
  bool AwaitsProof(RequestFingerprint request, TimePoint now) const;
  bool AwaitsProof(const RequestFeatures& request, TimePoint now) const;
  std::vector<BackendHash> SuspectsOf(const RequestFeatures& request, TimePoint now) const;
  /// Records that the backend server has terminated; `evidence` is logged.
  void RecordCrash(const Backend& backend, const char* evidence, TimePoint now);
  bool HasCrashed(const Backend& backend) const { return interrupted_.HasCrashed(HashOf(backend)); }
  /// Records that a backend server has completed the request.
  void RecordCompletion(RequestFingerprint request, TimePoint now);

  /// Applies an update from another gateway.
  void ApplyUpdate(const PoisonUpdate& update, TimePoint now);
  /// Removes and returns the updates pending for the other gateways.
  PoisonUpdate TakeUpdate();
  /// `listener` is called when updates are pending.
  void SetUpdateListener(std::function<void()> listener) { on_update_ = std::move(listener); }

  /// Applies a quarantine read from the platform's store that lasts for `left`.
  void ApplyStored(RequestFingerprint request, Duration left, TimePoint now);
  /// Quarantines decided by this gateway or its peers, without those read from the store.
  std::vector<PoisonDetector::Quarantine> UnstoredQuarantines(TimePoint now);
  /// Whether this gateway decided the quarantine, and so writes it to the store without delay.
  bool DecidedLocally(RequestFingerprint request) const {
    return decided_locally_.contains(request);
  }
  /// Removes and returns quarantines that ended early and must be deleted from the store.
  std::vector<RequestFingerprint> TakeReleased();

  /// Releases a request or prompt part on an operator's command, at all gateways. Returns whether
  /// it was quarantined here.
  bool Release(RequestFingerprint request, TimePoint now);

  std::vector<PoisonDetector::Quarantine> Quarantines(TimePoint now) const {
    return detector_.Quarantines(now);
  }
  std::size_t suspects() const { return detector_.suspects(); }
  std::size_t suspected_parts() const { return parts_.suspected_parts(); }

 private:
  void ReportCrash(const CrashReport& crash, TimePoint now);
  void CountCrash(const CrashReport& crash, TimePoint now);
  /// Counts a suspect of a crash, of which the other gateways know or will be told.
  void CountSuspect(const CrashSuspect& suspect, TimePoint now);
  void ReportSuspect(CrashSuspect suspect, TimePoint now);
  void ApplySuspect(const CrashSuspect& suspect, TimePoint now);
  void QuarantinePart(const PartVerdict& verdict, const CrashSuspect& suspect, TimePoint now);
  bool IsPartAwaitingProof(RequestFingerprint part, TimePoint now) const;
  void ReportSurvival(RequestFingerprint part, TimePoint now);
  void EndQuarantine(RequestFingerprint part, TimePoint now);
  /// Whether requests have shown here that the request or prompt part is not the cause.
  bool IsExonerated(RequestFingerprint fingerprint, TimePoint now) const;
  void ApplyInterruption(const InterruptionReport& interruption, TimePoint now);
  bool ClearIfExonerated(RequestFingerprint request, TimePoint now);
  bool ClearRequest(RequestFingerprint request, TimePoint now);
  void QueueRelease(RequestFingerprint request);
  void ResendQuarantine(RequestFingerprint request, TimePoint now);
  void OnQuarantined(RequestFingerprint request, const char* source);
  void ForgetOrigin(RequestFingerprint request);
  void NotifyUpdate();

  Metrics& metrics_;
  PoisonDetector detector_;  ///< also holds the quarantines of prompt parts
  PartAttribution parts_;
  InterruptedAttempts<> interrupted_;
  InterruptedAttempts<> interrupted_elsewhere_;  ///< as told by other gateways
  InterruptedAttempts<CrashSuspect> suspects_;
  InterruptedAttempts<CrashSuspect> suspects_elsewhere_;  ///< as told by other gateways
  UnprovenCrashes unproven_;
  NoticeLimiter notices_{NoticeLimiter::Options{}};
  RecentSuccesses successes_;
  PoisonUpdate pending_;
  std::function<void()> on_update_;
  Attempts running_;
  std::set<RequestFingerprint> decided_locally_;
  std::set<RequestFingerprint> from_store_;
  std::vector<RequestFingerprint> released_;
  std::uint64_t gateway_hash_ = 0;
  std::uint32_t gateways_ = 1;
  std::uint64_t survival_draws_ = 0;
  std::set<RequestFingerprint> trials_wanted_;
  std::set<RequestFingerprint> trials_granted_;
};

/// Selects the backend server to which all gateways send a request with one trial left, so that
/// concurrent copies crash only one backend server. `candidates` must not be empty; reachable ones
/// are preferred.
BackendPtr TrialBackend(RequestFingerprint request, std::span<const BackendPtr> candidates);

}  // namespace ridgehold
