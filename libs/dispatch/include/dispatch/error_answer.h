// The answer to a caller whose request failed, in OpenAI's JSON shape.

#pragma once

#include <chrono>
#include <string>

#include "base/result.h"
#include "http/headers.h"

namespace ridgehold {

/// Status, headers and body of an error.
struct ErrorAnswer {
  int status = 500;
  Headers headers;
  std::string body;
};

/// Used where no better estimate is at hand.
inline constexpr std::chrono::seconds kDefaultRetryAfter{1};

/// Makes the answer for `failure`. `Retry-After` is there when its code says
/// that retrying later helps.
ErrorAnswer MakeErrorAnswer(const Failure& failure,
                            std::chrono::seconds retry_after = kDefaultRetryAfter);

}  // namespace ridgehold
