#include "gateway/pushback_registry.h"

#include <fmt/format.h>

#include <string>

#include "log/log.h"

namespace ridgehold {
namespace {

// How long quota holders are kept after a limit was last seen.
constexpr std::chrono::seconds kQuotaRetention{60};
constexpr std::size_t kMaxChangedTerms = 4'096;
// Maximum time for which peers' back-offs deprioritize a server here. They do not bind this
// gateway, which then tries again.
constexpr std::chrono::milliseconds kMaxPeerBackoff{5'000};

void LogState(const char* event, const Backend& backend) {
  const PushbackState& word = backend.notice_state;
  const std::string limit =
      word.limit() ? fmt::format("{:.3f}", word.limit()->per_second()) : "none";
  Log(LogLevel::kInfo, event,
      {{"backend", backend.entry.id.value()},
       {"address", backend.entry.address},
       {"number", std::to_string(word.number())},
       {"limit", limit},
       {"leaving", word.leaving() ? "yes" : "no"}});
}

}  // namespace

void PushbackRegistry::Note(Backend& backend, const BackendPushback& notice, TimePoint sent,
                            TimePoint now) {
  if (notice.rest) {
    Log(LogLevel::kInfo, "backend rests",
        {{"backend", backend.entry.id.value()},
         {"address", backend.entry.address},
         {"rest_ms", std::to_string(notice.rest->count())}});
  }
  const bool changed = backend.notice_state.TakeNotice(notice, sent, now);
  if (notice.limit) counted_until_ = now + kQuotaRetention;
  if (changed) {
    LogState("backend notice", backend);
    NoteChange(backend, now);
  }
  const bool share = changed || (notice.rest && backend.notice_state.ShouldShareBackoff(now));
  if (!share || !backend.notice_state.TryBeginBroadcast(now)) return;
  news_.items.push_back(NewsOf(backend, now));
  if (on_news_) on_news_();
}

PushbackUpdate PushbackRegistry::NewsOf(const Backend& backend, TimePoint now) {
  PushbackUpdate news = backend.notice_state.News(HashOf(backend));
  const TimePoint rest_until = backend.notice_state.rest_until();
  if (now < rest_until) {
    news.rest_left = std::chrono::ceil<std::chrono::milliseconds>(rest_until - now);
  }
  return news;
}

void PushbackRegistry::TakeRest(Backend& backend, const PushbackUpdate& news, std::uint64_t gateway,
                                TimePoint now) {
  if (!news.rest_left) return;
  const TimePoint until = now + std::min(*news.rest_left, kMaxPeerBackoff);
  if (!backend.notice_state.RecordPeerBackoff(gateway, until, now)) return;
  Log(LogLevel::kInfo, "backend deprioritized: two peers were asked to back off",
      {{"backend", backend.entry.id.value()},
       {"address", backend.entry.address},
       {"rest_ms", std::to_string(news.rest_left->count())}});
}

PushbackUpdateList PushbackRegistry::Take(const PushbackUpdateList& news, std::uint64_t gateway,
                                          TimePoint now) {
  PushbackUpdateList newer;
  for (const PushbackUpdate& item : news.items) {
    const BackendPtr backend = directory_.FindByHash(item.backend);
    if (!backend) continue;
    TakeRest(*backend, item, gateway, now);
    const PushbackUpdate before = backend->notice_state.News(item.backend);
    if (backend->notice_state.TakeNews(item, now)) newer.items.push_back(before);
    if (backend->notice_state.News(item.backend) == before) continue;
    LogState("backend notice told", *backend);
    NoteChange(*backend, now);
  }
  return newer;
}

PushbackUpdateList PushbackRegistry::Refreshed(const PushbackUpdateList& news,
                                               TimePoint now) const {
  PushbackUpdateList refreshed;
  for (const PushbackUpdate& item : news.items) {
    const BackendPtr backend = directory_.FindByHash(item.backend);
    if (backend) refreshed.items.push_back(NewsOf(*backend, now));
  }
  return refreshed;
}

void PushbackRegistry::NoteChange(const Backend& backend, TimePoint now) {
  if (!backend.notice_state.limit()) return;
  counted_until_ = now + kQuotaRetention;
  // Pending terms are not consumed while this gateway holds no quota share. They may be dropped,
  // since each request carries its terms.
  if (new_terms_.size() >= kMaxChangedTerms) new_terms_.clear();
  new_terms_[SubjectFor(backend)] = TermsFor(backend);
  if (on_limit_) on_limit_();
}

QuotaSubject PushbackRegistry::SubjectFor(const Backend& backend) const {
  return BackendSubject(HashOf(backend));
}

QuotaLimits PushbackRegistry::TermsFor(const Backend& backend) const {
  return EffectiveLimits(*backend.notice_state.limit(), tolerance_, backend.notice_state.number());
}

}  // namespace ridgehold
