// Numbers out of text that must be nothing else.

#pragma once

#include <charconv>
#include <optional>
#include <string_view>
#include <system_error>

namespace ridgehold {

/// Returns nothing unless the whole of `text` is one number of this type.
template <class Number>
std::optional<Number> ParseNumber(std::string_view text, int base = 10) {
  Number number = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number, base);
  if (text.empty() || parsed.ec != std::errc() || parsed.ptr != end) return std::nullopt;
  return number;
}

}  // namespace ridgehold
