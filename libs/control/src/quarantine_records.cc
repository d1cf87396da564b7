#include "control/quarantine_records.h"

#include <charconv>

namespace ridgehold {
namespace {

constexpr int kHexadecimal = 16;

template <class Number>
std::optional<Number> Parse(std::string_view text, int base = 10) {
  Number number = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number, base);
  if (text.empty() || parsed.ec != std::errc() || parsed.ptr != end) return std::nullopt;
  return number;
}

}  // namespace

std::string EncodeQuarantine(const DaemonId& writer, std::chrono::system_clock::time_point until) {
  const auto unix_ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(until.time_since_epoch());
  return writer.value() + " " + std::to_string(unix_ms.count());
}

std::optional<std::chrono::system_clock::time_point> DecodeQuarantine(const std::string& value) {
  const std::size_t separator = value.rfind(' ');
  if (separator == std::string::npos) return std::nullopt;
  const auto unix_ms = Parse<std::int64_t>(std::string_view(value).substr(separator + 1));
  if (!unix_ms) return std::nullopt;
  return std::chrono::system_clock::time_point(std::chrono::milliseconds(*unix_ms));
}

std::optional<RequestFingerprint> QuarantinedAt(const std::string& key) {
  const std::string_view prefix = kQuarantinePrefix;
  if (!key.starts_with(prefix)) return std::nullopt;
  const auto hash = Parse<std::uint64_t>(std::string_view(key).substr(prefix.size()), kHexadecimal);
  return hash ? std::optional(RequestFingerprint(*hash)) : std::nullopt;
}

}  // namespace ridgehold
