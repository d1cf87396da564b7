#include "peers/load_query_service.h"

#include <algorithm>
#include <utility>

#include "net/wait.h"
#include "peers/recent_namings.h"

namespace ridgehold {

net::awaitable<LoadAnswer> LoadQueryService::Query(LoadQuestion question) {
  const TimePoint now = Clock::now();
  const auto pending = std::make_shared<Pending>(state_.executor());
  const std::uint64_t id = query_numbers_.Next();
  std::map<std::string, Part> parts = SplitByTracker(question, now);
  const TimePoint limit = now + TimeoutFor(parts);
  for (auto& [address, part] : parts) {
    if (address == options_.address) {
      MergeInto(pending->answer, Answer(part.message, now));
      continue;
    }
    part.message.id = id;
    pending->waiting.insert(address);
    send_(*part.tracker, Encode(part.message));
  }
  if (!pending->waiting.empty()) {
    pending_[id] = pending;
    co_await WaitUntil(pending->timer, limit);
    if (!pending->waiting.empty()) co_await HandleArrivals(state_.executor());
    pending_.erase(id);
  }
  RecordUnanswered(*pending, Clock::now());
  co_return std::move(pending->answer);
}

std::chrono::milliseconds LoadQueryService::TimeoutFor(
    const std::map<std::string, Part>& parts) const {
  const bool any_far = std::ranges::any_of(parts, [&](const auto& entry) {
    return state_.topology().Between(state_.zone(), entry.second.tracker->zone) ==
           ZoneDistance::kOtherRegion;
  });
  return any_far ? options_.other_region_timeout : options_.timeout;
}

std::map<std::string, LoadQueryService::Part> LoadQueryService::SplitByTracker(
    const LoadQuestion& question, TimePoint now) const {
  std::map<std::string, Part> parts;
  const auto part_for = [&](std::uint64_t hash, const ZoneId& zone) -> LoadQuestionMessage* {
    const TrackerMap::Gateway* tracker = trackers_.TrackerOf(hash, zone, now);
    if (tracker == nullptr) return nullptr;
    Part& part = parts[tracker->address];
    if (part.tracker == nullptr) {
      part.tracker = tracker;
      part.message.daemon = options_.self;
      part.message.parts = question.parts;
      part.message.model = question.model;
      part.message.weights = question.weights;
      part.message.workspace = question.workspace;
      if (!question.service.value().empty()) part.message.service = HashOf(question.service);
      part.message.wants_namings = state_.named_weights().has_assumed_times();
    }
    return &part.message;
  };
  for (const BackendPtr& backend : question.backends) {
    const BackendHash hash = HashOf(*backend);
    if (auto* message = part_for(hash, backend->entry.zone)) message->backends.push_back(hash);
  }
  if (question.home) {
    auto* message = part_for(HashOf(*question.home), question.home->entry.zone);
    if (message != nullptr) message->wants_holders = true;
  }
  if (question.store) {
    auto* message = part_for(question.store->link, question.store->zone);
    if (message != nullptr) message->store = question.store->link;
  }
  return parts;
}

LoadAnswerMessage LoadQueryService::Answer(const LoadQuestionMessage& question,
                                           TimePoint now) const {
  LoadAnswerMessage answer;
  answer.daemon = options_.self;
  answer.id = question.id;
  LoadQuestion asked;
  asked.parts = question.parts;
  asked.model = question.model;
  asked.weights = question.weights;
  for (const BackendHash hash : question.backends) {
    const BackendPtr backend = state_.directory().FindByHash(hash);
    if (!backend) continue;
    BackendReport report = state_.ReportOn(*backend, asked, now);
    const bool own = question.daemon == options_.self;
    const LoadUpdate sender_load =
        own ? state_.LocalLoadAt(*backend, now) : loads_.LoadOf(question.daemon, hash);
    PeerLoad& work = report.work;
    work.running -= std::min(work.running, sender_load.running);
    work.unread_tokens -= std::min(work.unread_tokens, sender_load.unread_tokens);
    work.unrepeatable -= std::min(work.unrepeatable, sender_load.unrepeatable);
    work.uncovered -= std::min(work.uncovered, sender_load.uncovered);
    work.memory_tokens -= std::min(work.memory_tokens, sender_load.memory_tokens);
    answer.backends.push_back(report);
  }
  if (question.store) {
    answer.store = state_.ReportOn(StoreQuery{*question.store, ZoneId()}, asked, now);
  }
  if (!question.parts.empty()) answer.sample = state_.SampleOf(question.parts.front().hash);
  if (question.workspace != 0) {
    answer.workspace_sample = state_.priority().shares.OwnSample(question.workspace, now);
  }
  if (question.daemon != options_.self) answer.demand = state_.OwnDemandFor(question.service, now);
  if (question.wants_holders) answer.holders = state_.HoldersOf(question.parts, now);
  if (question.wants_namings) answer.namings = RecentNamings(state_.named_weights(), now);
  return answer;
}

void LoadQueryService::HandleAnswer(const LoadAnswerMessage& answer, const std::string& address) {
  trackers_.RecordAnswer(address);
  ApplyNamings(state_.named_weights(), answer.namings, Clock::now());
  const auto found = pending_.find(answer.id);
  if (found == pending_.end()) return;  // timed out
  Pending& pending = *found->second;
  if (pending.waiting.erase(address) == 0) return;
  MergeInto(pending.answer, answer);
  if (pending.waiting.empty()) pending.timer.cancel();
}

void LoadQueryService::MergeInto(LoadAnswer& answer, const LoadAnswerMessage& message) {
  for (const BackendReport& report : message.backends) answer.backends[report.backend] = report;
  if (message.store) answer.store = message.store;
  answer.samples.push_back(message.sample);
  answer.workspace_samples.push_back(message.workspace_sample);
  if (message.demand) answer.demands.push_back(*message.demand);
  answer.holders.insert(answer.holders.end(), message.holders.begin(), message.holders.end());
}

void LoadQueryService::RecordUnanswered(const Pending& pending, TimePoint now) {
  state_.metrics().GetCounter("ridgehold_load_questions").Add();
  if (pending.waiting.empty()) return;
  state_.metrics().GetCounter("ridgehold_load_questions_unanswered").Add(pending.waiting.size());
  for (const std::string& address : pending.waiting) trackers_.RecordMiss(address, now);
}

}  // namespace ridgehold
