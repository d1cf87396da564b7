// Search for the release that began a stream.

#pragma once

#include <cstddef>
#include <optional>

#include "resumption/origin_finding.h"
#include "resumption/origin_messages.h"
#include "resumption/release_history.h"

namespace ridgehold {

/// Collects the answers of the gateways that were asked. Not thread-safe.
class OriginSearch {
 public:
  /// `own`: what this gateway knows itself. `asked`: the number of gateways.
  OriginSearch(ReleaseHistory::Summary own, std::size_t asked)
      : own_(std::move(own)), asked_(asked) {}

  /// The finding that needs no question, if there is one. `is_current`: whether `own` includes all
  /// registrations but those of the last moments.
  static std::optional<OriginFinding> WithoutAsking(const StreamOrigin* known,
                                                    const ReleaseHistory::Summary& own,
                                                    bool is_current);

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
  std::optional<ReleaseId> only_release_;  ///< as a gateway has proved
};

}  // namespace ridgehold
