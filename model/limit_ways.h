// A fleet before a backend server that names a limit, in virtual time under faults.

#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace ridgehold::model {

/// What goes wrong in the middle of a play.
enum class LimitTrouble {
  kCalm,
  kLoss,  ///< of one datagram in forty, all the time
  kHolderKilled,
  kHolderLost,  ///< for good; another takes its share when the lease has ended
  kHolderSuspended,
  kZoneCut,       ///< the backend server's, from the other zones' instances
  kStoreAway,     ///< from before the limit is named: nobody can take a share
  kHalfRestarts,  ///< who counts among them
  kChanges,       ///< the limit is lowered, raised and named no more
};

struct LimitPlay {
  LimitTrouble trouble = LimitTrouble::kCalm;
  std::size_t instances = 8;
  double limit = 1.2;  ///< requests a second
  std::uint32_t seed = 1;
};

struct LimitPlayOutcome {
  /// The most that came in some 4 s from those that had been told, of what is allowed;
  /// from 3 s after the first answer that named the limit.
  double worst_window = 0;
  /// Sent while the trouble was away, of what the limit alone allows.
  double used = 0;
  /// From the first answer that named the limit until all instances knew.
  double all_know_ms = 0;
  std::uint64_t untold = 0;    ///< requests of instances that did not know of the limit
  std::uint64_t messages = 0;  ///< between instances
  double asking_median_ms = 0;
  double asking_p99_ms = 0;
};

LimitPlayOutcome PlayLimit(const LimitPlay& play);

std::string_view NameOf(LimitTrouble trouble);
const std::vector<LimitTrouble>& AllLimitTroubles();

}  // namespace ridgehold::model
