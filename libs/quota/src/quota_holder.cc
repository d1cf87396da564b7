#include "quota/quota_holder.h"

#include <algorithm>
#include <utility>

namespace ridgehold {

void QuotaHolder::SetLease(const std::optional<Lease>& lease) {
  holding_ = lease.has_value();
  if (!holding_ || (lease_ && lease->fencing_token == lease_->fencing_token)) return;
  lease_ = lease;
  accounts_.clear();
  ledger_.Clear();
  last_loan_ = 0;
}

QuotaOutbox QuotaHolder::Handle(const QuotaRequest& request, const std::string& from,
                                TimePoint now) {
  if (!holding_) return {{from, QuotaReply{request.id, QuotaVerdict::kNotHolder}}};
  if (const QuotaGrant* known = ledger_.Find(request.id)) return {{from, known->reply}};
  if (IsQueued(request.id)) return {};
  return HandleNewRequest(request, from, now);
}

QuotaOutbox QuotaHolder::HandleNewRequest(const QuotaRequest& request, const std::string& from,
                                          TimePoint now) {
  Account& account = FindOrCreateAccount(request, now);
  QuotaGrant grant;
  grant.subject = request.subject;
  if (request.is_loan) {
    grant.own = account.bucket.ConsumeUpTo(request.amount, now);
    grant.reply = {request.id, QuotaVerdict::kGranted, grant.own.amount};
    ledger_.Add(request.id, grant, now);
    return {{from, grant.reply}};
  }
  const QueuedRequest queued{request, from};
  QuotaOutbox outbox;
  const auto own =
      account.waiting.empty() ? account.bucket.TryConsume(request.amount, now) : std::nullopt;
  if (request.amount > scale_.FromTokens(account.limits.bursting.burst)) {
    grant.reply = {request.id, QuotaVerdict::kTooLarge};
    SendReply(account, queued, std::move(grant), outbox, now);
  } else if (own) {
    grant.reply = {request.id, QuotaVerdict::kGranted, request.amount};
    grant.own = *own;
    SendReply(account, queued, std::move(grant), outbox, now);
  } else if (account.waiting.size() >= kMaxWaiting ||
             IsKnownShortage(account, request.amount, now)) {
    const QuotaAmount available = account.shortage ? account.shortage->amount : 0;
    grant.reply = MakeErrorResponse(account, request, available, now);
    SendReply(account, queued, std::move(grant), outbox, now);
  } else {
    account.waiting.push_back(queued);
    if (account.waiting.size() == 1) ProcessQueue(account, outbox, now);
  }
  return outbox;
}

QuotaHolder::Account& QuotaHolder::FindOrCreateAccount(const QuotaRequest& request, TimePoint now) {
  if (accounts_.size() >= kMaxAccounts) EvictIdle(now);
  // Nothing has been granted to this subject, so its bucket has filled since the lease began.
  Account& account =
      accounts_.try_emplace(request.subject, request.limits, lease_->exclusive_since).first->second;
  ApplyLimits(account, request.limits, now);
  return account;
}

void QuotaHolder::EvictIdle(TimePoint now) {
  std::erase_if(accounts_, [&](const auto& entry) {
    return entry.second.waiting.empty() && entry.second.bucket.IsFull(now);
  });
}

void QuotaHolder::ApplyLimits(Account& account, const QuotaLimits& limits, TimePoint now) {
  if (limits.config_version <= account.limits.config_version) return;
  const bool changed =
      limits.bursting != account.limits.bursting || limits.steady != account.limits.steady;
  account.limits = limits;
  if (!changed) return;
  account.bucket.SetLimits(limits, now);
  account.shortage.reset();
  account.last_retry_at = {};
}

void QuotaHolder::UpdateLimits(const QuotaSubject& subject, const QuotaLimits& limits,
                               TimePoint now) {
  const auto account = accounts_.find(subject);
  if (account != accounts_.end()) ApplyLimits(account->second, limits, now);
}

bool QuotaHolder::IsKnownShortage(Account& account, QuotaAmount amount, TimePoint now) const {
  if (!account.shortage || now - account.shortage->at > options_.shortage_ttl) return false;
  const auto passed = std::chrono::duration_cast<Duration>(now - account.shortage->at);
  return account.shortage->amount + RefillPerMicrosecond(account) * passed.count() < amount;
}

void QuotaHolder::ProcessQueue(Account& account, QuotaOutbox& outbox, TimePoint now) {
  while (!account.waiting.empty() && ProcessFront(account, outbox, now)) {
    account.waiting.pop_front();
    account.borrowing.reset();
  }
}

bool QuotaHolder::ProcessFront(Account& account, QuotaOutbox& outbox, TimePoint now) {
  const QueuedRequest first = account.waiting.front();
  if (!account.borrowing) {
    account.borrowing = Borrowing{};
    account.borrowing->remaining_lenders = LendersInOrder(now);
    ++account.requests_with_loans;
  }
  Borrowing& borrowing = *account.borrowing;
  const QuotaAmount lacking = first.request.amount - borrowing.borrowed;
  QuotaGrant grant;
  grant.subject = first.request.subject;
  if (const auto own = account.bucket.TryConsume(lacking, now)) {
    grant.reply = {first.request.id, QuotaVerdict::kGranted, first.request.amount};
    grant.own = *own;
    grant.loans = std::move(borrowing.loans);
    SendReply(account, first, std::move(grant), outbox, now);
    return true;
  }
  const QuotaAmount missing = lacking - account.bucket.Available(now);
  if (AskNextLender(account, missing, outbox, now)) return false;
  const QuotaAmount available = account.bucket.Available(now) + borrowing.borrowed;
  ReturnLoans(borrowing.loans, outbox);
  account.shortage = Shortage{available, now};
  grant.reply = MakeErrorResponse(account, first.request, available, now);
  SendReply(account, first, std::move(grant), outbox, now);
  return true;
}

bool QuotaHolder::AskNextLender(Account& account, QuotaAmount missing, QuotaOutbox& outbox,
                                TimePoint now) {
  Borrowing& borrowing = *account.borrowing;
  if (borrowing.remaining_lenders.empty()) return false;
  borrowing.lender = borrowing.remaining_lenders.back();
  borrowing.remaining_lenders.pop_back();
  // The fencing token is the revision of the leased key, so no other process uses this id.
  borrowing.loan_id = {lease_->fencing_token, ++last_loan_};
  borrowing.until = now + options_.loan_timeout;
  const QuotaRequest loan{borrowing.loan_id, account.waiting.front().request.subject, missing, true,
                          account.limits};
  outbox.push_back({borrowing.lender, loan});
  return true;
}

QuotaOutbox QuotaHolder::Handle(const QuotaReply& reply, TimePoint now) {
  QuotaOutbox outbox;
  Account* account = holding_ ? FindBorrower(reply.id) : nullptr;
  // Too late: Tick() has already sent a refund for this loan.
  if (account == nullptr) return outbox;
  Borrowing& borrowing = *account->borrowing;
  if (reply.verdict == QuotaVerdict::kGranted && reply.granted > 0) {
    borrowing.loans.push_back({borrowing.lender, reply.id});
    borrowing.borrowed += reply.granted;
  }
  borrowing.loan_id = {};
  ProcessQueue(*account, outbox, now);
  return outbox;
}

QuotaOutbox QuotaHolder::Handle(const QuotaRefund& refund, TimePoint now) {
  QuotaOutbox outbox;
  if (!holding_) return outbox;
  for (auto& [subject, account] : accounts_) {
    const auto found =
        std::ranges::find(account.waiting, refund.id,
                          [](const QueuedRequest& waiting) { return waiting.request.id; });
    if (found == account.waiting.end()) continue;
    const bool first = found == account.waiting.begin();
    if (first && account.borrowing) {
      ReturnLoans(account.borrowing->loans, outbox);
      outbox.push_back({account.borrowing->lender, QuotaRefund{account.borrowing->loan_id}});
      account.borrowing.reset();
    }
    account.waiting.erase(found);
    ledger_.Revoke(refund.id, now);
    if (first) ProcessQueue(account, outbox, now);
    return outbox;
  }
  const auto grant = ledger_.Revoke(refund.id, now);
  if (!grant || grant->reply.granted == 0) return outbox;
  const auto account = accounts_.find(grant->subject);
  if (account == accounts_.end()) return outbox;
  account->second.bucket.Restore(grant->own, now);
  account->second.shortage.reset();
  ReturnLoans(grant->loans, outbox);
  return outbox;
}

QuotaOutbox QuotaHolder::Tick(TimePoint now) {
  QuotaOutbox outbox;
  if (!holding_) return outbox;
  for (auto& [subject, account] : accounts_) {
    if (!account.borrowing || now < account.borrowing->until) continue;
    cooldown_until_[account.borrowing->lender] = now + options_.lender_cooldown;
    // The lender may have granted the loan, with its reply lost or delayed.
    outbox.push_back({account.borrowing->lender, QuotaRefund{account.borrowing->loan_id}});
    account.borrowing->loan_id = {};
    ProcessQueue(account, outbox, now);
  }
  return outbox;
}

std::optional<TimePoint> QuotaHolder::NextTick() const {
  std::optional<TimePoint> next;
  for (const auto& [subject, account] : accounts_) {
    if (!holding_ || !account.borrowing) continue;
    next = next ? std::min(*next, account.borrowing->until) : account.borrowing->until;
  }
  return next;
}

void QuotaHolder::SendReply(Account& account, const QueuedRequest& done, QuotaGrant grant,
                            QuotaOutbox& outbox, TimePoint now) {
  ++(grant.reply.verdict == QuotaVerdict::kGranted ? account.granted : account.refused);
  outbox.push_back({done.from, grant.reply});
  ledger_.Add(done.request.id, std::move(grant), now);
}

QuotaReply QuotaHolder::MakeErrorResponse(Account& account, const QuotaRequest& request,
                                          QuotaAmount available, TimePoint now) {
  // Spreads the retry times of refused callers at the refill rate.
  const QuotaAmount refill_per_us = std::max<QuotaAmount>(1, RefillPerMicrosecond(account));
  const bool first = account.last_retry_at <= now;
  const QuotaAmount missing =
      first ? std::max<QuotaAmount>(0, request.amount - available) : request.amount;
  account.last_retry_at =
      std::max(account.last_retry_at, now) + Duration(missing / refill_per_us + 1);
  const auto wait = std::chrono::duration_cast<Duration>(account.last_retry_at - now);
  account.last_retry_at = std::min<TimePoint>(account.last_retry_at, now + kMaxRetryAfter);
  return {request.id, QuotaVerdict::kOverQuota, 0, std::min(wait, kMaxRetryAfter)};
}

QuotaAmount QuotaHolder::RefillPerMicrosecond(const Account& account) const {
  const QuotaLimits& limits = account.limits;
  const std::uint64_t rate = std::max(limits.bursting.tokens_per_s, limits.steady.tokens_per_s);
  return static_cast<QuotaAmount>(rate) * options_.shares;
}

void QuotaHolder::ReturnLoans(const std::vector<QuotaLoan>& loans, QuotaOutbox& outbox) {
  for (const QuotaLoan& loan : loans) outbox.push_back({loan.lender, QuotaRefund{loan.id}});
}

std::vector<std::string> QuotaHolder::LendersInOrder(TimePoint now) {
  std::vector<std::string> lenders;
  for (const std::string& lender : lenders_) {
    const auto silent = cooldown_until_.find(lender);
    if (silent == cooldown_until_.end() || silent->second <= now) lenders.push_back(lender);
  }
  if (lenders.empty()) return lenders;
  // Rotates the order, so that loans are spread over all lenders.
  const auto first = static_cast<std::ptrdiff_t>(rotation_++ % lenders.size());
  std::rotate(lenders.begin(), lenders.begin() + first, lenders.end());
  return lenders;
}

QuotaHolder::Account* QuotaHolder::FindBorrower(const QuotaRequestId& loan) {
  for (auto& [subject, account] : accounts_) {
    if (account.borrowing && account.borrowing->loan_id == loan) return &account;
  }
  return nullptr;
}

bool QuotaHolder::IsQueued(const QuotaRequestId& id) const {
  return std::ranges::any_of(accounts_, [&](const auto& entry) {
    return std::ranges::any_of(entry.second.waiting, [&](const QueuedRequest& waiting) {
      return waiting.request.id == id;
    });
  });
}

std::vector<QuotaHolder::Usage> QuotaHolder::Usages(TimePoint now) {
  std::vector<Usage> usages;
  for (auto& [subject, account] : accounts_) {
    const double level =
        static_cast<double>(account.bucket.Available(now)) / scale_.units_per_token();
    usages.push_back({subject, account.limits, level, account.granted, account.refused,
                      account.requests_with_loans, account.waiting.size()});
  }
  return usages;
}

}  // namespace ridgehold
