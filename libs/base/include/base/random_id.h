// Random ids for requests, changes and incarnations.

#pragma once

#include <string>

namespace ridgehold {

/// Returns 32 hexadecimal digits from the system's random source.
std::string RandomId();

/// Returns the SHA-256 digest of `text` as 64 hexadecimal digits.
std::string Sha256Hex(const std::string& text);

}  // namespace ridgehold
