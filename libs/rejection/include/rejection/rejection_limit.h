// How many rejections a fragile backend server bears.

#pragma once

#include <cstdint>

#include "base/strong.h"

namespace ridgehold {

/// Requests per second that a backend server may reject for lack of room before it crashes,
/// counted over all gateways.
using RejectionLimit = Strong<struct RejectionLimitTag, std::uint32_t>;

}  // namespace ridgehold
