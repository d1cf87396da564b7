#include "peers/origin_link.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "net/wait.h"
#include "resumption/origin_keepers.h"

namespace ridgehold {

void OriginLink::Observe(const ServiceId& service, const std::set<ReleaseId>& releases,
                         TimePoint now) {
  histories_[service].Observe(releases, now);
  ShareIfUncertain(service, now);
}

void OriginLink::Restore(const ServiceId& service, const ReleaseRecord& record, TimePoint now) {
  histories_[service].Restore(record, now);
  ShareIfUncertain(service, now);
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
  // Gateways that know of one release only ask nobody, so all are told of a stream of another one,
  // whose registration they may not have read.
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
  const AttemptHash hash = AttemptHashOf(attempt);
  const StreamScope scope = StreamScopeOf(workspace, service);
  const ReleaseHistory::Summary own = SummaryOf(service, Clock::now());
  std::optional<OriginFinding> finding;
  const StreamOrigin* known = table_.Find(hash, scope);
  if (known == nullptr) finding = FindStored(hash, scope);
  if (!finding) finding = OriginSearch::WithoutAsking(known, own, callbacks_.is_current());
  if (!finding) {
    OriginQuery query;
    query.number = query_numbers_.Next();
    query.attempt = hash;
    query.scope = scope;
    query.service = std::move(service);
    finding = co_await Ask(std::move(query), own);
  }
  finding->evidence.releases = own.releases;
  finding->evidence.complete = own.complete;
  Count(*finding);
  co_return std::move(*finding);
}

std::optional<OriginFinding> OriginLink::FindStored(AttemptHash attempt, StreamScope scope) const {
  std::optional<ReleaseId> release = callbacks_.stored(StreamHashOf(attempt, scope));
  if (!release) return std::nullopt;
  return OriginFinding{OriginSource::kStore, std::move(release)};
}

net::awaitable<OriginFinding> OriginLink::Ask(OriginQuery query, ReleaseHistory::Summary own) {
  const auto asked = RankKeepers(query.attempt, callbacks_.peers(), kAskedForOrigin);
  Timer timer(executor_);
  Pending pending{OriginSearch(std::move(own), asked.size()), &timer, {asked.begin(), asked.end()}};
  pending_[query.number] = &pending;
  const TimePoint end = Clock::now() + options_.answer_timeout;
  const OriginMessage message(query);
  while (!pending.search.done() && Clock::now() < end) {
    for (const std::string& gateway : pending.silent) callbacks_.send(gateway, message);
    const TimePoint resend_at = std::min(end, Clock::now() + options_.resend_interval);
    while (!pending.search.done() && Clock::now() < resend_at) {
      co_await WaitUntil(timer, resend_at);
    }
  }
  pending_.erase(query.number);
  OriginFinding finding = pending.search.Conclude();
  finding.evidence.asked = asked.size();
  finding.evidence.answered = asked.size() - pending.silent.size();
  co_return finding;
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
    if (own.IsSingle() && callbacks_.is_current()) answer.only_release = own.single;
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
