// The words of all backend servers at one gateway: taken, told to others, kept ready for
// whoever counts.

#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

#include "base/ids.h"
#include "gateway/backend_directory.h"
#include "gateway/backend_news.h"
#include "gateway/backend_notice.h"
#include "quota/quota_subject.h"
#include "quota/request_limit.h"

namespace ridgehold {

/// Runs on one executor; the directory outlives it.
class BackendWords {
 public:
  explicit BackendWords(BackendDirectory& directory) : directory_(directory) {}

  /// Takes the notice of an answer to a request that was sent at `sent`.
  void Note(Backend& backend, const BackendNotice& notice, TimePoint sent, TimePoint now);

  /// Takes what another gateway tells. Returns the words of which that one knows less.
  BackendNewsList Take(const BackendNewsList& news, std::uint64_t gateway, TimePoint now);

  /// Takes out what is to be told.
  BackendNewsList TakeNews() { return std::exchange(news_, {}); }
  /// The same words as they are now; those of backend servers that are gone are left out.
  BackendNewsList Refreshed(const BackendNewsList& news, TimePoint now) const;
  /// Called when there is something to tell.
  void SetNewsListener(std::function<void()> listener) { on_news_ = std::move(listener); }

  /// Whether a limit was heard of lately, so that requests have to be counted.
  bool AnyLimit(TimePoint now) const { return now < counted_until_; }
  /// Called when a limit was heard of.
  void SetLimitListener(std::function<void()> listener) { on_limit_ = std::move(listener); }

  const LimitTolerance& tolerance() const { return tolerance_; }
  void SetTolerance(const LimitTolerance& tolerance) { tolerance_ = tolerance; }

  QuotaSubject SubjectFor(const Backend& backend) const;
  /// What is granted of its limit, which it must have.
  QuotaTerms TermsFor(const Backend& backend) const;
  /// Terms that have changed since the last call.
  std::map<QuotaSubject, QuotaTerms> TakeNewTerms() { return std::exchange(new_terms_, {}); }

 private:
  static BackendNews NewsOf(const Backend& backend, TimePoint now);
  static void TakeRest(Backend& backend, const BackendNews& news, std::uint64_t gateway,
                       TimePoint now);
  void NoteChange(const Backend& backend, TimePoint now);

  BackendDirectory& directory_;
  LimitTolerance tolerance_;
  BackendNewsList news_;
  std::map<QuotaSubject, QuotaTerms> new_terms_;
  TimePoint counted_until_{};
  std::function<void()> on_news_;
  std::function<void()> on_limit_;
};

}  // namespace ridgehold
