#include "incarnation/answer_end.h"

namespace ridgehold {

EndVerdict JudgeEnd(const EndEvidence& evidence) {
  if (!evidence.responded) return evidence.refused ? EndVerdict::kCutOff : EndVerdict::kUndecided;
  if (evidence.statement.expected_id && evidence.on_older_connection) return EndVerdict::kComplete;
  // A process that does not tell its start cannot be told from one that has replaced it within a
  // round trip.
  const bool other = Match(evidence.writer, evidence.statement) == ProcessMatch::kOther;
  return other ? EndVerdict::kCutOff : EndVerdict::kComplete;
}

std::string_view NameOf(EndVerdict verdict) {
  switch (verdict) {
    case EndVerdict::kComplete:
      return "complete";
    case EndVerdict::kCutOff:
      return "cut_off";
    case EndVerdict::kUndecided:
      break;
  }
  return "undecided";
}

}  // namespace ridgehold
