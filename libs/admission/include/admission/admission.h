// Admission: which requests an entry instance takes in, fairly between workspaces.

#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>

#include "base/ids.h"
#include "base/result_code.h"

namespace ridgehold {

/// Why a request is refused, and when to come back.
struct Refusal {
  ResultCode code = ResultCode::kOverloaded;
  std::chrono::seconds retry_after{1};
};

/// What a workspace may take.
struct WorkspaceLimits {
  std::uint32_t share = 1;
  std::uint32_t max_streams = 1;
};

/// Counts requests in flight. Not thread-safe; time comes in as a value.
///
/// While there is room, a workspace may use all of it. Once the instance is
/// three quarters full, a workspace may have no more than its weighted part
/// of the whole, counted over the workspaces that had requests lately; so a
/// hot workspace cannot shut the others out.
class Admission {
 public:
  static constexpr std::chrono::seconds kActiveFor{5};

  explicit Admission(std::uint32_t max_in_flight) : max_in_flight_(max_in_flight) {}

  /// Counts the request in, or refuses it at once.
  std::optional<Refusal> Enter(const WorkspaceId& workspace, const WorkspaceLimits& limits,
                               TimePoint now);

  /// A request that Enter counted has ended; `took` is its time in flight.
  void Leave(const WorkspaceId& workspace, Duration took);

  std::uint32_t in_flight() const { return in_flight_; }
  std::uint32_t InFlightOf(const WorkspaceId& workspace) const;

 private:
  struct Usage {
    std::uint32_t in_flight = 0;
    std::uint32_t share = 1;
    TimePoint last_seen{};
  };

  std::uint32_t FairPart(const WorkspaceId& workspace, TimePoint now) const;
  std::chrono::seconds RetryAfter() const;

  std::uint32_t max_in_flight_;
  std::uint32_t in_flight_ = 0;
  double mean_seconds_ = 1;
  std::map<WorkspaceId, Usage> usage_;
};

}  // namespace ridgehold
