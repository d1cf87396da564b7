// Result of a search for the release that began a stream.

#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

#include "base/ids.h"

namespace ridgehold {

/// What the release of a resumed stream is known from.
enum class OriginSource : std::uint8_t {
  kOwn,            ///< this gateway began the stream or was told of it
  kStore,          ///< a gateway wrote it to the store
  kPeer,           ///< another gateway answered
  kSingleRelease,  ///< the service has had no other release within a stream's lifetime
  kUnknown,
};

std::string_view NameOf(OriginSource source);

/// What a search was based on.
struct OriginEvidence {
  std::size_t asked = 0;     ///< gateways
  std::size_t answered = 0;  ///< of these
  std::size_t releases = 0;  ///< that this gateway knows to have served within a stream's lifetime
  bool complete = false;     ///< this gateway knows that these are all

  bool operator==(const OriginEvidence&) const = default;
};

struct OriginFinding {
  OriginSource source = OriginSource::kUnknown;
  std::optional<ReleaseId> release;  ///< none if unknown
  OriginEvidence evidence;

  bool operator==(const OriginFinding&) const = default;
};

}  // namespace ridgehold
