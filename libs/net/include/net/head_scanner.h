// Finds the end of a response's head.

#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace ridgehold {

/// Checks the lines of a head as they come, before a parser sees them. Rejects what Beast's parser
/// accepts or waits for: folded lines, whose parts it joins, lines that end with a lone LF, and
/// bytes that begin no response of HTTP/1.
class HeadScanner {
 public:
  enum class Verdict : std::uint8_t { kIncomplete, kComplete, kMalformed };

  /// `received` begins with the status line; from call to call bytes are only appended to it.
  Verdict Scan(std::string_view received);

 private:
  std::size_t line_begin_ = 0;  ///< of the first line that is not checked
  std::size_t scanned_ = 0;     ///< bytes without a further line end
};

}  // namespace ridgehold
