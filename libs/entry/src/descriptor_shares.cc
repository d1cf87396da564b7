#include "entry/descriptor_shares.h"

#include <sys/resource.h>

#include <algorithm>
#include <cerrno>
#include <cstring>

#include "log/log.h"

namespace ridgehold {

DescriptorShares DescriptorShares::Of(std::size_t descriptors) {
  // A tunnel also takes memory for two buffers.
  constexpr std::size_t kMaxTunnels = 256;
  constexpr std::size_t kMin = 4;
  DescriptorShares shares;
  shares.callers = descriptors / 2;
  shares.readiness = std::clamp<std::size_t>(descriptors / 32, kMin, 64);
  shares.metrics = std::clamp<std::size_t>(descriptors / 32, kMin, 32);
  shares.peers = std::clamp<std::size_t>(descriptors / 16, kMin, 256);
  shares.tunnels = std::min(kMaxTunnels, descriptors / 16);
  return shares;
}

std::uint32_t RaiseDescriptorLimit(std::uint32_t wanted) {
  rlimit limit{};
  if (::getrlimit(RLIMIT_NOFILE, &limit) != 0) return wanted;
  if (limit.rlim_cur < wanted && limit.rlim_cur < limit.rlim_max) {
    const rlimit raised{std::min<rlim_t>(wanted, limit.rlim_max), limit.rlim_max};
    if (::setrlimit(RLIMIT_NOFILE, &raised) == 0) {
      limit = raised;
    } else {
      Log(LogLevel::kWarn, "descriptor limit not raised", {{"detail", std::strerror(errno)}});
    }
  }
  return static_cast<std::uint32_t>(std::min<rlim_t>(wanted, limit.rlim_cur));
}

}  // namespace ridgehold
