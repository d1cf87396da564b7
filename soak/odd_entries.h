// Registrations that no proper server writes.

#pragma once

#include <string>

#include "random.h"

namespace ridgehold::soak {

/// Returns a malformed registration: nested deeply, with numbers too large, ports out of range,
/// wrong types, bytes that are no text, or cut off. Its server does not exist.
std::string DrawOddEntry(Random& random);

}  // namespace ridgehold::soak
