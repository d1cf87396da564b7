// What has become of an idle connection.

#pragma once

#include <cstdint>

namespace ridgehold {

enum class IdleState : std::uint8_t {
  kOpen,
  kClosed,  ///< by the server
  kBroken,  ///< by a reset, or by bytes that belong to no request
};

}  // namespace ridgehold
