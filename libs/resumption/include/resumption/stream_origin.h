// Where a stream began.

#pragma once

#include <cstdint>

#include "base/ids.h"
#include "base/strong.h"

namespace ridgehold {

/// Identifies a client's attempt by the hash of its request id; 0: none.
using AttemptHash = Strong<struct AttemptHashTag, std::uint64_t>;
/// Identifies the workspace and the service of a stream by their hash.
using StreamScope = Strong<struct StreamScopeTag, std::uint64_t>;

/// Identifies a stream by the hash of its attempt and its scope.
using StreamHash = Strong<struct StreamHashTag, std::uint64_t>;

/// Only the release that began a stream can go on with it.
struct StreamOrigin {
  StreamScope scope;
  ReleaseId release;

  bool operator==(const StreamOrigin&) const = default;
};

/// `id` is as the client sent it, of any length.
AttemptHash AttemptHashOf(const RequestId& id);
StreamHash StreamHashOf(AttemptHash attempt, StreamScope scope);
StreamScope StreamScopeOf(const WorkspaceId& workspace, const ServiceId& service);

}  // namespace ridgehold
