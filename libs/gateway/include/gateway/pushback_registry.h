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

namespace ridgehold {

/// Runs on one executor; the directory outlives it.
class PushbackRegistry {
 public:
  explicit PushbackRegistry(BackendDirectory& directory) : directory_(directory) {}

  /// Applies the pushback in the response to a request sent at `sent`.
  void Note(Backend& backend, const BackendPushback& notice, TimePoint sent, TimePoint now);

  /// Applies updates from another gateway. Returns this gateway's state where the sender's is
  /// older.
  PushbackUpdateList Take(const PushbackUpdateList& news, std::uint64_t gateway, TimePoint now);

  /// Removes and returns the pending updates.
  PushbackUpdateList TakeNews() { return std::exchange(news_, {}); }
  /// Returns the updates with current values; unregistered backend servers are omitted.
  PushbackUpdateList Refreshed(const PushbackUpdateList& news, TimePoint now) const;
  /// `listener` is called when updates are pending.
  void SetUpdateListener(std::function<void()> listener) { on_news_ = std::move(listener); }

  /// Whether a limit was seen recently, so that quota holders are needed.
  bool HasRecentLimit(TimePoint now) const { return now < counted_until_; }
  /// `listener` is called when a limit is seen.
  void SetLimitListener(std::function<void()> listener) { on_limit_ = std::move(listener); }

  const LimitTolerance& tolerance() const { return tolerance_; }
  void SetTolerance(const LimitTolerance& tolerance) { tolerance_ = tolerance; }

  QuotaSubject SubjectFor(const Backend& backend) const;
  /// Quota terms of its limit. Requires that it has one.
  QuotaLimits TermsFor(const Backend& backend) const;
  /// Removes and returns the terms that have changed since the last call.
  std::map<QuotaSubject, QuotaLimits> TakeNewTerms() { return std::exchange(new_terms_, {}); }

 private:
  static PushbackUpdate NewsOf(const Backend& backend, TimePoint now);
  static void TakeRest(Backend& backend, const PushbackUpdate& news, std::uint64_t gateway,
                       TimePoint now);
  void NoteChange(const Backend& backend, TimePoint now);

  BackendDirectory& directory_;
  LimitTolerance tolerance_;
  PushbackUpdateList news_;
  std::map<QuotaSubject, QuotaLimits> new_terms_;
  TimePoint counted_until_{};
  std::function<void()> on_news_;
  std::function<void()> on_limit_;
};

}  // namespace ridgehold
