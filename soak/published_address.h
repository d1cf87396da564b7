// Names of the variables that tell an instance's program where to bind.

#pragma once

namespace ridgehold::soak {

inline constexpr char kPublishedAddressVariable[] = "SOAK_PUBLISHED_ADDRESS";
inline constexpr char kBoundAddressVariable[] = "SOAK_BOUND_ADDRESS";

}  // namespace ridgehold::soak
