#include "registration/registered_process.h"

namespace ridgehold {

bool IsReplacedBy(const RegisteredProcess& process, const RegisteredProcess& other) {
  // Whoever answers after the other has registered is the one that runs. Stamps come from clocks
  // that are set, and registrations may be written late.
  const bool outlived = other.answered >= process.registered;
  const bool outlives = process.answered >= other.registered;
  if (outlived || outlives) return other.answered > process.answered;
  const bool comparable = process.started != StartStamp() && other.started != StartStamp() &&
                          process.started != other.started;
  if (comparable) return other.started > process.started;
  return other.registered > process.registered;
}

}  // namespace ridgehold
