// What a daemon knows of a proposed change.

#pragma once

#include <cstdint>
#include <string>

#include "base/ids.h"

namespace ridgehold {

enum class ChangeState : std::uint8_t {
  kInForce,     ///< accepted; `revision` says where
  kUnresolved,  ///< the store's answer was lost; being resolved
  kRefused,     ///< certainly not stored
  kNotKnown,    ///< neither proposed here nor among the kept changes
};

struct ChangeStatus {
  ChangeState state = ChangeState::kNotKnown;
  Revision revision;
};

/// Returns `in force`, `unresolved`, `refused` or `not known`.
constexpr const char* ToString(ChangeState state) {
  switch (state) {
    case ChangeState::kInForce:
      return "in force";
    case ChangeState::kUnresolved:
      return "unresolved";
    case ChangeState::kRefused:
      return "refused";
    case ChangeState::kNotKnown:
      break;
  }
  return "not known";
}

/// An accepted change.
struct AcceptedChange {
  ChangeId id;
  Revision revision;
};

}  // namespace ridgehold
