// The time bounds that the instances are given and that the soak judges by.

#pragma once

#include <chrono>

namespace ridgehold::soak {

// A third of a usual deployment's or so, for runs of a few seconds.
inline constexpr std::chrono::milliseconds kRevocationLimit{3'000};
inline constexpr std::chrono::milliseconds kWeightsLimit{5'000};
inline constexpr std::chrono::milliseconds kShutdownLimit{3'000};
// Half of a usual deployment's: a run of 8 s must see orders of a second holder.
inline constexpr std::chrono::milliseconds kHolderSeparation{1'500};
// As on a usual deployment.
inline constexpr std::chrono::milliseconds kContact{3'000};
inline constexpr std::chrono::milliseconds kConfigLimit{2'000};
inline constexpr std::chrono::milliseconds kLossSlack{200};
inline constexpr std::chrono::milliseconds kDrainLimit{2'000};
inline constexpr std::chrono::milliseconds kThaw{300};
inline constexpr std::chrono::milliseconds kDowngradeLimit{250};
inline constexpr std::chrono::milliseconds kLeastLeaseTtl{1'000};
inline constexpr double kRetryRatio = 0.2;
inline constexpr int kRetrySlack = 56;
inline constexpr std::chrono::seconds kRetryWindow{10};
inline constexpr std::chrono::milliseconds kRouteTimeout{2'000};
inline constexpr std::chrono::milliseconds kCallerDeadline{1'500};

}  // namespace ridgehold::soak
