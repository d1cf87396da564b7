// Strict conversion of text to numbers.

#pragma once

#include <charconv>
#include <optional>
#include <string_view>
#include <system_error>
#include <type_traits>

namespace ridgehold {

/// Parses `text`, all of which must be one number that fits `Number`; otherwise returns nullopt.
/// `base` applies to integers only.
template <class Number>
std::optional<Number> ParseNumber(std::string_view text, int base = 10) {
  Number number = 0;
  const char* end = text.data() + text.size();
  std::from_chars_result parsed{};
  if constexpr (std::is_floating_point_v<Number>) {
    parsed = std::from_chars(text.data(), end, number);
  } else {
    parsed = std::from_chars(text.data(), end, number, base);
  }
  if (text.empty() || parsed.ec != std::errc() || parsed.ptr != end) return std::nullopt;
  return number;
}

}  // namespace ridgehold
