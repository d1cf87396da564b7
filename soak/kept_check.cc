#include "kept_check.h"

#include "bounds.h"

namespace ridgehold::soak {
namespace {

// From the rules: eight or more requests, and over a quarter, without an answer after their limit.
constexpr int kTooManyUnanswered = 8;
constexpr int kUnansweredPart = 4;

}  // namespace

bool KeptCheck::CrossedClose(const KeptRequest& request) {
  if (!request.told_to_end || request.ran) return false;
  return request.taken <= kLossSlack || (request.first && request.reset);
}

void KeptCheck::Ended(const KeptRequest& request) {
  if (!request.within_limits || request.killed) return;
  ++judged_;
  if (request.unanswered) ++unanswered_;
  if (!request.closed || CrossedClose(request)) return;
  verdict_.Fail("request on an open connection is lost", request.id,
                "sent after " + std::to_string(request.idle.count()) + " ms of idling, " +
                    (request.reset ? "reset " : "closed ") + std::to_string(request.taken.count()) +
                    " ms later" + (request.ran ? ", has run" : "") +
                    (request.told_to_end ? ", at a process that was told to end" : ""));
}

void KeptCheck::Judge() {
  if (unanswered_ < kTooManyUnanswered || unanswered_ * kUnansweredPart <= judged_) return;
  verdict_.Fail("requests on open connections are unanswered", "all",
                std::to_string(unanswered_) + " of " + std::to_string(judged_));
}

}  // namespace ridgehold::soak
