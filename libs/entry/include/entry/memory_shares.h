// How an instance divides the memory that its process may use.

#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace ridgehold {

/// Limits in bytes on what callers and backend servers can make the process hold. Requests and
/// responses have a share each, so that requests that wait leave room for the responses of others.
/// The rest is for the program itself, connections and small bodies.
struct MemoryShares {
  std::size_t request_bodies = 0;
  std::size_t response_bodies = 0;
  std::size_t unparsed = 0;  ///< received bytes, see ReadBudget

  /// Divides `memory` bytes. Each share holds a few bodies, however small the number.
  static MemoryShares Of(std::uint64_t memory) {
    constexpr std::uint64_t kMinBytes = std::uint64_t{8} << 20;
    return {std::max(memory / 5, kMinBytes), std::max(memory / 4, kMinBytes),
            std::max(memory / 10, kMinBytes / 2)};
  }
};

}  // namespace ridgehold
