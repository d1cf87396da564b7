#include "resumption/stream_origin.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <string>

namespace ridgehold {

AttemptHash AttemptHashOf(const RequestId& id) {
  const std::string& text = id.value();
  if (text.empty()) return AttemptHash(0);
  return AttemptHash(std::max<std::uint64_t>(1, XXH3_64bits(text.data(), text.size())));
}

StreamHash StreamHashOf(AttemptHash attempt, StreamScope scope) {
  const std::uint64_t value = attempt.value();
  return StreamHash(XXH3_64bits_withSeed(&value, sizeof value, scope.value()));
}

StreamScope StreamScopeOf(const WorkspaceId& workspace, const ServiceId& service) {
  const std::uint64_t seed = XXH3_64bits(workspace.value().data(), workspace.value().size());
  return StreamScope(XXH3_64bits_withSeed(service.value().data(), service.value().size(), seed));
}

}  // namespace ridgehold
