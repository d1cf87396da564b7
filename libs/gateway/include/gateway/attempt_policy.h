// What follows an attempt: deliver its answer, try again, or give up truthfully.

#pragma once

#include <cstdint>

#include "base/result_code.h"
#include "gateway/routing_snapshot.h"

namespace ridgehold {

/// How an attempt ended.
enum class AttemptEnd : std::uint8_t {
  kStreamed,    ///< every event was passed on
  kAnswered,    ///< a whole answer is at hand
  kNotSent,     ///< nothing of the request was sent
  kBroken,      ///< it broke off, or what came cannot be the answer
  kTimedOut,    ///< no answer in time
  kCallerGone,  ///< ended because the caller left
  kSkipped,     ///< not sent: the backend server may no longer be used
  kWithdrawn,   ///< ended since no event came before its weights got too old
};

/// All that the next step depends on.
struct AttemptFacts {
  AttemptEnd end = AttemptEnd::kBroken;
  int status = 0;             ///< of kAnswered
  bool not_executed = false;  ///< the backend server states that it did not run the request
  bool has_signature = false;
  bool may_repeat = false;     ///< the request may run more than once
  bool stream_begun = false;   ///< the caller has some events already
  bool may_have_run = false;   ///< this or an earlier attempt
  std::uint32_t runs = 0;      ///< attempts that may have run, this one included
  std::uint32_t max_runs = 1;  ///< the route's limit
  std::uint32_t sends = 0;     ///< attempts of any outcome
  bool time_left = true;       ///< enough for another attempt
};

/// What to do.
enum class NextStep : std::uint8_t {
  kDone,      ///< nothing is owed any more
  kDeliver,   ///< pass the backend server's answer on
  kTryAgain,  ///< on another backend server, if the retry budget allows
  kRefuse,    ///< say that it has not run
  kFail,      ///< say that it may have run
  kBreakOff,  ///< end the streamed answer so that it cannot look whole
};

/// Sends beyond the runs that a route allows: refusals do not run.
inline constexpr std::uint32_t kMostRefusedSends = 3;

/// Returns whether the attempt proves that the request did not run there.
bool ProvesNotRun(const AttemptFacts& facts);

/// Decides; `kTryAgain` becomes what `StepWithoutRetry` says when the budget is spent.
NextStep DecideNext(const AttemptFacts& facts);

/// What remains when no further attempt is made.
NextStep StepWithoutRetry(const AttemptFacts& facts);

}  // namespace ridgehold
