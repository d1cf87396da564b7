// Pushback of all backend servers at one gateway: applied, shared with peers, and supplied to quota
// holders.

#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

#include "base/ids.h"
#include "gateway/backend_directory.h"
#include "gateway/backend_pushback.h"
#include "gateway/pushback_update.h"
#include "quota/quota_subject.h"
#include "quota/request_limit.h"
#include "rejection/fragile_services.h"

namespace ridgehold {

/// Runs on one executor; the directory outlives it.
class PushbackRegistry {
 public:
  explicit PushbackRegistry(BackendDirectory& directory) : directory_(directory) {}

  /// Sets this gateway's id and the number of gateways, which share the room of fragile backend
  /// servers.
  void SetGateways(std::uint64_t self, std::uint32_t gateways) {
    self_ = self;
    gateways_ = gateways;
  }

  /// Applies the pushback in the response to a request sent at `sent`.
  void ApplyPushback(Backend& backend, const BackendPushback& pushback, TimePoint sent,
                     TimePoint now);

  /// Records that a backend server rejected a request for lack of room. Only matters while its
  /// service is fragile.
  void RecordRejection(Backend& backend, TimePoint now);

  /// Whether a backend server has room for another request. Always true if its service is not
  /// fragile.
  bool HasRoom(const Backend& backend, TimePoint now) const;

  /// When this gateway may send requests to a backend server again after a rejection; in the past
  /// if it may now.
  TimePoint RoomBlockedUntil(const Backend& backend, TimePoint now) const;

  /// Applies updates from another gateway. Returns this gateway's state where the sender's is
  /// older.
  PushbackUpdateList ApplyUpdates(const PushbackUpdateList& updates, std::uint64_t gateway,
                                  TimePoint now);

  /// Removes and returns the pending updates.
  PushbackUpdateList TakeUpdates() { return std::exchange(pending_, {}); }
  /// Returns the updates with current values; unregistered backend servers are omitted.
  PushbackUpdateList WithCurrentState(const PushbackUpdateList& updates, TimePoint now) const;
  /// `listener` is called when updates are pending.
  void SetUpdateListener(std::function<void()> listener) { on_update_ = std::move(listener); }

  /// Whether a limit was seen recently, so that quota holders are needed.
  bool HasRecentLimit(TimePoint now) const { return now < quota_needed_until_; }
  /// `listener` is called when a limit is seen.
  void SetLimitListener(std::function<void()> listener) { on_limit_ = std::move(listener); }

  const LimitTolerance& tolerance() const { return tolerance_; }
  void SetTolerance(const LimitTolerance& tolerance) { tolerance_ = tolerance; }

  QuotaSubject SubjectFor(const Backend& backend) const;
  /// Quota terms of its limit. Requires that it has one.
  QuotaLimits TermsFor(const Backend& backend) const;
  /// Removes and returns the terms that have changed since the last call.
  std::map<QuotaSubject, QuotaLimits> TakeNewTerms() { return std::exchange(changed_terms_, {}); }

 private:
  static PushbackUpdate UpdateFor(const Backend& backend, TimePoint now);
  static void ApplyPeerBackoff(Backend& backend, const PushbackUpdate& update,
                               std::uint64_t gateway, TimePoint now);
  void OnStateChanged(const Backend& backend, TimePoint now);
  void RecordFragility(const Backend& backend, RejectionLimit limit, TimePoint now);
  void Share(Backend& backend, TimePoint now);

  BackendDirectory& directory_;
  std::uint64_t self_ = 0;
  std::uint32_t gateways_ = 1;
  LimitTolerance tolerance_;
  FragileServices fragile_services_;
  PushbackUpdateList pending_;
  std::map<QuotaSubject, QuotaLimits> changed_terms_;
  TimePoint quota_needed_until_{};
  std::function<void()> on_update_;
  std::function<void()> on_limit_;
};

}  // namespace ridgehold
