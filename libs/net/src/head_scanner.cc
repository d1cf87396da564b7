#include "net/head_scanner.h"

#include <algorithm>

namespace ridgehold {

HeadScanner::Verdict HeadScanner::Scan(std::string_view received) {
  constexpr std::string_view kBegin = "HTTP/1.";
  const std::size_t compared = std::min(received.size(), kBegin.size());
  if (received.substr(0, compared) != kBegin.substr(0, compared)) return Verdict::kMalformed;
  for (;;) {
    const std::size_t line_end = received.find('\n', scanned_);
    if (line_end == std::string_view::npos) {
      scanned_ = received.size();
      return Verdict::kIncomplete;
    }
    const std::string_view line = received.substr(line_begin_, line_end - line_begin_);
    if (!line.ends_with('\r')) return Verdict::kMalformed;
    if (line.starts_with(' ') || line.starts_with('\t')) return Verdict::kMalformed;
    if (line.size() == 1) return Verdict::kComplete;
    line_begin_ = line_end + 1;
    scanned_ = line_begin_;
  }
}

}  // namespace ridgehold
