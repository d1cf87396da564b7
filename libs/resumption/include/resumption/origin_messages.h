// Messages about the origins of streams.

#pragma once

#include <cstdint>
#include <optional>
#include <utility>
#include <variant>
#include <vector>

#include "resumption/stream_origin.h"

namespace ridgehold {

/// Tells a keeper of streams that the sender began.
struct OriginNotice {
  std::vector<std::pair<AttemptHash, StreamOrigin>> streams;

  bool operator==(const OriginNotice&) const = default;
};

struct OriginQuery {
  std::uint64_t number = 0;  ///< copied to the answer
  AttemptHash attempt;
  StreamScope scope;
  ServiceId service;

  bool operator==(const OriginQuery&) const = default;
};

struct OriginAnswer {
  std::uint64_t number = 0;
  std::optional<ReleaseId> release;  ///< that began the stream, if the sender knows it
  bool several_releases = false;     ///< the sender has seen several within a stream's lifetime
  /// The one release that began all streams which can be resumed. None if there are several, or if
  /// the sender cannot tell, as it has just started or does not hear from the store.
  std::optional<ReleaseId> only_release;
  /// The same as far as the sender knows, which may have missed a release that joined lately.
  std::optional<ReleaseId> supposed_release;

  bool operator==(const OriginAnswer&) const = default;
};

using OriginMessage = std::variant<OriginNotice, OriginQuery, OriginAnswer>;

}  // namespace ridgehold
