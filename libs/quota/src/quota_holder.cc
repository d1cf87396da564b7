#include "quota/quota_holder.h"

#include <algorithm>
#include <utility>

namespace ridgehold {

void QuotaHolder::SetHeld(const std::optional<Taking>& taking) {
  acting_ = taking.has_value();
  if (!acting_ || (taking_ && taking->fencing == taking_->fencing)) return;
  taking_ = taking;
  accounts_.clear();
  ledger_.Clear();
  last_loan_ = 0;
}

QuotaOutbox QuotaHolder::Take(const QuotaRequest& request, const std::string& from, TimePoint now) {
  if (!acting_) return {{from, QuotaReply{request.id, QuotaVerdict::kNotHolder}}};
  if (const QuotaGrant* known = ledger_.Find(request.id)) return {{from, known->reply}};
  if (IsWaiting(request.id)) return {};
  return Decide(request, from, now);
}

QuotaOutbox QuotaHolder::Decide(const QuotaRequest& request, const std::string& from,
                                TimePoint now) {
  Account& account = AccountOf(request, now);
  QuotaGrant grant;
  grant.subject = request.subject;
  if (request.is_loan) {
    grant.own = account.bucket.TakeUpTo(request.parts, now);
    grant.reply = {request.id, QuotaVerdict::kGranted, grant.own.parts};
    ledger_.Add(request.id, grant, now);
    return {{from, grant.reply}};
  }
  const Waiting asked{request, from};
  QuotaOutbox outbox;
  const auto own = account.waiting.empty() ? account.bucket.Take(request.parts, now) : std::nullopt;
  if (request.parts > scale_.Of(account.terms.bursting.burst)) {
    grant.reply = {request.id, QuotaVerdict::kTooLarge};
    Answer(account, asked, std::move(grant), outbox, now);
  } else if (own) {
    grant.reply = {request.id, QuotaVerdict::kGranted, request.parts};
    grant.own = *own;
    Answer(account, asked, std::move(grant), outbox, now);
  } else if (account.waiting.size() >= kMostWaiting || KnownShort(account, request.parts, now)) {
    const QuotaParts there = account.shortage ? account.shortage->parts : 0;
    grant.reply = Refusal(account, request, there, now);
    Answer(account, asked, std::move(grant), outbox, now);
  } else {
    account.waiting.push_back(asked);
    if (account.waiting.size() == 1) Proceed(account, outbox, now);
  }
  return outbox;
}

QuotaHolder::Account& QuotaHolder::AccountOf(const QuotaRequest& request, TimePoint now) {
  if (accounts_.size() >= kMostAccounts) DropIdle(now);
  // Nothing was granted before, so the bucket has filled since the share was taken.
  Account& account =
      accounts_.try_emplace(request.subject, request.terms, taking_->sole_since).first->second;
  TakeTerms(account, request.terms, now);
  return account;
}

void QuotaHolder::DropIdle(TimePoint now) {
  std::erase_if(accounts_, [&](const auto& entry) {
    return entry.second.waiting.empty() && entry.second.bucket.IsFull(now);
  });
}

void QuotaHolder::TakeTerms(Account& account, const QuotaTerms& terms, TimePoint now) {
  if (terms.config_version <= account.terms.config_version) return;
  const bool changed =
      terms.bursting != account.terms.bursting || terms.steady != account.terms.steady;
  account.terms = terms;
  if (!changed) return;
  account.bucket.SetTerms(terms, now);
  account.shortage.reset();
  account.told_until = {};
}

void QuotaHolder::NoteTerms(const QuotaSubject& subject, const QuotaTerms& terms, TimePoint now) {
  const auto account = accounts_.find(subject);
  if (account != accounts_.end()) TakeTerms(account->second, terms, now);
}

bool QuotaHolder::KnownShort(Account& account, QuotaParts parts, TimePoint now) const {
  if (!account.shortage || now - account.shortage->at > options_.shortage_known) return false;
  const auto passed = std::chrono::duration_cast<Duration>(now - account.shortage->at);
  return account.shortage->parts + PartsEachUs(account) * passed.count() < parts;
}

void QuotaHolder::Proceed(Account& account, QuotaOutbox& outbox, TimePoint now) {
  while (!account.waiting.empty() && ProceedWithFirst(account, outbox, now)) {
    account.waiting.pop_front();
    account.borrowing.reset();
  }
}

bool QuotaHolder::ProceedWithFirst(Account& account, QuotaOutbox& outbox, TimePoint now) {
  const Waiting first = account.waiting.front();
  if (!account.borrowing) {
    account.borrowing = Borrowing{};
    account.borrowing->lenders_left = LendersInTurn(now);
    ++account.borrowed_for;
  }
  Borrowing& borrowing = *account.borrowing;
  const QuotaParts lacking = first.request.parts - borrowing.borrowed;
  QuotaGrant grant;
  grant.subject = first.request.subject;
  if (const auto own = account.bucket.Take(lacking, now)) {
    grant.reply = {first.request.id, QuotaVerdict::kGranted, first.request.parts};
    grant.own = *own;
    grant.loans = std::move(borrowing.loans);
    Answer(account, first, std::move(grant), outbox, now);
    return true;
  }
  const QuotaParts missing = lacking - account.bucket.Level(now);
  if (AskNextLender(account, missing, outbox, now)) return false;
  const QuotaParts there = account.bucket.Level(now) + borrowing.borrowed;
  GiveBack(borrowing.loans, outbox);
  account.shortage = Shortage{there, now};
  grant.reply = Refusal(account, first.request, there, now);
  Answer(account, first, std::move(grant), outbox, now);
  return true;
}

bool QuotaHolder::AskNextLender(Account& account, QuotaParts missing, QuotaOutbox& outbox,
                                TimePoint now) {
  Borrowing& borrowing = *account.borrowing;
  if (borrowing.lenders_left.empty()) return false;
  borrowing.lender = borrowing.lenders_left.back();
  borrowing.lenders_left.pop_back();
  // The key's revision differs by holder and by taking, so no other process uses it.
  borrowing.asked = {taking_->fencing, ++last_loan_};
  borrowing.until = now + options_.loan_patience;
  const QuotaRequest loan{borrowing.asked, account.waiting.front().request.subject, missing, true,
                          account.terms};
  outbox.push_back({borrowing.lender, loan});
  return true;
}

QuotaOutbox QuotaHolder::Take(const QuotaReply& reply, TimePoint now) {
  QuotaOutbox outbox;
  Account* account = acting_ ? WaitingFor(reply.id) : nullptr;
  // Too late: what was granted goes back, or is lost with the message. The loan that
  // was asked for is refunded by Tick already.
  if (account == nullptr) return outbox;
  Borrowing& borrowing = *account->borrowing;
  if (reply.verdict == QuotaVerdict::kGranted && reply.granted > 0) {
    borrowing.loans.push_back({borrowing.lender, reply.id});
    borrowing.borrowed += reply.granted;
  }
  borrowing.asked = {};
  Proceed(*account, outbox, now);
  return outbox;
}

QuotaOutbox QuotaHolder::Take(const QuotaRefund& refund, TimePoint now) {
  QuotaOutbox outbox;
  if (!acting_) return outbox;
  for (auto& [subject, account] : accounts_) {
    const auto found = std::ranges::find(account.waiting, refund.id,
                                         [](const Waiting& waiting) { return waiting.request.id; });
    if (found == account.waiting.end()) continue;
    const bool first = found == account.waiting.begin();
    if (first && account.borrowing) {
      GiveBack(account.borrowing->loans, outbox);
      outbox.push_back({account.borrowing->lender, QuotaRefund{account.borrowing->asked}});
      account.borrowing.reset();
    }
    account.waiting.erase(found);
    ledger_.Withdraw(refund.id, now);
    if (first) Proceed(account, outbox, now);
    return outbox;
  }
  const auto grant = ledger_.Withdraw(refund.id, now);
  if (!grant || grant->reply.granted == 0) return outbox;
  const auto account = accounts_.find(grant->subject);
  if (account == accounts_.end()) return outbox;
  account->second.bucket.PutBack(grant->own, now);
  account->second.shortage.reset();
  GiveBack(grant->loans, outbox);
  return outbox;
}

QuotaOutbox QuotaHolder::Tick(TimePoint now) {
  QuotaOutbox outbox;
  if (!acting_) return outbox;
  for (auto& [subject, account] : accounts_) {
    if (!account.borrowing || now < account.borrowing->until) continue;
    silent_until_[account.borrowing->lender] = now + options_.lender_silence;
    // It may have granted, and its answer be lost or late.
    outbox.push_back({account.borrowing->lender, QuotaRefund{account.borrowing->asked}});
    account.borrowing->asked = {};
    Proceed(account, outbox, now);
  }
  return outbox;
}

std::optional<TimePoint> QuotaHolder::NextTick() const {
  std::optional<TimePoint> next;
  for (const auto& [subject, account] : accounts_) {
    if (!acting_ || !account.borrowing) continue;
    next = next ? std::min(*next, account.borrowing->until) : account.borrowing->until;
  }
  return next;
}

void QuotaHolder::Answer(Account& account, const Waiting& done, QuotaGrant grant,
                         QuotaOutbox& outbox, TimePoint now) {
  ++(grant.reply.verdict == QuotaVerdict::kGranted ? account.granted : account.refused);
  outbox.push_back({done.from, grant.reply});
  ledger_.Add(done.request.id, std::move(grant), now);
}

QuotaReply QuotaHolder::Refusal(Account& account, const QuotaRequest& request, QuotaParts there,
                                TimePoint now) {
  // Those that are told to come back come one after the other, as the tokens do.
  const QuotaParts each_us = std::max<QuotaParts>(1, PartsEachUs(account));
  const bool first = account.told_until <= now;
  const QuotaParts missing = first ? std::max<QuotaParts>(0, request.parts - there) : request.parts;
  account.told_until = std::max(account.told_until, now) + Duration(missing / each_us + 1);
  const auto wait = std::chrono::duration_cast<Duration>(account.told_until - now);
  account.told_until = std::min<TimePoint>(account.told_until, now + kLongestRetryAfter);
  return {request.id, QuotaVerdict::kOverQuota, 0, std::min(wait, kLongestRetryAfter)};
}

QuotaParts QuotaHolder::PartsEachUs(const Account& account) const {
  const QuotaTerms& terms = account.terms;
  const std::uint64_t rate = std::max(terms.bursting.tokens_per_s, terms.steady.tokens_per_s);
  return static_cast<QuotaParts>(rate) * options_.shares;
}

void QuotaHolder::GiveBack(const std::vector<QuotaLoan>& loans, QuotaOutbox& outbox) {
  for (const QuotaLoan& loan : loans) outbox.push_back({loan.lender, QuotaRefund{loan.id}});
}

std::vector<std::string> QuotaHolder::LendersInTurn(TimePoint now) {
  std::vector<std::string> lenders;
  for (const std::string& lender : lenders_) {
    const auto silent = silent_until_.find(lender);
    if (silent == silent_until_.end() || silent->second <= now) lenders.push_back(lender);
  }
  if (lenders.empty()) return lenders;
  // Another one first each time, so that all lend alike.
  const auto first = static_cast<std::ptrdiff_t>(turn_++ % lenders.size());
  std::rotate(lenders.begin(), lenders.begin() + first, lenders.end());
  return lenders;
}

QuotaHolder::Account* QuotaHolder::WaitingFor(const QuotaRequestId& loan) {
  for (auto& [subject, account] : accounts_) {
    if (account.borrowing && account.borrowing->asked == loan) return &account;
  }
  return nullptr;
}

bool QuotaHolder::IsWaiting(const QuotaRequestId& id) const {
  return std::ranges::any_of(accounts_, [&](const auto& entry) {
    return std::ranges::any_of(entry.second.waiting,
                               [&](const Waiting& waiting) { return waiting.request.id == id; });
  });
}

std::vector<QuotaHolder::Usage> QuotaHolder::Usages(TimePoint now) {
  std::vector<Usage> usages;
  for (auto& [subject, account] : accounts_) {
    const double level = static_cast<double>(account.bucket.Level(now)) / scale_.token();
    usages.push_back({subject, account.terms, level, account.granted, account.refused,
                      account.borrowed_for, account.waiting.size()});
  }
  return usages;
}

}  // namespace ridgehold
