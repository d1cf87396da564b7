// Whether a request's body may be read into memory.

#pragma once

#include <optional>

#include "base/ids.h"
#include "base/result.h"
#include "buffering/body_room.h"

namespace ridgehold {

struct BodyVerdict {
  std::optional<Failure> refusal;
  RequestId request;  ///< of a refused request; empty if the head could not be decoded
  BodyRoom room;
  Duration waited{0};  ///< for room
};

}  // namespace ridgehold
