#include "quota/quota_client.h"

#include <algorithm>
#include <utility>

namespace ridgehold {

void QuotaClient::SetHolders(std::string own, std::vector<std::string> others) {
  own_ = std::move(own);
  others_ = std::move(others);
}

std::uint64_t QuotaClient::Begin(const QuotaDemand& demand, TimePoint now, QuotaOutbox& outbox) {
  const std::uint64_t number = ++last_number_;
  Asking& asking = asking_[number];
  asking.request = {{}, demand.subject, scale_.Of(demand.tokens), false, demand.terms};
  asking.patience_until = demand.patience_until;
  asking.long_patience_until = std::max(demand.patience_until, demand.long_patience_until);
  asking.holders_left = HoldersInTurn(now);
  AskNext(asking, now, outbox);
  return number;
}

void QuotaClient::AskNext(Asking& asking, TimePoint now, QuotaOutbox& outbox) {
  if (asking.holders_left.empty()) return EndRound(asking, now);
  asking.holder = std::move(asking.holders_left.back());
  asking.holders_left.pop_back();
  // Anew for each holder, so that a late answer of another one is told apart.
  asking.request.id = {incarnation_, ++last_request_};
  asking.began = now;
  asking.next = now + options_.resend;
  ++asking.sent;
  outbox.push_back({asking.holder, asking.request});
}

void QuotaClient::EndRound(Asking& asking, TimePoint now) {
  if (!out_since_) out_since_ = now;
  const bool may_be_back = now - *out_since_ < options_.takeover;
  const TimePoint until = may_be_back ? asking.long_patience_until : asking.patience_until;
  const TimePoint next = now + options_.between_rounds;
  if (next < until) return Pause(asking, next);
  End(asking, {});
}

bool QuotaClient::MayWaitForTokens(const Asking& asking, const QuotaReply& reply,
                                   TimePoint now) const {
  const bool recovering = back_since_ && now - *back_since_ < options_.takeover;
  return reply.verdict == QuotaVerdict::kOverQuota && recovering &&
         now + reply.retry_after < asking.long_patience_until;
}

void QuotaClient::Pause(Asking& asking, TimePoint until) {
  asking.holder.clear();
  // A late answer to what was asked last is not taken: its refund is on the way.
  asking.request.id = {incarnation_, ++last_request_};
  asking.next = until;
}

void QuotaClient::End(Asking& asking, QuotaOutcome outcome) {
  outcome.asked = asking.sent;
  asking.outcome = std::move(outcome);
}

std::vector<std::string> QuotaClient::HoldersInTurn(TimePoint now) const {
  const auto silent = [&](const std::string& holder) {
    const auto found = silent_until_.find(holder);
    return found != silent_until_.end() && now < found->second;
  };
  std::vector<std::string> holders;
  if (!own_.empty()) holders.push_back(own_);
  // Another one first each time: those who do without a holder share out their asking.
  for (std::size_t i = 0; i < others_.size(); ++i) {
    holders.push_back(others_[(last_number_ + i) % others_.size()]);
  }
  std::stable_partition(holders.begin(), holders.end(),
                        [&](const auto& holder) { return !silent(holder); });
  // If all were silent lately, this instance may be cut off: one try is enough.
  if (!holders.empty() && silent(holders.front())) holders.resize(1);
  std::ranges::reverse(holders);
  return holders;
}

QuotaOutbox QuotaClient::Tick(std::uint64_t number, TimePoint now) {
  QuotaOutbox outbox;
  const auto found = asking_.find(number);
  if (found == asking_.end() || found->second.outcome || now < found->second.next) return outbox;
  Asking& asking = found->second;
  if (asking.holder.empty()) {
    asking.holders_left = HoldersInTurn(now);
    AskNext(asking, now, outbox);
    return outbox;
  }
  if (now - asking.began < options_.give_up) {
    asking.next = now + options_.resend;
    ++asking.sent;
    outbox.push_back({asking.holder, asking.request});
    return outbox;
  }
  silent_until_[asking.holder] = now + options_.silence;
  outbox.push_back({asking.holder, QuotaRefund{asking.request.id}});
  AskNext(asking, now, outbox);
  return outbox;
}

TimePoint QuotaClient::NextTick(std::uint64_t number) const {
  const auto found = asking_.find(number);
  return found == asking_.end() ? TimePoint() : found->second.next;
}

QuotaOutbox QuotaClient::Take(const QuotaReply& reply, const std::string& from, TimePoint now) {
  QuotaOutbox outbox;
  silent_until_.erase(from);
  if (reply.verdict != QuotaVerdict::kNotHolder && out_since_) {
    if (now - *out_since_ >= options_.least_outage) back_since_ = now;
    out_since_.reset();
  }
  Asking* asking = Find(reply.id);
  // One that was given up on has had a refund sent after it.
  if (asking == nullptr || asking->outcome) return outbox;
  if (reply.verdict == QuotaVerdict::kNotHolder) {
    AskNext(*asking, now, outbox);
    return outbox;
  }
  if (MayWaitForTokens(*asking, reply, now)) {
    const auto least = std::chrono::duration_cast<Duration>(options_.between_rounds);
    Pause(*asking, now + std::max(reply.retry_after, least));
    return outbox;
  }
  End(*asking, {reply.verdict, {reply.id, from}, reply.retry_after, 0});
  return outbox;
}

std::optional<std::uint64_t> QuotaClient::NumberOf(const QuotaRequestId& id) const {
  const auto found = std::ranges::find_if(
      asking_, [&](const auto& entry) { return entry.second.request.id == id; });
  return found == asking_.end() ? std::nullopt : std::optional(found->first);
}

QuotaClient::Asking* QuotaClient::Find(const QuotaRequestId& id) {
  const auto number = NumberOf(id);
  return number ? &asking_.at(*number) : nullptr;
}

std::optional<QuotaOutcome> QuotaClient::TakeOutcome(std::uint64_t number) {
  const auto found = asking_.find(number);
  if (found == asking_.end() || !found->second.outcome) return std::nullopt;
  QuotaOutcome outcome = std::move(*found->second.outcome);
  asking_.erase(found);
  return outcome;
}

QuotaOutbox QuotaClient::GiveBack(const QuotaTicket& ticket) {
  return {{ticket.holder, QuotaRefund{ticket.id}}};
}

}  // namespace ridgehold
