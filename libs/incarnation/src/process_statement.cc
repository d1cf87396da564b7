#include "incarnation/process_statement.h"

namespace ridgehold {

ProcessMatch Match(StartStamp started, const ProcessStatement& statement) {
  if (!statement.expected_id) return ProcessMatch::kOther;
  const bool known = started != StartStamp() && statement.started != StartStamp();
  if (!known) return ProcessMatch::kUnknown;
  return started == statement.started ? ProcessMatch::kSame : ProcessMatch::kOther;
}

bool IsRegistered(StartStamp registered, StartStamp told) {
  return registered == StartStamp() || registered == told;
}

ReleaseId UnregisteredRelease(const BackendId& id, StartStamp started) {
  return ReleaseId("unregistered " + id.value() + " " + std::to_string(started.value()));
}

ReleaseId UnregisteredRelease(const BackendId& id, TimePoint opened) {
  const std::string connection = std::to_string(opened.time_since_epoch().count());
  return ReleaseId("unregistered " + id.value() + " at " + connection);
}

}  // namespace ridgehold
