// What the holder of a share has granted lately: answers to repeat, grants to take back.

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

/// Another holder's tokens within a grant.
struct QuotaLoan {
  std::string lender;  ///< address
  QuotaRequestId id;   ///< of the request for it

  bool operator==(const QuotaLoan&) const = default;
};

/// A request that was answered.
struct QuotaGrant {
  QuotaSubject subject;
  QuotaReply reply;
  QuotaTaken own;  ///< of the holder's own share
  std::vector<QuotaLoan> loans;

  bool operator==(const QuotaGrant&) const = default;
};

/// Bounded: the oldest go first. A request that is repeated after it was forgotten is
/// granted a second time, and a refund is lost; both only make the quota smaller.
class GrantLedger {
 public:
  /// Longer than a request waits at a gateway, which is three objectives of 0.6 s.
  static constexpr std::chrono::seconds kRemembered{4};
  /// Some 1,000 requests a second for as long as that.
  static constexpr std::size_t kMostGrants = 4'096;

  void Add(const QuotaRequestId& id, QuotaGrant grant, TimePoint now);
  /// Null when it is not known.
  const QuotaGrant* Find(const QuotaRequestId& id) const;
  /// Takes a grant out, so that it is given back once. Its request stays refused: one
  /// that arrives late would else be granted, with nobody waiting for it.
  std::optional<QuotaGrant> Withdraw(const QuotaRequestId& id, TimePoint now);
  void Clear();

  bool operator==(const GrantLedger&) const = default;

 private:
  struct Entry {
    QuotaRequestId id;
    TimePoint until{};

    bool operator==(const Entry&) const = default;
  };

  void Expire(TimePoint now);

  std::map<QuotaRequestId, QuotaGrant> grants_;
  std::deque<Entry> order_;
};

}  // namespace ridgehold
