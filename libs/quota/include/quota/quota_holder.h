// Grants tokens of one share of each quota, and borrows from the other shares.

#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "quota/grant_ledger.h"
#include "quota/quota_messages.h"
#include "quota/token_bucket.h"

namespace ridgehold {

/// Every availability zone has an equal share of each quota, and one instance of the
/// zone holds it, under a lease. It grants by a token bucket that starts empty, so
/// whatever its predecessor granted, and whichever zones are cut off, all holders
/// together never grant more than the quota. A zone that needs more than its share
/// borrows, for one request at a time; what did not suffice goes back.
///
/// A state machine: messages and time come in, messages go out. Not thread-safe.
class QuotaHolder {
 public:
  struct Options {
    std::uint32_t shares = 1;  ///< of a quota, one for each availability zone
    /// A round trip between zones takes 2 to 6 ms; an instance with an eighth of a
    /// core is at another request for some 10 ms.
    std::chrono::milliseconds loan_patience{20};
    /// A lender that has not answered is not asked for so long.
    std::chrono::milliseconds lender_silence{1'000};
    /// How long what was found at the lenders is taken to be all there is.
    std::chrono::milliseconds shortage_known{200};

    bool operator==(const Options&) const = default;
  };

  /// A subject's state here, for operators.
  struct Usage {
    QuotaSubject subject;
    QuotaTerms terms;
    double level = 0;  ///< tokens of this share that are left
    std::uint64_t granted = 0;
    std::uint64_t refused = 0;
    std::uint64_t borrowed_for = 0;  ///< requests that needed a loan
    std::size_t waiting = 0;         ///< for loans
  };

  explicit QuotaHolder(Options options) : options_(options), scale_(options.shares) {}

  /// A taking of the share's key.
  struct Taking {
    std::uint64_t fencing = 0;  ///< differs for each
    TimePoint sole_since{};     ///< since when nobody else can have granted

    bool operator==(const Taking&) const = default;
  };

  /// Tells whether this instance may grant now, and by which taking: nothing, it may not.
  /// Another taking begins with buckets that were empty when it became the only one.
  void SetHeld(const std::optional<Taking>& taking);

  /// What this instance has heard of the subject's quota; newer terms are taken, so that
  /// a raised one helps before the next request comes.
  void NoteTerms(const QuotaSubject& subject, const QuotaTerms& terms, TimePoint now);

  /// The holders of the other shares.
  void SetLenders(std::vector<std::string> addresses) { lenders_ = std::move(addresses); }

  QuotaOutbox Take(const QuotaRequest& request, const std::string& from, TimePoint now);
  QuotaOutbox Take(const QuotaReply& reply, TimePoint now);
  QuotaOutbox Take(const QuotaRefund& refund, TimePoint now);

  /// Goes on without lenders that have not answered by `now`.
  QuotaOutbox Tick(TimePoint now);
  /// When Tick is due; nothing while no loan is waited for.
  std::optional<TimePoint> NextTick() const;

  std::vector<Usage> Usages(TimePoint now);
  bool holding() const { return acting_; }

  bool operator==(const QuotaHolder&) const = default;

 private:
  /// A request that waits for its turn to borrow.
  struct Waiting {
    QuotaRequest request;
    std::string from;

    bool operator==(const Waiting&) const = default;
  };
  /// What the first of those that wait has got from other shares.
  struct Borrowing {
    std::vector<QuotaLoan> loans;
    QuotaParts borrowed = 0;
    std::vector<std::string> lenders_left;
    QuotaRequestId asked;
    std::string lender;
    TimePoint until{};

    bool operator==(const Borrowing&) const = default;
  };
  /// What all shares had when borrowing last failed.
  struct Shortage {
    QuotaParts parts = 0;
    TimePoint at{};

    bool operator==(const Shortage&) const = default;
  };
  struct Account {
    Account(const QuotaTerms& account_terms, TimePoint empty_at)
        : terms(account_terms), bucket(account_terms, empty_at) {}

    QuotaTerms terms;
    TokenBucket bucket;
    std::deque<Waiting> waiting;
    std::optional<Borrowing> borrowing;
    std::optional<Shortage> shortage;
    TimePoint told_until{};  ///< callers that were refused have been told to come by then
    std::uint64_t granted = 0;
    std::uint64_t refused = 0;
    std::uint64_t borrowed_for = 0;

    bool operator==(const Account&) const = default;
  };

  /// Beyond this many that wait for loans a request is refused: at 10 ms each the
  /// last would wait longer than its caller's patience for a plain call.
  static constexpr std::size_t kMostWaiting = 16;
  /// Backend servers come and go; above this those that are idle are forgotten.
  static constexpr std::size_t kMostAccounts = 4'096;
  static constexpr Duration kLongestRetryAfter = std::chrono::seconds(5);

  Account& AccountOf(const QuotaRequest& request, TimePoint now);
  /// Forgets what a new account would be like.
  void DropIdle(TimePoint now);
  static void TakeTerms(Account& account, const QuotaTerms& terms, TimePoint now);
  QuotaOutbox Decide(const QuotaRequest& request, const std::string& from, TimePoint now);
  bool KnownShort(Account& account, QuotaParts parts, TimePoint now) const;
  /// Grants, asks the next lender or refuses, until somebody has to be waited for.
  void Proceed(Account& account, QuotaOutbox& outbox, TimePoint now);
  /// Returns whether the first of those that wait is done with.
  bool ProceedWithFirst(Account& account, QuotaOutbox& outbox, TimePoint now);
  bool AskNextLender(Account& account, QuotaParts missing, QuotaOutbox& outbox, TimePoint now);
  void Answer(Account& account, const Waiting& done, QuotaGrant grant, QuotaOutbox& outbox,
              TimePoint now);
  QuotaReply Refusal(Account& account, const QuotaRequest& request, QuotaParts there,
                     TimePoint now);
  /// What comes into all shares together.
  QuotaParts PartsEachUs(const Account& account) const;
  static void GiveBack(const std::vector<QuotaLoan>& loans, QuotaOutbox& outbox);
  std::vector<std::string> LendersInTurn(TimePoint now);
  Account* WaitingFor(const QuotaRequestId& loan);
  bool IsWaiting(const QuotaRequestId& id) const;

  Options options_;
  QuotaScale scale_;
  std::optional<Taking> taking_;  ///< the last one
  bool acting_ = false;
  std::vector<std::string> lenders_;
  std::map<std::string, TimePoint> silent_until_;  ///< by lender
  std::map<QuotaSubject, Account> accounts_;
  GrantLedger ledger_;
  std::uint64_t last_loan_ = 0;
  std::uint64_t turn_ = 0;
};

}  // namespace ridgehold
