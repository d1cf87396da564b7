// The answers a gateway gives by itself.

#pragma once

#include <chrono>
#include <optional>

#include "base/ids.h"
#include "base/result.h"
#include "net/beast.h"

namespace ridgehold {

/// Used where no better estimate of when to come back is at hand.
inline constexpr std::chrono::milliseconds kDefaultRetryAfter{150};

/// Makes the answer for `failure`: a JSON error, the numbered code in
/// `X-Ridgehold-Code`, and `Retry-After` where coming back helps.
ResponseMessage MakeRefusal(const Failure& failure, const RequestId& request,
                            std::chrono::milliseconds retry_after = kDefaultRetryAfter);

}  // namespace ridgehold
