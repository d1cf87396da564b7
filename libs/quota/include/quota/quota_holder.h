// Grants tokens from one share of each quota, and borrows from the other shares.

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

/// Each availability zone has an equal share of each quota, held by one of its instances under a
/// lease. Tokens are granted from a token bucket that starts empty, so all holders together never
/// grant more than the quota, whatever a previous holder granted and whichever zones are
/// partitioned. A zone that needs more than its share borrows for one request at a time, and
/// refunds the loans if they do not cover the request.
///
/// A state machine without I/O: messages and time are passed in, messages are returned. Not
/// thread-safe.
class QuotaHolder {
 public:
  struct Options {
    std::uint32_t shares = 1;  ///< per quota; one for each availability zone
    /// A round trip between zones takes 2 to 6 ms; an instance limited to an eighth of a core may
    /// be busy with another request for about 10 ms.
    std::chrono::milliseconds loan_timeout{20};
    /// A lender that timed out is not asked for this long.
    std::chrono::milliseconds lender_cooldown{1'000};
    /// How long a Shortage is valid.
    std::chrono::milliseconds shortage_ttl{200};

    bool operator==(const Options&) const = default;
  };

  /// The state of one subject at this holder, for operators.
  struct Usage {
    QuotaSubject subject;
    QuotaLimits limits;
    double level = 0;  ///< tokens available in this share
    std::uint64_t granted = 0;
    std::uint64_t refused = 0;
    std::uint64_t requests_with_loans = 0;
    std::size_t waiting = 0;  ///< requests waiting for loans
  };

  explicit QuotaHolder(Options options) : options_(options), scale_(options.shares) {}

  /// A lease on the share's key.
  struct Lease {
    std::uint64_t fencing_token = 0;  ///< unique to each lease
    TimePoint exclusive_since{};      ///< no other holder can have granted after this

    bool operator==(const Lease&) const = default;
  };

  /// Sets the lease under which this instance may grant; nullopt if it may not. A new lease starts
  /// with buckets that were empty at its `exclusive_since`.
  void SetLease(const std::optional<Lease>& lease);

  /// Updates the limits if `limits` is newer, so that a raised quota takes effect before the next
  /// request arrives.
  void UpdateLimits(const QuotaSubject& subject, const QuotaLimits& limits, TimePoint now);

  /// Sets the holders of the other shares.
  void SetLenders(std::vector<std::string> addresses) { lenders_ = std::move(addresses); }

  QuotaOutbox Handle(const QuotaRequest& request, const std::string& from, TimePoint now);
  QuotaOutbox Handle(const QuotaReply& reply, TimePoint now);
  QuotaOutbox Handle(const QuotaRefund& refund, TimePoint now);

  /// Continues without lenders that have not answered by `now`.
  QuotaOutbox Tick(TimePoint now);
  /// Returns when Tick() is due; nullopt while no loan is pending.
  std::optional<TimePoint> NextTick() const;

  std::vector<Usage> Usages(TimePoint now);
  bool holding() const { return holding_; }

  bool operator==(const QuotaHolder&) const = default;

 private:
  /// A request queued for a loan.
  struct QueuedRequest {
    QuotaRequest request;
    std::string from;

    bool operator==(const QueuedRequest&) const = default;
  };
  /// The loans obtained so far for the request at the head of the queue.
  struct Borrowing {
    std::vector<QuotaLoan> loans;
    QuotaAmount borrowed = 0;
    std::vector<std::string> remaining_lenders;
    QuotaRequestId loan_id;
    std::string lender;
    TimePoint until{};

    bool operator==(const Borrowing&) const = default;
  };
  /// The amount available in all shares when borrowing last failed. Larger requests are refused
  /// without asking the lenders again.
  struct Shortage {
    QuotaAmount amount = 0;
    TimePoint at{};

    bool operator==(const Shortage&) const = default;
  };
  struct Account {
    Account(const QuotaLimits& account_limits, TimePoint empty_at)
        : limits(account_limits), bucket(account_limits, empty_at) {}

    QuotaLimits limits;
    TokenBucket bucket;
    std::deque<QueuedRequest> waiting;
    std::optional<Borrowing> borrowing;
    std::optional<Shortage> shortage;
    TimePoint last_retry_at{};  ///< end of the last retry interval sent in a refusal
    std::uint64_t granted = 0;
    std::uint64_t refused = 0;
    std::uint64_t requests_with_loans = 0;

    bool operator==(const Account&) const = default;
  };

  /// Requests beyond this queue length are refused: at 10 ms for each loan the last would wait past
  /// the deadline of a non-streaming call.
  static constexpr std::size_t kMaxWaiting = 16;
  /// Backend servers come and go; above this many accounts, idle ones are evicted.
  static constexpr std::size_t kMaxAccounts = 4'096;
  static constexpr Duration kMaxRetryAfter = std::chrono::seconds(5);

  Account& FindOrCreateAccount(const QuotaRequest& request, TimePoint now);
  /// Evicts accounts whose state equals that of a new account.
  void EvictIdle(TimePoint now);
  static void ApplyLimits(Account& account, const QuotaLimits& limits, TimePoint now);
  QuotaOutbox HandleNewRequest(const QuotaRequest& request, const std::string& from, TimePoint now);
  bool IsKnownShortage(Account& account, QuotaAmount amount, TimePoint now) const;
  /// Processes the queue until a lender's answer has to be awaited.
  void ProcessQueue(Account& account, QuotaOutbox& outbox, TimePoint now);
  /// Returns whether the request at the head of the queue was answered.
  bool ProcessFront(Account& account, QuotaOutbox& outbox, TimePoint now);
  bool AskNextLender(Account& account, QuotaAmount missing, QuotaOutbox& outbox, TimePoint now);
  void SendReply(Account& account, const QueuedRequest& done, QuotaGrant grant, QuotaOutbox& outbox,
                 TimePoint now);
  QuotaReply MakeErrorResponse(Account& account, const QuotaRequest& request, QuotaAmount available,
                               TimePoint now);
  /// Refill rate of all shares together, in units per microsecond.
  QuotaAmount RefillPerMicrosecond(const Account& account) const;
  static void ReturnLoans(const std::vector<QuotaLoan>& loans, QuotaOutbox& outbox);
  std::vector<std::string> LendersInOrder(TimePoint now);
  Account* FindBorrower(const QuotaRequestId& loan);
  bool IsQueued(const QuotaRequestId& id) const;

  Options options_;
  QuotaScale scale_;
  std::optional<Lease> lease_;  ///< current or most recent
  bool holding_ = false;
  std::vector<std::string> lenders_;
  std::map<std::string, TimePoint> cooldown_until_;  ///< by lender
  std::map<QuotaSubject, Account> accounts_;
  GrantLedger ledger_;
  std::uint64_t last_loan_ = 0;
  std::uint64_t rotation_ = 0;
};

}  // namespace ridgehold
