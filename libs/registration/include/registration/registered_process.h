// Which of several processes registered at one address runs there.

#pragma once

#include <cstdint>

#include "base/ids.h"
#include "base/strong.h"

namespace ridgehold {

/// Increases with each update of the registrations that this gateway has read. 0: none.
using RegistrationNumber = Strong<struct RegistrationNumberTag, std::uint64_t>;

/// What is known of a registered process of a backend server.
struct RegisteredProcess {
  StartStamp started;  ///< as it says itself; 0: not known
  /// The update with which its id was first read. A listing is one update: the order of its items
  /// says nothing.
  RegistrationNumber registered;
  /// The last update read before a request was sent that the process has answered. 0: none.
  RegistrationNumber answered;
};

/// Whether `other`, which is registered at the same address, has replaced `process`. False for
/// both of two if their order is not known.
bool IsReplacedBy(const RegisteredProcess& process, const RegisteredProcess& other);

}  // namespace ridgehold
