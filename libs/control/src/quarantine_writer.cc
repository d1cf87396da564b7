#include "control/quarantine_writer.h"

#include <limits>
#include <string_view>

#include "base/parse_number.h"

namespace ridgehold {
namespace {

constexpr int kHexadecimal = 16;
/// The clock counts in nanoseconds, in 64 bits, and the remaining time is a difference.
constexpr std::int64_t kMaxUnixMs = std::numeric_limits<std::int64_t>::max() / 2'000'000;

}  // namespace

std::string EncodeQuarantine(const DaemonId& writer, std::chrono::system_clock::time_point until) {
  const auto unix_ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(until.time_since_epoch());
  return writer.value() + " " + std::to_string(unix_ms.count());
}

std::optional<std::chrono::system_clock::time_point> DecodeQuarantine(const std::string& value) {
  const std::size_t separator = value.rfind(' ');
  if (separator == std::string::npos) return std::nullopt;
  const std::string_view text = value;
  const auto unix_ms = ParseNumber<std::int64_t>(text.substr(separator + 1));
  if (!unix_ms || *unix_ms < 0 || *unix_ms > kMaxUnixMs) return std::nullopt;
  return std::chrono::system_clock::time_point(std::chrono::milliseconds(*unix_ms));
}

std::optional<RequestFingerprint> ParseQuarantineKey(const std::string& key) {
  const std::string_view prefix = kQuarantinePrefix;
  if (!key.starts_with(prefix)) return std::nullopt;
  const std::string_view text = key;
  const auto hash = ParseNumber<std::uint64_t>(text.substr(prefix.size()), kHexadecimal);
  return hash ? std::optional(RequestFingerprint(*hash)) : std::nullopt;
}

}  // namespace ridgehold
