// Search for the release that began a stream.

#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

#include "resumption/origin_messages.h"
#include "resumption/release_history.h"

namespace ridgehold {

/// What the release of a resumed stream is known from.
enum class OriginSource : std::uint8_t {
  kOwn,            ///< this gateway began the stream or was told of it
  kPeer,           ///< another gateway answered
  kSingleRelease,  ///< the service has had no other release within a stream's lifetime
  kUnknown,
};

std::string_view NameOf(OriginSource source);

struct OriginFinding {
  OriginSource source = OriginSource::kUnknown;
  std::optional<ReleaseId> release;  ///< none if unknown

  bool operator==(const OriginFinding&) const = default;
};

/// Collects the answers of the gateways that were asked. Not thread-safe.
class OriginSearch {
 public:
  /// `asked`: the number of gateways.
  OriginSearch(ReleaseHistory::Summary own, std::size_t asked)
      : own_(std::move(own)), asked_(asked) {}

  /// The finding that needs no question, if there is one.
  static std::optional<OriginFinding> WithoutAsking(const StreamOrigin* known,
                                                    const ReleaseHistory::Summary& own);

  void Add(const OriginAnswer& answer);
  /// Whether further answers cannot change the finding.
  bool done() const { return release_ || answers_ >= asked_; }
  /// The finding when no more answers are waited for.
  OriginFinding Conclude() const;

 private:
  ReleaseHistory::Summary own_;
  std::size_t asked_;
  std::size_t answers_ = 0;
  std::optional<ReleaseId> release_;
  bool several_ = false;
};

}  // namespace ridgehold
