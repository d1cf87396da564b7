// Recent grants of a share holder, kept to answer retransmissions and to process refunds.

#pragma once

#include <chrono>
#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "quota/quota_messages.h"

namespace ridgehold {

/// The part of a grant that was borrowed from the holder of another share.
struct QuotaLoan {
  std::string lender;  ///< address of the lending holder
  QuotaRequestId id;   ///< of the loan request

  bool operator==(const QuotaLoan&) const = default;
};

/// An answered request.
struct QuotaGrant {
  QuotaSubject subject;
  QuotaReply reply;
  ConsumedTokens own;  ///< consumed from the holder's own share
  std::vector<QuotaLoan> loans;

  bool operator==(const QuotaGrant&) const = default;
};

/// Bounded; the oldest entries are evicted first. A request retransmitted after its entry was
/// evicted is granted a second time, and a refund is ignored. Both errors only reduce the usable
/// quota.
class GrantLedger {
 public:
  /// Longer than a request waits at a gateway, which is three latency objectives of 0.6 s.
  static constexpr std::chrono::seconds kRetention{4};
  /// Sized for about 1,000 requests per second over the retention period.
  static constexpr std::size_t kMaxGrants = 4'096;

  void Add(const QuotaRequestId& id, QuotaGrant grant, TimePoint now);
  /// Returns null if the request is unknown.
  const QuotaGrant* Find(const QuotaRequestId& id) const;
  /// Removes and returns a grant, so that it is refunded once. The request itself stays refused: a
  /// delayed duplicate would otherwise be granted with nobody waiting for it.
  std::optional<QuotaGrant> Revoke(const QuotaRequestId& id, TimePoint now);
  void Clear();

  bool operator==(const GrantLedger&) const = default;

 private:
  struct Entry {
    QuotaRequestId id;
    TimePoint expires_at{};

    bool operator==(const Entry&) const = default;
  };

  void Expire(TimePoint now);

  std::map<QuotaRequestId, QuotaGrant> grants_;
  std::deque<Entry> expiry_queue_;
};

}  // namespace ridgehold
