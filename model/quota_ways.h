// Ways for a fleet to hold quotas, compared in virtual time under faults.

#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace ridgehold::model {

/// How the instances share a quota.
enum class QuotaWay {
  kOneHolder,  ///< one instance of the fleet is asked for each request
  kBatches,    ///< one instance leases tokens in batches, sized by each instance's demand
  kZones,      ///< each availability zone holds a share, and borrows from the others
};

/// What goes wrong in the middle of a play.
enum class QuotaTrouble {
  kCalm,
  kHotWorkspace,  ///< one sends eight times its usual, in the following ones, too
  kZoneCut,
  kHolderKilled,
  kHalfLosesPower,
  kLowered,  ///< the hot workspace's quota, to a half
  kStoreAway,
  kLoss,  ///< of one datagram in forty
  kHolderSuspended,
};

struct QuotaPlay {
  QuotaWay way = QuotaWay::kZones;
  QuotaTrouble trouble = QuotaTrouble::kCalm;
  std::size_t instances = 90;
  std::uint32_t seed = 1;
};

struct QuotaPlayOutcome {
  std::uint64_t requests = 0;
  std::uint64_t within = 0;          ///< of workspaces that stay within their quotas
  std::uint64_t within_refused = 0;  ///< of those; not for want of an instance that lives
  std::uint64_t messages = 0;
  double worst_window = 0;  ///< the most that a workspace used, of what is allowed in 8 s
  double asking_median_ms = 0;
  double asking_p99_ms = 0;
};

QuotaPlayOutcome PlayQuota(const QuotaPlay& play);

std::string_view NameOf(QuotaWay way);
std::string_view NameOf(QuotaTrouble trouble);
const std::vector<QuotaWay>& AllQuotaWays();
const std::vector<QuotaTrouble>& AllQuotaTroubles();

}  // namespace ridgehold::model
