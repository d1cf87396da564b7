// Keeps requests that end backend servers from being sent on, at this gateway and all others.

#pragma once

#include <cstddef>
#include <functional>
#include <optional>
#include <set>
#include <span>
#include <utility>
#include <vector>

#include "gateway/backend_directory.h"
#include "gateway/broken_attempts.h"
#include "gateway/poison_detector.h"
#include "gateway/poison_news.h"
#include "gateway/recent_survivors.h"
#include "gateway/withdrawable_attempts.h"
#include "metrics/metrics.h"

namespace ridgehold {

/// Without it a request that ended each of nine engines ended 39 of them in 40 s, since
/// every gateway sent every copy of it on; with it the third end is the last, but for
/// copies that ran side by side. Runs on one executor; outlives its tickets.
class PoisonGuard {
 public:
  /// Attempts at backend servers, by what they carry.
  using Attempts = WithdrawableAttempts<RequestFingerprint>;
  using Ticket = Attempts::Ticket;

  PoisonGuard(Metrics& metrics, PoisonRule rule) : metrics_(metrics), detector_(rule) {}

  Suspicion SuspicionOf(RequestFingerprint request, TimePoint now) const {
    return detector_.SuspicionOf(request, now);
  }

  /// An attempt is sent; it is withdrawn if its request is quarantined. `ticket` is filled.
  void Watch(std::optional<Ticket>& ticket, RequestFingerprint request,
             Attempts::Withdraw withdraw) {
    running_.Add(ticket, request, std::move(withdraw));
  }

  /// An attempt broke off there, or got no answer.
  void NoteBroken(const Backend& backend, RequestFingerprint request, TimePoint now);
  /// The backend server has ended, as `evidence` shows.
  void NoteEnded(const Backend& backend, const char* evidence, TimePoint now);
  bool HasEnded(const Backend& backend) const { return broken_.HasEnded(HashOf(backend)); }
  /// A backend server has run it and lives.
  void NoteSurvived(RequestFingerprint request, TimePoint now);

  /// What another gateway tells.
  void Take(const PoisonNews& news, TimePoint now);
  /// Takes out what the others are to be told.
  PoisonNews TakeNews();
  /// Called when there is something to tell.
  void SetNewsListener(std::function<void()> listener) { on_news_ = std::move(listener); }

  /// The platform's store has it quarantined for `left` more.
  void TakeStored(RequestFingerprint request, Duration left, TimePoint now);
  /// Quarantines that this gateway or others decided, not those read from the store.
  std::vector<PoisonDetector::Quarantine> Decided(TimePoint now);
  /// Decided here, so that this gateway writes it to the store without delay.
  bool DecidedHere(RequestFingerprint request) const { return decided_here_.contains(request); }
  /// Takes out quarantines that ended early and are to be erased in the store.
  std::vector<RequestFingerprint> TakeReleased();

  /// Lifts a quarantine by hand, everywhere; returns whether there was one here.
  bool Release(RequestFingerprint request, TimePoint now);

  std::vector<PoisonDetector::Quarantine> Quarantined(TimePoint now) const {
    return detector_.Quarantined(now);
  }
  std::size_t suspects() const { return detector_.suspects(); }

 private:
  void NoteEnd(const EndNews& end, TimePoint now);
  bool Forgive(RequestFingerprint request, TimePoint now);
  bool Lift(RequestFingerprint request, TimePoint now);
  void NoteReleased(RequestFingerprint request);
  void TellQuarantined(RequestFingerprint request, TimePoint now);
  void OnQuarantined(RequestFingerprint request, const char* source);
  void Forget(RequestFingerprint request);
  void Tell();

  Metrics& metrics_;
  PoisonDetector detector_;
  BrokenAttempts broken_;
  RecentSurvivors survivors_;
  PoisonNews news_;
  std::function<void()> on_news_;
  Attempts running_;
  std::set<RequestFingerprint> decided_here_;
  std::set<RequestFingerprint> from_store_;
  std::vector<RequestFingerprint> released_;
};

/// Where all gateways send a request that has one trial left, so that copies that come
/// at the same moment end one backend server and not several. `candidates` are not
/// none; those that cannot be reached are passed over.
BackendPtr TrialBackend(RequestFingerprint request, std::span<const BackendPtr> candidates);

}  // namespace ridgehold
