// Header names of the backend protocol; docs/BACKEND-PROTOCOL.md explains them.

#pragma once

namespace ridgehold::backend_header {

inline constexpr char kRequestId[] = "X-Ridgehold-Request-Id";
inline constexpr char kIncarnation[] = "X-Ridgehold-Incarnation";
inline constexpr char kWeights[] = "X-Ridgehold-Weights";
inline constexpr char kCacheSalt[] = "X-Ridgehold-Cache-Salt";
inline constexpr char kPriority[] = "X-Ridgehold-Priority";
inline constexpr char kNotRun[] = "X-Ridgehold-Not-Run";
inline constexpr char kLeaving[] = "X-Ridgehold-Leaving";
inline constexpr char kCachedTokens[] = "X-Ridgehold-Cached-Tokens";

}  // namespace ridgehold::backend_header
