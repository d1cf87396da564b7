#include "quota/quota_client.h"

#include <algorithm>
#include <utility>

namespace ridgehold {

void QuotaClient::SetHolders(std::string own, std::vector<std::string> others) {
  own_holder_ = std::move(own);
  other_holders_ = std::move(others);
}

std::uint64_t QuotaClient::Start(const QuotaDemand& demand, TimePoint now, QuotaOutbox& outbox) {
  const std::uint64_t acquisition_id = ++last_acquisition_;
  Acquisition& acquisition = acquisitions_[acquisition_id];
  acquisition.request = {
      {}, demand.subject, scale_.FromTokens(demand.tokens), false, demand.limits};
  acquisition.deadline = demand.deadline;
  acquisition.recovery_deadline = std::max(demand.deadline, demand.recovery_deadline);
  acquisition.remaining_holders = HoldersInOrder(now);
  AskNextHolder(acquisition, now, outbox);
  return acquisition_id;
}

void QuotaClient::AskNextHolder(Acquisition& acquisition, TimePoint now, QuotaOutbox& outbox) {
  if (acquisition.remaining_holders.empty()) return FinishRound(acquisition, now);
  acquisition.holder = std::move(acquisition.remaining_holders.back());
  acquisition.remaining_holders.pop_back();
  // A new id for each holder, so that a late reply of a previous holder is not mistaken for its
  // reply.
  acquisition.request.id = {incarnation_, ++last_request_};
  acquisition.asked_at = now;
  acquisition.next = now + options_.resend_interval;
  ++acquisition.messages_sent;
  outbox.push_back({acquisition.holder, acquisition.request});
}

void QuotaClient::FinishRound(Acquisition& acquisition, TimePoint now) {
  if (!outage_since_) outage_since_ = now;
  const bool may_recover = now - *outage_since_ < options_.recovery_window;
  const TimePoint until = may_recover ? acquisition.recovery_deadline : acquisition.deadline;
  const TimePoint next = now + options_.round_interval;
  if (next < until) return ScheduleRound(acquisition, next);
  Finish(acquisition, {});
}

bool QuotaClient::ShouldRetryForTokens(const Acquisition& acquisition, const QuotaReply& reply,
                                       TimePoint now) const {
  const bool recovering = recovering_since_ && now - *recovering_since_ < options_.recovery_window;
  return reply.verdict == QuotaVerdict::kOverQuota && recovering &&
         now + reply.retry_after < acquisition.recovery_deadline;
}

void QuotaClient::ScheduleRound(Acquisition& acquisition, TimePoint until) {
  acquisition.holder.clear();
  // A late reply to the previous request is ignored; its refund has been sent.
  acquisition.request.id = {incarnation_, ++last_request_};
  acquisition.next = until;
}

void QuotaClient::Finish(Acquisition& acquisition, QuotaOutcome outcome) {
  outcome.messages_sent = acquisition.messages_sent;
  acquisition.outcome = std::move(outcome);
}

std::vector<std::string> QuotaClient::HoldersInOrder(TimePoint now) const {
  const auto in_cooldown = [&](const std::string& holder) {
    const auto found = cooldown_until_.find(holder);
    return found != cooldown_until_.end() && now < found->second;
  };
  std::vector<std::string> holders;
  if (!own_holder_.empty()) holders.push_back(own_holder_);
  // Rotates the order, so that instances without a holder in their own zone spread their load.
  for (std::size_t i = 0; i < other_holders_.size(); ++i) {
    holders.push_back(other_holders_[(last_acquisition_ + i) % other_holders_.size()]);
  }
  std::stable_partition(holders.begin(), holders.end(),
                        [&](const auto& holder) { return !in_cooldown(holder); });
  // If every holder timed out recently, this instance may be partitioned: one attempt is enough.
  if (!holders.empty() && in_cooldown(holders.front())) holders.resize(1);
  std::ranges::reverse(holders);
  return holders;
}

QuotaOutbox QuotaClient::Tick(std::uint64_t acquisition_id, TimePoint now) {
  QuotaOutbox outbox;
  const auto found = acquisitions_.find(acquisition_id);
  if (found == acquisitions_.end() || found->second.outcome || now < found->second.next)
    return outbox;
  Acquisition& acquisition = found->second;
  if (acquisition.holder.empty()) {
    acquisition.remaining_holders = HoldersInOrder(now);
    AskNextHolder(acquisition, now, outbox);
    return outbox;
  }
  if (now - acquisition.asked_at < options_.holder_timeout) {
    acquisition.next = now + options_.resend_interval;
    ++acquisition.messages_sent;
    outbox.push_back({acquisition.holder, acquisition.request});
    return outbox;
  }
  cooldown_until_[acquisition.holder] = now + options_.holder_cooldown;
  outbox.push_back({acquisition.holder, QuotaRefund{acquisition.request.id}});
  AskNextHolder(acquisition, now, outbox);
  return outbox;
}

TimePoint QuotaClient::NextTick(std::uint64_t acquisition_id) const {
  const auto found = acquisitions_.find(acquisition_id);
  return found == acquisitions_.end() ? TimePoint() : found->second.next;
}

QuotaOutbox QuotaClient::Handle(const QuotaReply& reply, const std::string& from, TimePoint now) {
  QuotaOutbox outbox;
  cooldown_until_.erase(from);
  if (reply.verdict != QuotaVerdict::kNotHolder && outage_since_) {
    if (now - *outage_since_ >= options_.min_outage) recovering_since_ = now;
    outage_since_.reset();
  }
  Acquisition* acquisition = Find(reply.id);
  // A holder that timed out has been sent a refund.
  if (acquisition == nullptr || acquisition->outcome) return outbox;
  if (reply.verdict == QuotaVerdict::kNotHolder) {
    AskNextHolder(*acquisition, now, outbox);
    return outbox;
  }
  if (ShouldRetryForTokens(*acquisition, reply, now)) {
    const auto min_wait = std::chrono::duration_cast<Duration>(options_.round_interval);
    ScheduleRound(*acquisition, now + std::max(reply.retry_after, min_wait));
    return outbox;
  }
  Finish(*acquisition, {reply.verdict, {reply.id, from}, reply.retry_after, 0});
  return outbox;
}

std::optional<std::uint64_t> QuotaClient::FindAcquisition(const QuotaRequestId& id) const {
  const auto found = std::ranges::find_if(
      acquisitions_, [&](const auto& entry) { return entry.second.request.id == id; });
  return found == acquisitions_.end() ? std::nullopt : std::optional(found->first);
}

QuotaClient::Acquisition* QuotaClient::Find(const QuotaRequestId& id) {
  const auto acquisition_id = FindAcquisition(id);
  return acquisition_id ? &acquisitions_.at(*acquisition_id) : nullptr;
}

std::optional<QuotaOutcome> QuotaClient::TakeOutcome(std::uint64_t acquisition_id) {
  const auto found = acquisitions_.find(acquisition_id);
  if (found == acquisitions_.end() || !found->second.outcome) return std::nullopt;
  QuotaOutcome outcome = std::move(*found->second.outcome);
  acquisitions_.erase(found);
  return outcome;
}

QuotaOutbox QuotaClient::Refund(const QuotaTicket& ticket) {
  return {{ticket.holder, QuotaRefund{ticket.id}}};
}

}  // namespace ridgehold
