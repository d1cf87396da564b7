#include "peers/origin_link.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "net/wait.h"
#include "resumption/origin_keepers.h"

namespace ridgehold {
namespace {

/// How often a search looks whether the copy of the store was confirmed.
constexpr std::chrono::milliseconds kConfirmationPoll{20};

}  // namespace

void OriginLink::Observe(const ServiceId& service, const std::set<ReleaseId>& releases,
                         TimePoint now) {
  histories_[service].Observe(releases, now);
  ShareIfUncertain(service, now);
}

void OriginLink::Restore(const ServiceId& service, const ReleaseRecord& record, TimePoint now) {
  histories_[service].Restore(record, now);
  ShareIfUncertain(service, now);
}

std::set<ReleaseId> OriginLink::UnrecordedOf(const ServiceId& service, TimePoint now) const {
  const auto found = histories_.find(service);
  if (found == histories_.end()) return {};
  return found->second.Unrecorded(now);
}

void OriginLink::OnRecordRead() {
  for (const auto& [number, pending] : pending_) pending->timer->cancel();
}

ReleaseRecord OriginLink::RecordOf(const ServiceId& service, TimePoint now) const {
  const auto found = histories_.find(service);
  if (found == histories_.end()) return {};
  return found->second.ToRecord(options_.stream_lifetime, now);
}

void OriginLink::ShareIfUncertain(const ServiceId& service, TimePoint now) {
  if (SummaryOf(service, now).IsSingle()) return;
  const auto unshared = table_.TakeUnshared(service);
  if (unshared.empty()) return;
  const std::vector<std::string> peers = callbacks_.peers();
  for (const auto& [attempt, origin] : unshared) Share(attempt, origin, peers, kOriginKeepers);
}

ReleaseHistory::Summary OriginLink::SummaryOf(const ServiceId& service, TimePoint now) const {
  const auto found = histories_.find(service);
  if (found == histories_.end()) return {};
  return found->second.Summarize(options_.stream_lifetime, now);
}

void OriginLink::RecordStart(const RequestId& attempt, const WorkspaceId& workspace,
                             const ServiceId& service, const ReleaseId& release) {
  const TimePoint now = Clock::now();
  const AttemptHash hash = AttemptHashOf(attempt);
  // Attempts without an id are no key to a stream.
  if (hash == AttemptHash(0)) return;
  const StreamOrigin origin{StreamScopeOf(workspace, service), release};
  const ReleaseHistory::Summary summary = SummaryOf(service, now);
  // Gateways that know of one release only may not have read the registration of another one, so
  // all are told of its streams.
  const bool is_unexpected = summary.IsSingle() && release != *summary.single;
  const bool shared = !summary.IsSingle() || is_unexpected;
  table_.Add(hash, {origin, service, shared}, now);
  const std::vector<std::string> peers = shared ? callbacks_.peers() : std::vector<std::string>();
  if (shared) Share(hash, origin, peers, is_unexpected ? peers.size() : kOriginKeepers);
}

void OriginLink::Share(AttemptHash attempt, const StreamOrigin& origin,
                       const std::vector<std::string>& peers, std::size_t count) {
  unstored_[origin.release].push_back(StreamHashOf(attempt, origin.scope));
  OriginNotice notice;
  notice.streams.emplace_back(attempt, origin);
  const OriginMessage message(std::move(notice));
  for (const auto& keeper : RankKeepers(attempt, peers, count)) {
    callbacks_.send(keeper, message);
  }
  metrics_.GetCounter("ridgehold_origins_shared").Add();
}

net::awaitable<OriginFinding> OriginLink::Find(RequestId attempt, WorkspaceId workspace,
                                               ServiceId service) {
  const ReleaseHistory::Summary own = SummaryOf(service, Clock::now());
  OriginQuery query;
  query.attempt = AttemptHashOf(attempt);
  query.scope = StreamScopeOf(workspace, service);
  query.service = std::move(service);
  std::optional<OriginFinding> finding = FindKnown(query.attempt, query.scope);
  if (!finding) {
    query.number = query_numbers_.Next();
    finding = co_await Ask(std::move(query));
  }
  finding->evidence.releases = own.releases;
  finding->evidence.complete = own.complete;
  Count(*finding);
  co_return std::move(*finding);
}

std::optional<OriginFinding> OriginLink::FindKnown(AttemptHash attempt, StreamScope scope) const {
  const StreamOrigin* known = table_.Find(attempt, scope);
  if (known != nullptr) return OriginFinding{OriginSource::kOwn, known->release, {}};
  std::optional<ReleaseId> release = callbacks_.stored(StreamHashOf(attempt, scope));
  if (!release) return std::nullopt;
  return OriginFinding{OriginSource::kStore, std::move(release), {}};
}

net::awaitable<OriginFinding> OriginLink::Ask(OriginQuery query) {
  const TimePoint began = Clock::now();
  const TimePoint end = began + options_.proof_timeout;
  const auto asked = RankKeepers(query.attempt, callbacks_.peers(), kAskedForOrigin);
  Timer timer(executor_);
  Pending pending{OriginSearch(SummaryOf(query.service, began), asked.size()),
                  &timer,
                  {asked.begin(), asked.end()}};
  pending_[query.number] = &pending;
  callbacks_.read_record(query.service);
  const OriginMessage message(query);
  std::optional<OriginFinding> finding;
  for (auto interval = options_.resend_interval; !finding; interval *= 2) {
    for (const std::string& gateway : pending.silent) callbacks_.send(gateway, message);
    const TimePoint resend_at = std::min<TimePoint>(end, Clock::now() + interval);
    while (Clock::now() < resend_at) {
      finding = Judge(query, pending.search, began);
      if (finding) break;
      co_await WaitUntil(timer, std::min<TimePoint>(resend_at, Clock::now() + kConfirmationPoll));
    }
    if (!finding && Clock::now() >= end) finding.emplace();
  }
  pending_.erase(query.number);
  finding->evidence.asked = asked.size();
  finding->evidence.answered = asked.size() - pending.silent.size();
  co_return std::move(*finding);
}

std::optional<OriginFinding> OriginLink::Judge(const OriginQuery& query, const OriginSearch& search,
                                               TimePoint began) const {
  const TimePoint now = Clock::now();
  if (auto known = FindKnown(query.attempt, query.scope)) return known;
  const OriginFinding finding = search.Conclude();
  if (finding.source == OriginSource::kPeer) return finding;
  const ReleaseHistory::Summary own = SummaryOf(query.service, now);
  const bool answered = search.done() || now - began >= options_.answer_timeout;
  if (own.several || search.IsRefuted()) {
    return answered ? std::optional(OriginFinding()) : std::nullopt;
  }
  // Releases are recorded before they begin streams, so a record that was read after the question
  // names all that may have begun this one.
  if (own.IsSingle() && callbacks_.confirmed_at(query.service) >= began) {
    return OriginFinding{OriginSource::kSingleRelease, own.single, {}};
  }
  if (now - began < options_.answer_timeout) return std::nullopt;
  if (finding.release) return finding;
  return own.IsSingle() ? std::nullopt : std::optional(OriginFinding());
}

void OriginLink::Handle(const OriginMessage& message, const std::string& from) {
  const TimePoint now = Clock::now();
  if (const auto* notice = std::get_if<OriginNotice>(&message)) {
    for (const auto& [attempt, origin] : notice->streams) {
      table_.Add(attempt, {origin, ServiceId(), true}, now);
    }
    return;
  }
  if (const auto* query = std::get_if<OriginQuery>(&message)) {
    OriginAnswer answer;
    answer.number = query->number;
    const StreamOrigin* origin = table_.Find(query->attempt, query->scope);
    if (origin != nullptr) answer.release = origin->release;
    if (origin == nullptr) {
      answer.release = callbacks_.stored(StreamHashOf(query->attempt, query->scope));
    }
    const ReleaseHistory::Summary own = SummaryOf(query->service, now);
    answer.several_releases = own.several;
    if (own.IsSingle()) answer.supposed_release = own.single;
    const bool is_current = now - callbacks_.confirmed_at(query->service) < options_.max_copy_age;
    if (is_current) answer.only_release = answer.supposed_release;
    return callbacks_.send(from, OriginMessage(std::move(answer)));
  }
  const auto& answer = std::get<OriginAnswer>(message);
  const auto found = pending_.find(answer.number);
  if (found == pending_.end() || found->second->silent.erase(from) == 0) return;
  found->second->search.Add(answer);
  found->second->timer->cancel();
}

void OriginLink::Count(const OriginFinding& finding) {
  metrics_
      .GetCounter("ridgehold_resumptions", "origin=\"" + std::string(NameOf(finding.source)) + "\"")
      .Add();
}

}  // namespace ridgehold
