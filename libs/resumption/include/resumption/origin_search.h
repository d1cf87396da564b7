// Search for the release that began a stream.

#pragma once

#include <cstddef>
#include <optional>
#include <utility>

#include "resumption/origin_finding.h"
#include "resumption/origin_messages.h"
#include "resumption/release_history.h"

namespace ridgehold {

/// Collects the answers of the gateways that were asked. One gateway may have missed a release that
/// has joined, and so may several that were cut off or stood still together. That there is a single
/// one is therefore only believed if all that were asked say so: they include the keepers of the
/// stream. Not thread-safe.
class OriginSearch {
 public:
  /// `own`: what this gateway knows itself. `asked`: the number of gateways.
  OriginSearch(ReleaseHistory::Summary own, std::size_t asked)
      : own_(std::move(own)), asked_(asked) {}

  void Add(const OriginAnswer& answer);
  /// Whether further answers cannot change the finding.
  bool done() const { return (release_ && !conflict_) || answers_ >= asked_; }
  /// Whether somebody knows of several releases.
  bool IsRefuted() const;
  /// The finding when no more answers are waited for.
  OriginFinding Conclude() const;

 private:
  bool IsUnanimous() const;

  ReleaseHistory::Summary own_;
  std::size_t asked_;
  std::size_t answers_ = 0;
  std::size_t agreeing_ = 0;  ///< gateways that know of `single_` only
  std::optional<ReleaseId> release_;
  bool conflict_ = false;  ///< two gateways name different releases for the stream
  bool several_ = false;
  std::optional<ReleaseId> single_;
};

}  // namespace ridgehold
