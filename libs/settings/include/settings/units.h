// Parsers for values in settings and commands, such as `250ms` and `64MiB`.

#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>

namespace ridgehold {

/// Parses a non-negative integer without a unit.
std::optional<std::uint64_t> ParseCount(std::string_view text);

/// Parses a duration such as `250ms`, `4s` or `2min`. Rejects a number without a unit.
std::optional<std::chrono::milliseconds> ParseDuration(std::string_view text);

/// Parses a size such as `512B`, `16KiB` or `64MiB`. Rejects a number without a unit.
std::optional<std::uint64_t> ParseBytes(std::string_view text);

}  // namespace ridgehold
