#include "incarnation/process_statement.h"

namespace ridgehold {

ProcessMatch Match(StartStamp started, const ProcessStatement& statement) {
  if (!statement.expected_id) return ProcessMatch::kOther;
  const bool known = started != StartStamp() && statement.started != StartStamp();
  if (!known) return ProcessMatch::kUnknown;
  return started == statement.started ? ProcessMatch::kSame : ProcessMatch::kOther;
}

ReleaseId UnregisteredRelease(const BackendId& id, StartStamp started) {
  return ReleaseId("unregistered " + id.value() + " " + std::to_string(started.value()));
}

}  // namespace ridgehold
