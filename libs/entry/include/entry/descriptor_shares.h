// How an instance divides the descriptors that its process may open.

#pragma once

#include <cstddef>
#include <cstdint>

namespace ridgehold {

/// Limits on the connections of each kind. About a quarter of the descriptors is left for
/// connections to backend servers and the store, and for files.
struct DescriptorShares {
  std::size_t callers = 0;
  std::size_t readiness = 0;  ///< of the balancer and of operators
  std::size_t metrics = 0;
  std::size_t peers = 0;    ///< of other instances, without their tunnels
  std::size_t tunnels = 0;  ///< carried for other instances; each takes two descriptors

  /// Divides `descriptors`. Each port keeps a few, however small the number.
  static DescriptorShares Of(std::size_t descriptors);
};

/// Raises the process's limit on descriptors towards `wanted` as far as the hard limit allows.
/// Returns how many it may open, at most `wanted`.
std::uint32_t RaiseDescriptorLimit(std::uint32_t wanted);

}  // namespace ridgehold
