// Leave to send one request to a backend server that names a limit.

#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include "gateway/backend_directory.h"
#include "net/beast.h"
#include "quota/quota_client.h"

namespace ridgehold {

class GatewayState;

/// How asking for a permit has ended.
enum class PermitVerdict : std::uint8_t {
  kNotNeeded,  ///< the backend server names no limit
  kGranted,
  kUncounted,     ///< nobody counts, and this gateway may send one all the same
  kRefused,       ///< the limit is used up
  kNobodyCounts,  ///< and this gateway may not send one
};

struct Permit {
  PermitVerdict verdict = PermitVerdict::kNotNeeded;
  std::optional<QuotaTicket> ticket;  ///< to give it back; only of kGranted
  Duration took{0};

  bool MaySend() const {
    return verdict != PermitVerdict::kRefused && verdict != PermitVerdict::kNobodyCounts;
  }
};

/// Whose request it is.
struct PermitAsker {
  std::uint64_t gateway = 0;   ///< differs by gateway
  std::uint32_t gateways = 1;  ///< that are alive
};

/// What the outcome of asking means for one request. Without a permit the backend server
/// is barred here until there may be one.
PermitVerdict JudgePermit(Backend& backend, const QuotaOutcome& outcome, const PermitAsker& asker,
                          TimePoint now);

/// Asks whoever counts the backend server's requests, if it names a limit.
net::awaitable<Permit> AcquirePermit(GatewayState& state, BackendPtr backend);

std::string_view NameOf(PermitVerdict verdict);

}  // namespace ridgehold
