// Values with units, as settings and commands write them: `250ms`, `64MiB`.

#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>

namespace ridgehold {

/// Reads a whole number without a unit.
std::optional<std::uint64_t> ParseCount(std::string_view text);

/// Reads a time such as `250ms`, `4s` or `2min`. A bare number is refused.
std::optional<std::chrono::milliseconds> ParseDuration(std::string_view text);

/// Reads a size such as `512B`, `16KiB` or `64MiB`. A bare number is refused.
std::optional<std::uint64_t> ParseBytes(std::string_view text);

}  // namespace ridgehold
