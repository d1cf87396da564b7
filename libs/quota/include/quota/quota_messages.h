// Messages by which instances hold a quota together.

#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "base/ids.h"
#include "quota/quota_subject.h"
#include "quota/token_bucket.h"
#include "quota/workspace_quota.h"

namespace ridgehold {

/// Names a request for tokens. No two requests have the same: the incarnation is
/// drawn anew by each process, which numbers its requests.
struct QuotaRequestId {
  std::uint64_t incarnation = 0;
  std::uint64_t number = 0;

  auto operator<=>(const QuotaRequestId&) const = default;
};

/// Asks the holder of a share for tokens. The same may be sent again: it is
/// granted once.
struct QuotaRequest {
  QuotaRequestId id;
  QuotaSubject subject;
  QuotaParts parts = 0;
  /// From the holder of another share, which lacks so much: it takes less, too,
  /// and the one asked borrows nothing for it.
  bool is_loan = false;
  QuotaTerms terms;  ///< as known to the one that asks

  bool operator==(const QuotaRequest&) const = default;
};

/// What became of a request for tokens.
enum class QuotaVerdict : std::uint8_t {
  kGranted,
  kOverQuota,  ///< the workspace has used what it may
  kTooLarge,   ///< more than the burst, so it can never be granted
  kNotHolder,  ///< the one asked holds no share now
};

struct QuotaReply {
  QuotaRequestId id;
  QuotaVerdict verdict = QuotaVerdict::kNotHolder;
  QuotaParts granted = 0;   ///< of a loan, less than was asked for or even nothing
  Duration retry_after{0};  ///< kOverQuota: when it may be granted

  bool operator==(const QuotaReply&) const = default;
};

/// What was granted was not used, or the one that asked has given up waiting.
struct QuotaRefund {
  QuotaRequestId id;

  bool operator==(const QuotaRefund&) const = default;
};

using QuotaMessage = std::variant<QuotaRequest, QuotaReply, QuotaRefund>;

/// On one line, for people.
std::string ToText(const QuotaMessage& message);

/// A message and the address, without a port, of the instance it goes to.
struct QuotaOutgoing {
  std::string to;
  QuotaMessage message;

  bool operator==(const QuotaOutgoing&) const = default;
};
using QuotaOutbox = std::vector<QuotaOutgoing>;

}  // namespace ridgehold
