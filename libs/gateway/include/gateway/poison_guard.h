// Quarantines requests that crash backend servers, at this gateway and its peers.

#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <span>
#include <utility>
#include <vector>

#include "crash/notice_limiter.h"
#include "crash/unproven_crashes.h"
#include "gateway/backend_directory.h"
#include "gateway/cancellable_attempts.h"
#include "gateway/interrupted_attempts.h"
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
  /// Running attempts by the fingerprint of their request.
  using Attempts = CancellableAttempts<RequestFingerprint>;
  using Ticket = Attempts::Ticket;

  PoisonGuard(Metrics& metrics, PoisonOptions options) : metrics_(metrics), detector_(options) {}

  Suspicion SuspicionOf(RequestFingerprint request, TimePoint now) const {
    return detector_.SuspicionOf(request, now);
  }

  /// Registers an attempt, which is cancelled if its request is quarantined, and sets `ticket`.
  void Watch(std::optional<Ticket>& ticket, RequestFingerprint request,
             Attempts::CancelCallback cancel) {
    running_.Add(ticket, request, std::move(cancel));
  }

  /// Records an attempt that was interrupted or got no response.
  void RecordInterruption(const Backend& backend, RequestFingerprint request, TimePoint now);
  /// Records an attempt that was interrupted before its first event, and tells the other gateways,
  /// of which there are `gateways` with this one: until it is known whether the backend server has
  /// crashed, further attempts may have to wait.
  void RecordPossibleCrash(const Backend& backend, RequestFingerprint request,
                           std::uint32_t gateways, TimePoint now);
  /// Whether the request must not be sent until it is known which of SuspectsOf() have crashed.
  bool AwaitsProof(RequestFingerprint request, TimePoint now) const;
  std::vector<BackendHash> SuspectsOf(RequestFingerprint request, TimePoint now) const {
    return unproven_.SuspectsOf(request, now);
  }
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

  /// Releases a request on an operator's command, at all gateways. Returns whether it was
  /// quarantined here.
  bool Release(RequestFingerprint request, TimePoint now);

  std::vector<PoisonDetector::Quarantine> Quarantines(TimePoint now) const {
    return detector_.Quarantines(now);
  }
  std::size_t suspects() const { return detector_.suspects(); }

 private:
  void ReportCrash(const CrashReport& crash, TimePoint now);
  void CountCrash(const CrashReport& crash, TimePoint now);
  void ApplyInterruption(const InterruptionReport& interruption, TimePoint now);
  bool ClearIfRecentlySucceeded(RequestFingerprint request, TimePoint now);
  bool ClearRequest(RequestFingerprint request, TimePoint now);
  void QueueRelease(RequestFingerprint request);
  void ResendQuarantine(RequestFingerprint request, TimePoint now);
  void OnQuarantined(RequestFingerprint request, const char* source);
  void ForgetOrigin(RequestFingerprint request);
  void NotifyUpdate();

  Metrics& metrics_;
  PoisonDetector detector_;
  InterruptedAttempts interrupted_;
  InterruptedAttempts interrupted_elsewhere_;  ///< as told by other gateways
  UnprovenCrashes unproven_;
  NoticeLimiter notices_{NoticeLimiter::Options{}};
  RecentSuccesses successes_;
  PoisonUpdate pending_;
  std::function<void()> on_update_;
  Attempts running_;
  std::set<RequestFingerprint> decided_locally_;
  std::set<RequestFingerprint> from_store_;
  std::vector<RequestFingerprint> released_;
};

/// Selects the backend server to which all gateways send a request with one trial left, so that
/// concurrent copies crash only one backend server. `candidates` must not be empty; reachable ones
/// are preferred.
BackendPtr TrialBackend(RequestFingerprint request, std::span<const BackendPtr> candidates);

}  // namespace ridgehold
