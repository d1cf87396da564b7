// Messages between instances that enforce a quota together.

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

/// Identifies a request for tokens, uniquely: each process draws a random incarnation and numbers
/// its requests.
struct QuotaRequestId {
  std::uint64_t incarnation = 0;
  std::uint64_t number = 0;

  auto operator<=>(const QuotaRequestId&) const = default;
};

/// Requests tokens from the holder of a share. Idempotent: a retransmission is not granted twice.
struct QuotaRequest {
  QuotaRequestId id;
  QuotaSubject subject;
  QuotaAmount amount = 0;
  /// The sender holds another share and borrows the amount that its own share lacks. The receiver
  /// may grant a part, and does not borrow in turn.
  bool is_loan = false;
  QuotaLimits limits;  ///< as known to the sender

  bool operator==(const QuotaRequest&) const = default;
};

/// The result of a request for tokens.
enum class QuotaVerdict : std::uint8_t {
  kGranted,
  kOverQuota,  ///< the workspace has used up its quota
  kTooLarge,   ///< exceeds the burst, so it can never be granted
  kNotHolder,  ///< the receiver holds no share at present
};

struct QuotaReply {
  QuotaRequestId id;
  QuotaVerdict verdict = QuotaVerdict::kNotHolder;
  QuotaAmount granted = 0;  ///< a loan may be granted in part or not at all
  Duration retry_after{0};  ///< with kOverQuota: when a retry may succeed

  bool operator==(const QuotaReply&) const = default;
};

/// Cancels a request or its grant: the requester has stopped waiting, or did not use the tokens.
struct QuotaRefund {
  QuotaRequestId id;

  bool operator==(const QuotaRefund&) const = default;
};

using QuotaMessage = std::variant<QuotaRequest, QuotaReply, QuotaRefund>;

/// Formats a message on one line for diagnostics.
std::string ToText(const QuotaMessage& message);

/// A message and its destination address, without a port.
struct QuotaOutgoing {
  std::string to;
  QuotaMessage message;

  bool operator==(const QuotaOutgoing&) const = default;
};
using QuotaOutbox = std::vector<QuotaOutgoing>;

}  // namespace ridgehold
