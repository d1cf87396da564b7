// Permits for requests to backend servers that signal a rate limit.

#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include "gateway/backend_directory.h"
#include "net/beast.h"
#include "quota/quota_client.h"

namespace ridgehold {

class GatewayState;

/// Outcome of acquiring a permit.
enum class PermitVerdict : std::uint8_t {
  kNotNeeded,  ///< the backend server has no limit
  kGranted,
  kFallback,  ///< no quota holder answered; sent in a fallback slot
  kRefused,   ///< the limit is exhausted
  kNoHolder,  ///< no quota holder answered, and no fallback slot is free
};

struct Permit {
  PermitVerdict verdict = PermitVerdict::kNotNeeded;
  std::optional<QuotaTicket> ticket;  ///< for a refund; only set for kGranted
  Duration took{0};

  bool MaySend() const {
    return verdict != PermitVerdict::kRefused && verdict != PermitVerdict::kNoHolder;
  }
};

/// Identity of the gateway that requests the permit.
struct PermitRequester {
  std::uint64_t gateway = 0;   ///< unique for each gateway
  std::uint32_t gateways = 1;  ///< number of live gateways
};

/// Converts a quota outcome into a verdict for one request. Without a permit, the backend server is
/// blocked at this gateway until a permit may be available.
PermitVerdict ResolvePermit(Backend& backend, const QuotaOutcome& outcome,
                            const PermitRequester& requester, TimePoint now);

/// Acquires a permit from the quota holder of the backend server, if it has a limit.
net::awaitable<Permit> AcquirePermit(GatewayState& state, BackendPtr backend);

std::string_view NameOf(PermitVerdict verdict);

}  // namespace ridgehold
